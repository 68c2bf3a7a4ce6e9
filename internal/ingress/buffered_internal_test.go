package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/callerconn"
)

// TestBufferedRequestIsNotEvicted guards against connections that are closed, or refused by what is in a body, while a
// request is served that the HTTP server had read together with the one before.
func TestBufferedRequestIsNotEvicted(t *testing.T) {
	befores := map[string]string{"a plain one": wholeRequest, "one in chunks": text("X-Id: 0\r\n"+chunked, chunkedBody)}
	requests := map[string]struct{ now, later string }{
		"whole":                   {text("X-Id: 1\r\nContent-Length: 5\r\n", "hello"), ""},
		"without a body":          {text("X-Id: 1\r\n", ""), ""},
		"a part of its body":      {text("X-Id: 1\r\nContent-Length: 5\r\n", "he"), "llo"},
		"a head in its body":      {text(fmt.Sprintf("X-Id: 1\r\nContent-Length: %d\r\n", len(otherHead)+1), "x"), otherHead},
		"a part of it, in chunks": {text("X-Id: 1\r\n"+chunked, chunkedBody[:6]), chunkedBody[6:]},
	}
	ends := map[string]func(s *Server, evictOldest func(func()) bool){
		"evicted":         func(_ *Server, evictOldest func(func()) bool) { evictOldest(func() {}) },
		"idle ones ended": func(s *Server, _ func(func()) bool) { s.room.End() },
	}
	for before, first := range befores {
		for name, c := range requests {
			for how, end := range ends {
				t.Run(name+" after "+before+", "+how, func(t *testing.T) {
					s := newTestServer(anyResult{}, false)
					evictOldest := fillRoom(s)
					serving, ended := make(chan context.Context, 2), make(chan struct{})
					s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						callerconn.Of(r.Context()).NoteServing()
						w.Header().Set("X-Id", r.Header.Get("X-Id"))
						if r.URL.Path == "/a" && r.Header.Get("X-Id") == "1" {
							serving <- r.Context()
							<-ended
						}
						if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Context().Err() != nil {
							t.Errorf("body: %v, caller gone: %v", err, r.Context().Err())
						}
					})
					var wait sync.WaitGroup
					defer wait.Wait()
					caller := dialServer(t, startTestServer(t, s), first+c.now)
					<-serving
					time.Sleep(10 * time.Millisecond)
					end(s, evictOldest)
					time.Sleep(10 * time.Millisecond)
					wait.Go(func() {
						time.Sleep(10 * time.Millisecond)
						fmt.Fprint(caller, c.later)
					})
					close(ended)
					answers := bufio.NewReader(caller)
					for i := range 2 {
						res, err := http.ReadResponse(answers, nil)
						if err != nil {
							t.Fatalf("answer %d: %v", i, err)
						}
						_ = res.Body.Close()
						if res.StatusCode != http.StatusOK || i == 1 && res.Header.Get("X-Id") != "1" {
							t.Errorf("answer %d: %s, header %v", i, res.Status, res.Header)
						}
					}
				})
			}
		}
	}
}
