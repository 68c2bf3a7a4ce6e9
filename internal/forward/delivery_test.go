package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/metrics"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/suspicion"
)

// stalledCaller is a caller that reads nothing until read is closed.
type stalledCaller struct {
	discard
	read, stopped chan struct{}
	stop          sync.Once
	// gone makes writes fail once read is closed.
	gone bool

	mu  sync.Mutex
	got bytes.Buffer
}

func newStalledCaller() *stalledCaller {
	return &stalledCaller{read: make(chan struct{}), stopped: make(chan struct{})}
}

func (c *stalledCaller) Write(b []byte) error {
	select {
	case <-c.read:
	case <-c.stopped:
		return errors.New("write deadline exceeded")
	}
	if c.gone {
		return errors.New("connection reset")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.got.Write(b)
	return nil
}

func (c *stalledCaller) StopWriting() { c.stop.Do(func() { close(c.stopped) }) }

func (c *stalledCaller) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.got.String()
}

const deliveredEvents = 20

// eventsFrom returns the events of an answer after the one with the given number.
func eventsFrom(after, last int) string {
	var b strings.Builder
	for n := after + 1; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", n)
	}
	return b.String()
}

// streamTo returns a handler that sends the events up to last, then calls end.
func streamTo(last int, end func(r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("X-Last"))
		for n := after; n < last; n++ {
			fmt.Fprint(w, eventsFrom(n, n+1))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
		}
		end(r)
	}
}

func complete(*http.Request) {}

func breaks(*http.Request) { panic(http.ErrAbortHandler) }

// breaksOrFails breaks off a stream, and answers a request to resume it with an error that is too long
// to be buffered.
func breaksOrFails(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Last") == "" {
		streamTo(deliveredEvents, breaks)(w, r)
	}
	w.Header().Set("Content-Length", strconv.Itoa(300<<10))
	w.WriteHeader(http.StatusBadRequest)
	_, _ = w.Write(make([]byte, 300<<10))
}

// bufferedForwarder is a forwarder that buffers streams.
type bufferedForwarder struct {
	*testForwarder
	budget  *answerbuffer.Budget
	targets []balance.Target
	ids     atomic.Int64
	// attempts is how often a request may be sent.
	attempts int
	logged   logged
	// sendDelay is how long it takes until a request to the first target is sent, in nanoseconds.
	sendDelay atomic.Int64
	// unread is set if answers have arrived that this process has no processor time to read.
	unread atomic.Bool
}

// slowSender is a sender on a box that takes time to send requests to the first target, or to read answers.
type slowSender struct {
	*httptarget.Transport
	delay  *atomic.Int64
	unread *atomic.Bool
}

func (s slowSender) Send(ctx context.Context, address string, r httptarget.Request) (*httptarget.Answer, error) {
	if d := time.Duration(s.delay.Load()); d > 0 && strings.HasPrefix(r.Instance, "e0") {
		group.SleepUntil(ctx, time.Now().Add(d))
	}
	if onSent := r.OnSent; onSent != nil && s.unread.Load() {
		r.OnSent = func(func() bool) { onSent(s.unread.Load) }
	}
	return s.Transport.Send(ctx, address, r)
}

// logged has the lines that were logged.
type logged struct {
	mu    sync.Mutex
	lines []string
}

func (l *logged) logger() logr.Logger {
	return funcr.New(func(_, line string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lines = append(l.lines, line)
	}, funcr.Options{})
}

// has reports whether a line with all the texts was logged.
func (l *logged) has(texts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.lines, func(line string) bool {
		return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) })
	})
}

func newBufferedForwarder(t testing.TB, budget int64, handlers ...http.HandlerFunc) *bufferedForwarder {
	t.Helper()
	return newSuspectingForwarder(t, noSuspects{}, budget, handlers...)
}

// newSuspectingForwarder is newBufferedForwarder for a forwarder with suspects.
func newSuspectingForwarder(t testing.TB, q suspicion.Suspects, budget int64, handlers ...http.HandlerFunc) *bufferedForwarder {
	t.Helper()
	g := group.New(context.Background())
	t.Cleanup(g.Stop)
	limits := balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second, QuotaWindow: time.Second}
	loop := balance.NewLoop(balance.New(time.Now(), "z", limits, rand.New(rand.NewPCG(1, 1))))
	g.GoContext(loop.Run)
	f := &bufferedForwarder{budget: answerbuffer.New(budget), attempts: len(handlers)}
	names := forward.HeaderNames{RequestID: "X-Id", Deadline: "X-Wait-Ms", ExpectTarget: "X-Expect", ServedBy: headerServedBy, NotRun: headerNotRun, LastEventID: "X-Last", Organisation: "X-Organisation"}
	forwarder := forward.New(names, slowSender{httptarget.New(g), &f.sendDelay, &f.unread}, loop, q, f.logged.logger(), discard{})
	f.testForwarder = &testForwarder{loop: loop, Forwarder: forwarder.WithBuffers(f.budget, func() bool { return true })}
	for i, h := range handlers {
		f.targets = append(f.targets, startTarget(t, fmt.Sprint("e", i), new(atomic.Int64), h))
	}
	f.setTargets(t, f.targets...)
	return f
}

// slots returns the forwarder's targets with a number of slots each.
func (f *bufferedForwarder) slots(n int) []balance.Target {
	list := slices.Clone(f.targets)
	for i := range list {
		list[i].Slots = n
	}
	return list
}

// stream requests a stream with a time limit.
func (f *bufferedForwarder) stream(ctx context.Context, timeout time.Duration, c forward.Caller) forward.Result {
	return f.streamOf(ctx, "o", timeout, c)
}

// streamOf requests a stream of an organisation.
func (f *bufferedForwarder) streamOf(ctx context.Context, organisation string, timeout time.Duration, c forward.Caller) forward.Result {
	now := time.Now()
	return f.Forward(ctx, forward.Request{
		ID: fmt.Sprint("r", f.ids.Add(1)), Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Organisation: organisation,
		Arrived: now, Deadline: now.Add(timeout),
		Route: &routing.Route{Kind: routing.Streaming, Goal: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: f.attempts, Resumable: true},
	}, c)
}

// loads returns the number of targets with requests.
func (f *bufferedForwarder) loads(t testing.TB) int {
	t.Helper()
	n := -1
	f.loop.PostAndWait(t.Context(), func(s *balance.State, now time.Time) { n = len(s.Report(now).Loads) })
	return n
}

// eventually waits until a condition holds, at most for the limit.
func eventually(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// TestStalledCaller guards against a slow caller that keeps its engine's slot, against an answer
// that is not delivered because the deadline has passed, and against one that looks complete
// although the engine broke it off.
func TestStalledCaller(t *testing.T) {
	const room = 1 << 20
	tests := map[string]struct {
		handlers  []http.HandlerFunc
		timeout   time.Duration
		want      string
		truncated bool
	}{
		"a complete answer": {
			handlers: []http.HandlerFunc{streamTo(deliveredEvents, complete)}, timeout: 10 * time.Second, want: eventsFrom(0, deliveredEvents),
		},
		"a complete answer whose deadline passes before it is read": {
			handlers: []http.HandlerFunc{streamTo(deliveredEvents, complete)}, timeout: 300 * time.Millisecond, want: eventsFrom(0, deliveredEvents),
		},
		"an answer that is not complete at the deadline": {
			handlers: []http.HandlerFunc{streamTo(deliveredEvents, func(r *http.Request) { <-r.Context().Done() })}, timeout: 300 * time.Millisecond,
			want: eventsFrom(0, deliveredEvents), truncated: true,
		},
		"an answer that breaks off": {
			handlers: []http.HandlerFunc{streamTo(deliveredEvents, breaks)}, timeout: 10 * time.Second,
			want: eventsFrom(0, deliveredEvents), truncated: true,
		},
		"an answer that another engine does not resume, with a long error": {
			handlers: []http.HandlerFunc{breaksOrFails, breaksOrFails}, timeout: 10 * time.Second,
			want: eventsFrom(0, deliveredEvents), truncated: true,
		},
		"an answer that another engine resumes": {
			handlers: []http.HandlerFunc{streamTo(deliveredEvents/2, breaks), streamTo(deliveredEvents, complete)}, timeout: 10 * time.Second,
			want: eventsFrom(0, deliveredEvents),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newBufferedForwarder(t, room, test.handlers...)
			c := newStalledCaller()
			result := make(chan forward.Result, 1)
			g := group.New(t.Context())
			defer g.Stop()
			defer c.StopWriting()
			g.GoContext(func(ctx context.Context) { result <- f.stream(ctx, test.timeout, c) })
			eventually(t, "bytes wait", 5*time.Second, func() bool { return f.budget.Stats().Bytes > 0 })
			eventually(t, "the engine's slot is free", 5*time.Second, func() bool { return f.loads(t) == 0 })
			select {
			case v := <-result:
				t.Fatalf("the request ended before its caller had the answer: %+v", v)
			case <-time.After(50 * time.Millisecond):
			}
			close(c.read)
			v := <-result
			if c.text() != test.want {
				t.Errorf("the caller got %q", c.text())
			}
			if v.Status != http.StatusOK || v.Truncated != test.truncated || (v.Reason != "") != test.truncated {
				t.Errorf("status %d, truncated %t, reason %q", v.Status, v.Truncated, v.Reason)
			}
			if s := f.budget.Stats(); s.Bytes != 0 || s.LateBytes == 0 {
				t.Errorf("counters at the end: %+v", s)
			}
		})
	}
}

// TestCallerLeaves guards against engines that run on for callers that have left, and against bytes
// that stay counted.
func TestCallerLeaves(t *testing.T) {
	const limit = 100 * time.Millisecond
	tests := map[string]struct {
		budget int64
		leave  func(c *stalledCaller, cancel func())
	}{
		"it disconnects":                        {budget: 1 << 20, leave: func(_ *stalledCaller, cancel func()) { cancel() }},
		"a write to it fails":                   {budget: 1 << 20, leave: func(c *stalledCaller, _ func()) { close(c.read) }},
		"it disconnects while there is no room": {leave: func(_ *stalledCaller, cancel func()) { cancel() }},
		"a write fails while there is no room":  {leave: func(c *stalledCaller, _ func()) { close(c.read) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent, ended := make(chan bool), make(chan time.Time, 1)
			f := newBufferedForwarder(t, test.budget, func(w http.ResponseWriter, r *http.Request) {
				streamTo(deliveredEvents, func(*http.Request) { close(sent) })(w, r)
				<-r.Context().Done()
				ended <- time.Now()
			})
			c := newStalledCaller()
			c.gone = true
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			result := make(chan forward.Result, 1)
			g := group.New(ctx)
			defer g.Stop()
			defer c.StopWriting()
			g.GoContext(func(ctx context.Context) { result <- f.stream(ctx, 10*time.Second, c) })
			eventually(t, "an event is being written, others wait", 5*time.Second, func() bool {
				s := f.budget.Stats()
				return s.Bytes > 0 || s.Waiting > 0
			})
			// The engine sends no further event, at which the router would notice that its caller left.
			<-sent
			time.Sleep(20 * time.Millisecond)
			left := time.Now()
			test.leave(c, cancel)
			v := <-result
			if took := time.Since(left); took > limit {
				t.Errorf("the request ended after %v", took)
			}
			if took := (<-ended).Sub(left); took > limit {
				t.Errorf("the engine's exchange ended after %v", took)
			}
			if !v.Truncated || v.Reason != forward.ReasonCallerGone {
				t.Errorf("truncated %t, reason %q", v.Truncated, v.Reason)
			}
			if s := f.budget.Stats(); s.Bytes != 0 || s.Waiting != 0 {
				t.Errorf("counters at the end: %+v", s)
			}
		})
	}
}

// TestWithoutRoom guards against a stream that stops for good when there is no room for it.
func TestWithoutRoom(t *testing.T) {
	f := newBufferedForwarder(t, 0, streamTo(deliveredEvents, complete))
	c := newStalledCaller()
	time.AfterFunc(50*time.Millisecond, func() { close(c.read) })
	if v := f.stream(t.Context(), 10*time.Second, c); v.Truncated || c.text() != eventsFrom(0, deliveredEvents) {
		t.Errorf("truncated %t, the caller got %q", v.Truncated, c.text())
	}
	if s := f.budget.Stats(); s.Full == 0 || s.PeakBytes != 0 {
		t.Errorf("counters at the end: %+v", s)
	}
}

// BenchmarkStreams measures the processor time of a stream of 30 events for a caller that reads at
// once, with the engine's part.
func BenchmarkStreams(b *testing.B) {
	for name, buffered := range map[string]bool{"direct": false, "buffered": true} {
		b.Run(name, func(b *testing.B) {
			f := newBufferedForwarder(b, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
				for n := range 30 {
					fmt.Fprint(w, eventsFrom(n, n+1))
					_ = http.NewResponseController(w).Flush()
				}
			})
			f.Forwarder = f.WithBuffers(f.budget, func() bool { return buffered })
			for b.Loop() {
				if v := f.stream(b.Context(), 10*time.Second, discard{}); v.Truncated || v.Status != http.StatusOK {
					b.Fatalf("%+v", v)
				}
			}
		})
	}
}

// TestManyStalledCallers guards against memory that grows beyond the bound with callers that do not
// read, and against answers that they then do not get whole. The callers are not connections: the
// kernel would take up megabytes for each.
func TestManyStalledCallers(t *testing.T) {
	// Connecting may take 400 ms, which 2,000 connections at once exceed on a busy machine. There is
	// no other target, so the router then refuses the request.
	const events, memory, callersAtOnce = 40, 200 << 20, 50
	callers := 2000
	if raceDetector {
		// With the race detector, 2,000 callers take 750 MB and the router refuses part of them.
		callers = 300
	}
	budget := int64(callers) * 2 << 10
	event := "data: " + strings.Repeat("x", 200) + "\n\n"
	var reached atomic.Int64
	f := newBufferedForwarder(t, budget, func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		for n := range events {
			fmt.Fprintf(w, "id: %d\n%s", n+1, event)
			_ = http.NewResponseController(w).Flush()
		}
	})
	if !f.loop.PostAndWait(t.Context(), func(s *balance.State, now time.Time) { s.SetTargets(now, f.slots(callers)) }) {
		t.Fatal("the control loop did not apply the target")
	}
	g := group.New(t.Context())
	defer g.Wait()
	var list []*stalledCaller
	for i := range callers {
		if i%callersAtOnce == 0 {
			eventually(t, "the callers so far have reached the target", 20*time.Second, func() bool { return reached.Load() == int64(i) })
		}
		c := newStalledCaller()
		list = append(list, c)
		defer c.StopWriting()
		g.GoContext(func(ctx context.Context) {
			if v := f.streamOf(ctx, fmt.Sprint("o", i%8), time.Minute, c); v.Truncated || v.Status != http.StatusOK {
				t.Errorf("status %d, truncated %t, reason %q", v.Status, v.Truncated, v.Reason)
			}
		})
	}
	eventually(t, "most of the budget is used", 20*time.Second, func() bool { return f.budget.Stats().Bytes > budget*3/4 })
	// The race detector multiplies the memory of the process.
	if used := metrics.ReadProcess().ResidentBytes; used > memory && !raceDetector {
		t.Errorf("%d bytes resident", used)
	} else {
		t.Logf("%d MB resident, %+v", used>>20, f.budget.Stats())
	}
	for _, c := range list {
		close(c.read)
	}
	g.Wait()
	for _, c := range list {
		if got := strings.Count(c.text(), event); got != events {
			t.Fatalf("a caller got %d of %d events", got, events)
		}
	}
	if s := f.budget.Stats(); s.PeakBytes > budget || s.Bytes != 0 {
		t.Errorf("counters at the end: %+v", s)
	}
}
