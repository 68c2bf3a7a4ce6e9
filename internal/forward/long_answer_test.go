package forward_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// Guards against a failure in place of a whole answer that is long and has no length, and against a long
// answer that breaks off and looks complete or is continued with something else.
func TestLongAnswer(t *testing.T) {
	const size = 1 << 20
	long := strings.Repeat("x", size)
	breakOff := func(length string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			fmt.Fprint(w, long[:size/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	cases := map[string]struct {
		handler   http.HandlerFunc
		status    int
		truncated bool
	}{
		"in chunks":                   {handler: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, long) }, status: http.StatusOK},
		"until the connection closes": {handler: untilClosed(long), status: http.StatusOK},
		"in chunks, broken off":       {handler: breakOff(""), status: http.StatusBadGateway},
		"with a length, broken off":   {handler: breakOff(fmt.Sprint(size)), status: http.StatusOK, truncated: true},
	}
	for name, c := range cases {
		for _, kind := range []routing.Kind{routing.NonIdempotent, routing.Idempotent} {
			t.Run(fmt.Sprint(name, "/", kind), func(t *testing.T) {
				f := newTestForwarder(t)
				var sent atomic.Int64
				f.setTargets(t, startTarget(t, "a", &sent, c.handler), startTarget(t, "b", &sent, c.handler))
				caller := &recordingCaller{}
				v := f.sendTo(kind, caller)
				got := strings.Join(caller.list, "")
				want := ""
				if c.status == http.StatusOK {
					want = long
				}
				if v.Status != c.status || v.Truncated != c.truncated || !c.truncated && got != want {
					t.Errorf("status %d, reason %q, truncated %v, %d of %d bytes", v.Status, v.Reason, v.Truncated, len(got), size)
				}
				if repeated := sent.Load() > 1; repeated != (kind == routing.Idempotent && c.status != http.StatusOK) {
					t.Errorf("sent to %d targets", sent.Load())
				}
			})
		}
	}
}

// Guards against passing on bytes without end, and against losing a request that may be repeated to a target
// that sends them.
func TestEndlessAnswerIsNotPassedOn(t *testing.T) {
	endless := func(w http.ResponseWriter, _ *http.Request) {
		chunk := []byte(strings.Repeat("x", 64<<10))
		for {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}
	var faulty, sound atomic.Int64
	f := newTestForwarder(t)
	f.setTargets(t, startTarget(t, "a", &faulty, endless))
	caller := &recordingCaller{}
	if v := f.sendTo(routing.NonIdempotent, caller); v.Status != http.StatusBadGateway || v.HeadSent || len(caller.list) > 0 {
		t.Errorf("status %d, head sent %v, %d pieces", v.Status, v.HeadSent, len(caller.list))
	}
	f = newTestForwarder(t)
	f.setTargets(t, startTarget(t, "a", &faulty, endless), startTarget(t, "b", &sound, succeed))
	for range 4 {
		if v := f.send(routing.Idempotent); v.Status != http.StatusOK {
			t.Errorf("status %d, reason %q", v.Status, v.Reason)
		}
	}
	t.Run("without memory for it", func(t *testing.T) {
		f := newTestForwarder(t)
		f.Forwarder = f.WithMemory(memory.New(64 << 10))
		f.setTargets(t, startTarget(t, "a", &faulty, endless))
		if v := f.send(routing.NonIdempotent); !v.Truncated {
			t.Errorf("status %d, reason %q, not cut", v.Status, v.Reason)
		}
	})
}

// untilClosed answers without a length and closes the connection at the end.
func untilClosed(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		write := bufio.NewWriter(c)
		fmt.Fprintf(write, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s: s\r\nConnection: close\r\n\r\n%s", r.Header.Get("X-Id"), headerSeal, text)
		_ = write.Flush()
		_ = buffer.Flush()
	}
}

// Guards against answers that take memory beyond the budget while they arrive, and against failing those
// that find none.
func TestBufferedAnswersStayWithinMemory(t *testing.T) {
	const answers, size, budget = 48, 200 << 10, 1 << 20
	text := strings.Repeat("x", size)
	f := newTestForwarder(t)
	b := memory.New(budget)
	f.Forwarder = f.WithMemory(b)
	var arrived sync.WaitGroup
	arrived.Add(answers)
	all := make(chan struct{})
	handler := func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, text[:size/2])
		_ = http.NewResponseController(w).Flush()
		arrived.Done()
		<-all
		fmt.Fprint(w, text[size/2:])
	}
	var sent atomic.Int64
	target := startTarget(t, "a", &sent, handler)
	target.Slots = answers
	f.setTargets(t, target)
	var wait sync.WaitGroup
	var mu sync.Mutex
	for range answers {
		wait.Go(func() {
			caller := &recordingCaller{}
			mu.Lock()
			send := f.prepare(routing.NonIdempotent)
			mu.Unlock()
			v := f.Forward(t.Context(), send, caller)
			if got := strings.Join(caller.list, ""); v.Reason != "" || got != text {
				t.Errorf("status %d, reason %q, %d of %d bytes", v.Status, v.Reason, len(got), size)
			}
		})
	}
	arrived.Wait()
	close(all)
	wait.Wait()
	if s := b.Stats(); s.Peak == 0 || s.Peak > budget || s.Used != 0 {
		t.Errorf("the budget ends with %+v", s)
	}
}
