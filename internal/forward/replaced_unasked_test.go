package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// lookSender is a sender that calls a function once after it has looked at the unused connections to a target.
type lookSender struct {
	*httptarget.Transport
	afterLook atomic.Pointer[func()]
}

func (s *lookSender) CheckUnused(address, instance string) (open, ended bool) {
	open, ended = s.Transport.CheckUnused(address, instance)
	if f := s.afterLook.Swap(nil); f != nil {
		(*f)()
	}
	return open, ended
}

// processes runs one process after the other at an address, each of which says when it started.
type processes struct {
	address string
	born    int64
	// asked counts the requests for the status, and slow is closed when requests to /slow may be answered.
	asked atomic.Int64
	slow  chan struct{}
	// silent is set if processes that start do not answer requests for the status.
	silent bool
	server *http.Server
	wait   sync.WaitGroup
}

// newProcesses returns a process, and a forwarder that has it as its only target.
func newProcesses(t *testing.T, silent bool) *processForwarder {
	t.Helper()
	p := &processes{address: "127.0.0.1:0", slow: make(chan struct{}), silent: silent}
	p.replace(t)
	p.silent = false
	if p.server == nil {
		t.FailNow()
	}
	t.Cleanup(func() {
		_ = p.server.Close()
		p.wait.Wait()
	})
	g := group.New(context.Background())
	t.Cleanup(g.Stop)
	sender := &lookSender{Transport: httptarget.New(g)}
	limits := balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second, QuotaWindow: time.Second}
	loop := balance.NewLoop(balance.New(time.Now(), "z", limits, rand.New(rand.NewPCG(1, 1))))
	g.GoContext(loop.Run)
	names := forward.HeaderNames{RequestID: "X-Id", Deadline: "X-Wait-Ms", ExpectTarget: "X-Expect", NotRun: headerNotRun, Seal: headerSeal, Leaving: headerLeaving, LastEventID: "X-Last", Organisation: "X-Organisation"}
	f := &processForwarder{
		testForwarder: &testForwarder{loop: loop, Forwarder: forward.New(names, sender, loop, noSuspects{}, logr.Discard(), discard{}).
			WithStatusQuery(forward.StatusQuery{Path: "/status", Field: "born"})},
		processes: p, group: g, sender: sender,
		to: balance.Target{ID: "e", Service: "s", Zone: "z", Slots: 4, Address: p.address, Born: p.born},
	}
	f.configure(t)
	f.setTargets(t, f.to)
	return f
}

// processForwarder is a forwarder to processes.
type processForwarder struct {
	*testForwarder
	*processes
	group  *group.Group
	sender *lookSender
	to     balance.Target
}

// askSlowly sends a request that is answered when the test ends.
func (f *processForwarder) askSlowly(t *testing.T) {
	t.Helper()
	sent := make(chan struct{})
	f.group.Go(func() {
		a, err := f.sender.Send(t.Context(), f.to.Address, httptarget.Request{
			Method: http.MethodGet, Head: []byte("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"), Instance: f.to.Incarnation(),
			OnSent: func(func() bool) { close(sent) },
		})
		if err == nil {
			a.Close()
		}
	})
	<-sent
	t.Cleanup(func() { close(f.slow) })
}

// ask asks for a stream that may be taken up, and returns what the caller gets.
func (f *processForwarder) ask(t *testing.T, id string) string {
	t.Helper()
	caller, now := &textCaller{}, time.Now()
	f.Forward(t.Context(), forward.Request{
		ID: id, Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Organisation: "o", ToEngine: true,
		Arrived: now, Deadline: now.Add(2 * time.Second),
		Route: &routing.Route{Kind: routing.Streaming, Goal: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: 1, Resumable: true},
	}, caller)
	return caller.text.String()
}

// replace ends the process that runs, if there is one, and starts the next one, which accepts connections at once.
func (p *processes) replace(t *testing.T) {
	t.Helper()
	if p.server != nil {
		_ = p.server.Close()
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		t.Error(err)
		return
	}
	p.address = l.Addr().String()
	p.born++
	born, silent := p.born, p.silent
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/status":
			p.asked.Add(1)
			if silent {
				<-r.Context().Done()
				return
			}
			fmt.Fprintf(w, `{"born":%d}`, born)
			return
		case "/slow":
			<-p.slow
		}
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set(headerSeal, "s")
		fmt.Fprintf(w, "id: 1\ndata: %d\n\n", born)
	})}
	p.server = server
	p.wait.Go(func() { _ = server.Serve(l) })
}

// TestEngineReplacedAfterTheLook guards against streams that begin at the process after the one of the entry, without a
// question when it started, as the unused connection that was open when the router looked ends before the request is
// sent.
func TestEngineReplacedAfterTheLook(t *testing.T) {
	for name, c := range map[string]struct {
		replaced bool
		text     string
		asked    int64
	}{
		"the process is replaced":  {replaced: true, asked: 1},
		"another request takes it": {text: "id: 1\ndata: 1\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newProcesses(t, false)
			if got := p.ask(t, "first"); got != "id: 1\ndata: 1\n\n" {
				t.Fatalf("the first caller got %q", got)
			}
			if asked := p.asked.Swap(0); asked != 1 {
				t.Errorf("the engine was asked %d times before the first stream", asked)
			}
			afterLook := func() { p.replace(t) }
			if !c.replaced {
				afterLook = func() { p.askSlowly(t) }
			}
			p.sender.afterLook.Store(&afterLook)
			if got, asked := p.ask(t, "second"), p.asked.Load(); got != c.text || asked != c.asked {
				t.Errorf("the second caller got %q, the engine was asked %d times; want %q, %d", got, asked, c.text, c.asked)
			}
		})
	}
}

// TestEngineReplacedWhileItIsAsked guards against streams that begin at the process after the one of the entry, as that
// one ends while it is asked when it started, and so does not say.
func TestEngineReplacedWhileItIsAsked(t *testing.T) {
	t.Parallel()
	p := newProcesses(t, true)
	p.group.Go(func() {
		for p.asked.Load() == 0 && p.group.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		p.replace(t)
	})
	if got := p.ask(t, "first"); got != "" {
		t.Errorf("the caller got %q", got)
	}
}

// TestEngineReplacedAfterItsSilence guards against the same as it ends after it has been asked in vain.
func TestEngineReplacedAfterItsSilence(t *testing.T) {
	t.Parallel()
	p := newProcesses(t, true)
	p.askSlowly(t)
	replace := func() { p.replace(t) }
	afterQuestion := func() { p.sender.afterLook.Store(&replace) }
	p.sender.afterLook.Store(&afterQuestion)
	if got := p.ask(t, "first"); got != "" {
		t.Errorf("the caller got %q", got)
	}
}
