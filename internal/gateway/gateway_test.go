package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
)

func TestGateway(t *testing.T) {
	invariant.Strict()
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// headerNames holds the header names that these tests use.
var headerNames = forward.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Wait-Ms", Organisation: "X-Organisation", ExpectTarget: "X-Expect",
	NotRun: "X-Not-Run", LastEventID: "Last-Event-Id",
	PromptSize: "X-Size", PromptParts: "X-Parts", OutputHint: "X-Hint", FetchFrom: "X-Fetch",
	Reserved: []string{"X-Organisation", "X-Expect", "X-Fetch", "X-Set-Aside"},
}

// headerSeal is a header that is unknown to the router, which has to forward it from targets to
// callers.
const headerSeal = "X-Seal"

// codec reads a routing.Spec and a balance.Target as JSON.
type codec struct{}

func (codec) Table(value []byte) (*routing.Table, error) {
	var s routing.Spec
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, errors.Wrap(err, "table")
	}
	return routing.New(s)
}

func (codec) Target(_ string, value []byte) (balance.Target, error) {
	var t balance.Target
	err := json.Unmarshal(value, &t)
	return t, errors.Wrap(err, "target")
}

// spec returns a configuration with one route of each kind.
func spec(version int64) routing.Spec {
	route := func(name string, kind routing.Kind, attempts int) routing.Route {
		return routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts,
			Shares:  []routing.Share{{Service: "s", Weight: 1}},
			Timeout: 5 * time.Second, Goal: 400 * time.Millisecond, MaxPause: 150 * time.Millisecond,
			Resumable: kind == routing.Streaming && attempts > 1,
		}
	}
	return routing.Spec{
		Version: version,
		Routes: []routing.Route{
			route("once", routing.NonIdempotent, 2), route("many", routing.Idempotent, 2),
			route("stream", routing.Streaming, 2), route("single", routing.Streaming, 1),
		},
		Services:      []routing.Service{{Name: "s"}},
		Organisations: []routing.Organisation{{Name: "o", Keys: []string{"key"}}},
	}
}

// rig is a router with targets whose handlers are part of the test.
type rig struct {
	*gateway.Gateway
	metrics  *counters.Registry
	revision int64
	targets  []message.StoredObject
}

var incarnation atomic.Uint64

// newRig returns a router without a configuration and without targets.
func newRig(seeds ...string) *rig {
	return newRigWith(balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, QuotaWindow: 4 * time.Second}, seeds...)
}

// newRigWith returns such a router with the given limits.
func newRigWith(limits balance.Limits, seeds ...string) *rig {
	return newRigWithStall(limits, 0, seeds...)
}

// newRigWithStall returns such a router that closes connections of callers that read nothing for a time.
func newRigWithStall(limits balance.Limits, maxStall time.Duration, seeds ...string) *rig {
	return newRigWithOptions(gateway.Options{Limits: limits, MaxStall: maxStall, Seeds: seeds})
}

// newRigWithOptions returns such a router with some of its options.
func newRigWithOptions(o gateway.Options) *rig {
	r := &rig{metrics: counters.New()}
	o.Incarnation = incarnation.Add(1)
	o.ID, o.Zone, o.Listen, o.PeerListen = fmt.Sprint("router-", o.Incarnation), "z", "127.0.0.1:0", "127.0.0.1:0"
	o.Headers, o.Codec, o.Log, o.Metrics = headerNames, codec{}, logr.Discard(), r.metrics
	g, err := gateway.New(context.Background(), o)
	Expect(err).NotTo(HaveOccurred())
	r.Gateway = g
	DeferCleanup(r.stopAndCheck)
	return r
}

// stopAndCheck stops the router, and checks that each request that it has read has one end.
func (r *rig) stopAndCheck() {
	r.Stop()
	Eventually(func() error { return accountError(r.Gateway) }).Should(Succeed())
}

// accountError returns an error unless each request that a stopped router has read has one end, as operators see it.
func accountError(g *gateway.Gateway) error {
	w := httptest.NewRecorder()
	g.Metrics.ServeHTTP(w, nil)
	var metrics struct {
		Requests lifecycle.Sums `json:"requests"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &metrics); err != nil {
		return errors.Wrap(err, "metrics")
	}
	if n := metrics.Requests.Open; n > 0 {
		return errors.Errorf("%d requests still in progress", n)
	}
	return metrics.Requests.Check()
}

func (r *rig) configure(s routing.Spec) {
	value, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	r.revision++
	r.SetConfig(r.revision, value)
	Eventually(r.Ready).Should(BeTrue())
}

// stored returns a target's entry.
func stored(revision int64, t balance.Target) message.StoredObject {
	value, err := json.Marshal(t)
	Expect(err).NotTo(HaveOccurred())
	return message.StoredObject{Name: t.ID, Revision: revision, Value: value}
}

// serve adds a target that answers with handler and returns its address.
func (r *rig) serve(id string, handler http.HandlerFunc) string {
	server := httptest.NewServer(identified(handler))
	DeferCleanup(server.Close)
	address := server.Listener.Addr().String()
	r.add(id, address)
	return address
}

// identified returns a handler whose answers carry the id of their request, as those of all targets do.
func identified(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
		h(w, r)
	}
}

// add adds a target at an address.
func (r *rig) add(id, address string) {
	r.revision++
	t := balance.Target{ID: id, Service: "s", Address: address, Zone: "z", Slots: 4}
	r.targets = append(r.targets, stored(r.revision, t))
	r.SetTargets(r.revision, r.targets)
	// Addresses waits until the control goroutine has applied the targets, since it handles both
	// calls in order.
	r.Addresses(context.Background(), "z")
}

// reply is a response as the caller received it.
type reply struct {
	Status int
	Header http.Header
	Body   string
	// Closing is set if the router asked to close the connection.
	Closing bool
	// Err is set if the request failed or the response broke off.
	Err error
}

var lastID atomic.Int64

func newRequest(address, path string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("question"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	req.Header.Set(headerNames.RequestID, fmt.Sprint("r", lastID.Add(1)))
	req.Header.Set(headerNames.Deadline, "4000")
	req.Header.Set("Authorization", "Bearer key")
	return req
}

func do(req *http.Request) reply {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(req)
	if err != nil {
		return reply{Err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return reply{Status: res.StatusCode, Header: res.Header, Body: string(body), Closing: res.Close, Err: err}
}

func (r *rig) post(path string) reply { return do(newRequest(r.Self().Address, path)) }

// answer is a target's handler that sends a complete response.
func answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
	w.Header().Set(headerSeal, "seal")
	fmt.Fprint(w, "answer")
}

// streamer returns a target's handler that streams the events from the first, or the one after
// Last-Event-Id, to last. It breaks off within the next event if last is less than end.
func streamer(end, last int, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from := 0
		if text := r.Header.Get(headerNames.LastEventID); text != "" {
			_, err := fmt.Sscan(text, &from)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
		w.Header().Set(headerSeal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from + 1; i <= last; i++ {
			fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
		if last < end {
			fmt.Fprint(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// fullStream returns the text of a stream of n events.
func fullStream(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// serveConns adds a target that calls f with each connection.
func (r *rig) serveConns(id string, f func(c net.Conn)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wait.Go(func() {
				defer c.Close()
				f(c)
			})
		}
	})
	DeferCleanup(func() {
		Expect(l.Close()).To(Succeed())
		wait.Wait()
	})
	r.add(id, l.Addr().String())
}

// background runs f in a goroutine; the test's cleanup waits for it.
func background(f func()) {
	var wait sync.WaitGroup
	wait.Go(func() {
		defer GinkgoRecover()
		f()
	})
	DeferCleanup(wait.Wait)
}
