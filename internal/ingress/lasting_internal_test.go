package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// TestRequestAfterStreamOfStopIsRefused guards against requests that get no answer as they follow a stream whose head
// was sent before a planned stop, so that it could not say that its connection would be closed.
func TestRequestAfterStreamOfStopIsRefused(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
		t.Run(fmt.Sprint("after ", pause), func(t *testing.T) {
			s := newTestServer(anyResult{}, false)
			began, end := make(chan struct{}), make(chan struct{})
			s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, "event\n")
				_ = http.NewResponseController(w).Flush()
				close(began)
				<-end
			})
			caller := dialServer(t, startTestServer(t, s), wholeRequest)
			<-began
			var wait sync.WaitGroup
			wait.Go(func() {
				if err := s.Shutdown(context.Background()); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(50 * time.Millisecond)
			close(end)
			answers := bufio.NewReader(caller)
			for i, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
				res, err := http.ReadResponse(answers, nil)
				if err != nil {
					t.Fatalf("answer %d: %v, counted %v", i, err, s.ClosedUnanswered())
				}
				if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != want || res.Close != (i == 1) {
					t.Errorf("answer %d: %s, closes %t, %v", i, res.Status, res.Close, err)
				}
				_ = res.Body.Close()
				time.Sleep(pause)
				fmt.Fprint(caller, wholeRequest)
			}
			wait.Wait()
			if got, want := s.Ends(), (ends{lifecycle.Answered: 1, lifecycle.Refused: 1}); !maps.Equal(got, want) {
				t.Errorf("ends %v, want %v", got, want)
			}
		})
	}
}

// TestResetAtCloseOfListenerWasNeverRead guards against requests that have been read and get no answer as the listener
// closes. A caller may get a reset, or none may listen any more, if its request crosses the close unread.
func TestResetAtCloseOfListenerWasNeverRead(t *testing.T) {
	for range 5 {
		s := newTestServer(anyResult{}, false)
		address := startTestServer(t, s)
		var answered, unread atomic.Int64
		var stopped atomic.Bool
		var wait sync.WaitGroup
		for range 16 {
			wait.Go(func() {
				for !stopped.Load() {
					c, err := net.Dial("tcp", address.String())
					if err != nil {
						unread.Add(1)
						continue
					}
					_ = c.SetDeadline(time.Now().Add(5 * time.Second))
					fmt.Fprint(c, wholeRequest)
					if status(c) != 0 {
						answered.Add(1)
					} else {
						unread.Add(1)
					}
					_ = c.Close()
				}
			})
		}
		time.Sleep(30 * time.Millisecond)
		s.Leave()
		if err := s.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		time.Sleep(10 * time.Millisecond)
		stopped.Store(true)
		wait.Wait()
		t.Logf("%d answered, %d not read", answered.Load(), unread.Load())
		if read := s.Ends()[lifecycle.Refused]; read != answered.Load() || s.Ends()[lifecycle.Unanswered] > 0 {
			t.Errorf("%d answered, ends %v, closed %v", answered.Load(), s.Ends(), s.ClosedUnanswered())
		}
	}
}

// TestAccountIsWhatCallersSaw guards against ends other than those that callers saw, for requests of all forms around
// a planned stop.
func TestAccountIsWhatCallersSaw(t *testing.T) {
	requests := []string{
		wholeRequest, text("X-Id: 1\r\nContent-Length: 5\r\n", "hello"), text("X-Id: 1\r\n"+chunked, chunkedBody),
		"GET / HTTP/1.0\r\nX-Id: 1\r\n\r\n", "GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n", "hello\r\n\r\n",
	}
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newTestServer(anyResult{}, false)
			address := startTestServer(t, s)
			var refused, improper atomic.Int64
			var stopped atomic.Bool
			var wait sync.WaitGroup
			for i := range uint64(16) {
				random := rand.New(rand.NewPCG(seed, i))
				wait.Go(func() {
					for !stopped.Load() {
						c, err := net.Dial("tcp", address.String())
						if err != nil {
							return
						}
						_ = c.SetDeadline(time.Now().Add(5 * time.Second))
						answers := bufio.NewReader(c)
						for range 4 {
							request := requests[random.IntN(len(requests))]
							cut := random.IntN(len(request))
							fmt.Fprint(c, request[:cut])
							time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
							fmt.Fprint(c, request[cut:])
							res, err := http.ReadResponse(answers, nil)
							if err != nil {
								break
							}
							_, _ = io.Copy(io.Discard, res.Body)
							if res.StatusCode == http.StatusServiceUnavailable {
								refused.Add(1)
							} else {
								improper.Add(1)
							}
							if res.Close {
								break
							}
						}
						_ = c.Close()
					}
				})
			}
			time.Sleep(time.Duration(20+5*seed) * time.Millisecond)
			if seed%2 == 0 {
				s.Leave()
			}
			if err := s.Shutdown(context.Background()); err != nil {
				t.Error(err)
			}
			stopped.Store(true)
			wait.Wait()
			got := s.Ends()
			if got[lifecycle.Refused] != refused.Load() || got[lifecycle.Incomplete] != improper.Load() || got[lifecycle.Unanswered] > 0 {
				t.Errorf("callers saw %d refused, %d improper; ends %v, closed %v", refused.Load(), improper.Load(), got, s.ClosedUnanswered())
			}
		})
	}
}
