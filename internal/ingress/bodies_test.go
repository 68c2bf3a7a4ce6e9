package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/ingress"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// startBodyServer starts a server that holds bodies within a budget, before a target that reads them, and
// returns its address.
func startBodyServer(t *testing.T, b *memory.Budget) string {
	t.Helper()
	return startServer(t, b, func(w http.ResponseWriter, r *http.Request) {
		if n, err := io.Copy(io.Discard, r.Body); err == nil {
			fmt.Fprint(w, n)
		}
	})
}

// startServer starts a server for callers of the organisations "loud" and "calm", before a target, and returns
// its address. It has a route to streams at /stream/ and one to other answers at /plain/.
func startServer(t *testing.T, b *memory.Budget, answer http.HandlerFunc) string {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		answer(w, r)
	}))
	t.Cleanup(target.Close)
	g := group.New(context.Background())
	t.Cleanup(g.Stop)
	limits := balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second}
	loop := balance.NewLoop(balance.New(time.Now(), "z", limits, rand.New(rand.NewPCG(1, 1))))
	g.GoContext(loop.Run)
	table, err := routing.New(routing.Spec{
		Routes: []routing.Route{
			{Name: "plain", Host: "h", Prefix: "/plain/", Shares: []routing.Share{{Service: "desk", Weight: 1}}},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Streaming, Shares: []routing.Share{{Service: "desk", Weight: 1}}},
		},
		Services:      []routing.Service{{Name: "desk"}},
		Organisations: []routing.Organisation{{Name: "loud", Keys: []string{"k1"}}, {Name: "calm", Keys: []string{"k2"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	loop.Post(func(s *balance.State, now time.Time) {
		s.Configure(table)
		s.SetTargets(now, []balance.Target{{ID: "t", Service: "desk", Zone: "z", Slots: 1000, Address: target.Listener.Addr().String()}})
	})
	names := headerNames
	names.ExpectTarget = "X-Expect"
	f := forward.New(names, httptarget.New(g), loop, noSuspects{}, logr.Discard(), ignoringObserver{})
	s := ingress.New(names, f, ignoringObserver{}, ingress.Limits{Requests: 1000, Connections: 1000}, b, lifecycle.New(time.Second, logr.Discard()), logr.Discard())
	s.Configure(table)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() { closeAndCheck(s) })
	return l.Addr().String()
}

// upload is a request whose body is sent in pieces.
type upload struct {
	net.Conn
	chunked bool
}

// begin connects and sends the head of a request.
func begin(t *testing.T, address, key string, size int, chunked bool) upload {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	length := fmt.Sprint("Content-Length: ", size)
	if chunked {
		length = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "POST /plain/a HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nX-Wait-Ms: 15000\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", key, length)
	return upload{c, chunked}
}

// send sends a part of the body.
func (u upload) send(size int) error {
	part := bytes.Repeat([]byte("b"), size)
	if u.chunked {
		part = fmt.Appendf(nil, "%x\r\n%s\r\n", size, part)
	}
	_, err := u.Write(part)
	return err
}

// end ends the body and returns the status of the answer.
func (u upload) end() (int, string, error) {
	if u.chunked {
		if _, err := io.WriteString(u, "0\r\n\r\n"); err != nil {
			return 0, "", err
		}
	}
	res, err := http.ReadResponse(bufio.NewReader(u), nil)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

// Guards against bodies that take memory beyond the budget while they arrive, and against callers that get
// no answer because their body is not read.
func TestBodiesCountWhileTheyArrive(t *testing.T) {
	const (
		callers, size = 40, 4 << 20
		budget        = 32 << 20
		// slack is for the garbage between two collections and for the callers' own part.
		slack = 24 << 20
	)
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			b := memory.New(budget)
			address := startBodyServer(t, b)
			before := liveHeap()
			uploads := make([]upload, callers)
			for i := range uploads {
				uploads[i] = begin(t, address, "k1", size, chunked)
			}
			half := func() {
				var wait sync.WaitGroup
				for _, u := range uploads {
					wait.Go(func() {
						for range 32 {
							if err := u.send(size / 64); err != nil {
								t.Error("the caller cannot send its body: ", err)
								return
							}
						}
					})
				}
				wait.Wait()
			}
			half()
			if used := liveHeap() - before; used > budget+slack {
				t.Errorf("%d MB in use with %d of %d MB of the bodies sent", used>>20, callers*size>>21, callers*size>>20)
			}
			half()
			served := 0
			for _, u := range uploads {
				status, text, err := u.end()
				switch {
				case err != nil:
					t.Error("no answer: ", err)
				case status == http.StatusOK && text == fmt.Sprint(size):
					served++
				case status != http.StatusServiceUnavailable:
					t.Errorf("status %d, %q", status, text)
				}
			}
			if served*size < budget/2 {
				t.Errorf("%d of %d served", served, callers)
			}
			for end := time.Now().Add(5 * time.Second); b.Stats().Open > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if s := b.Stats(); s.Peak > budget || s.Used != 0 || s.Open != 0 {
				t.Errorf("the budget ends with %+v", s)
			}
		})
	}
}

// liveHeap returns the number of bytes that are in use after a collection.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against long bodies that are sent slowly and turn away short ones, and those of other organisations.
func TestSlowBodiesDoNotTurnOthersAway(t *testing.T) {
	const size, budget = 1 << 20, 4 << 20
	for name, c := range map[string]struct {
		key  string
		size int
	}{
		"short bodies of the same organisation": {"k1", 2 << 10},
		"bodies of another organisation":        {"k2", size},
	} {
		t.Run(name, func(t *testing.T) {
			b := memory.New(budget)
			address := startBodyServer(t, b)
			var slow []upload
			for range 8 {
				u := begin(t, address, "k1", size, false)
				if err := u.send(size - size/8); err != nil {
					t.Fatal(err)
				}
				slow = append(slow, u)
			}
			for b.Stats().Used < budget*3/4 {
				time.Sleep(time.Millisecond)
			}
			var refused atomic.Int64
			for range 20 {
				u := begin(t, address, c.key, c.size, false)
				if err := u.send(c.size); err != nil {
					t.Fatal(err)
				}
				status, text, err := u.end()
				if err != nil {
					t.Fatal(err)
				}
				if status != http.StatusOK || text != fmt.Sprint(c.size) {
					refused.Add(1)
				}
			}
			if n := refused.Load(); n > 0 {
				t.Errorf("%d of 20 refused beside slow bodies", n)
			}
			for _, u := range slow {
				_ = u.Close()
			}
		})
	}
}

// Guards against forwarding a body that was cut off as if it were whole.
func TestBodyCutOffIsNotForwarded(t *testing.T) {
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			u := begin(t, startBodyServer(t, memory.New(1<<20)), "k1", 1000, chunked)
			if err := u.send(500); err != nil {
				t.Fatal(err)
			}
			if err := u.Conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(u), nil)
			if err != nil {
				return
			}
			defer res.Body.Close()
			if res.StatusCode == http.StatusOK {
				t.Error("the target ran a request whose body was cut off")
			}
		})
	}
}
