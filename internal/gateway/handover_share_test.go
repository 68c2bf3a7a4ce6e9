package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// sharePair is a router that is always short of CPU time, and one with room. Both know the same
// engine.
type sharePair struct {
	busy        *gateway.Gateway
	busyMetrics *counters.Registry
	lastID      atomic.Int64
}

// newSharePair starts the routers. The organisations "large", "small" and "waiting" share 1,000 tokens a
// second; requests of the last one wait at the router with room, at an engine of their own.
func newSharePair(t *testing.T) *sharePair {
	t.Helper()
	engine := httptest.NewServer(http.HandlerFunc(answer))
	t.Cleanup(engine.Close)
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		answer(w, r)
	}))
	t.Cleanup(full.Close)
	config := spec(1)
	config.Services = append(config.Services, routing.Service{Name: "full", Engine: &routing.Engine{Slots: 1, CacheTokens: 1 << 30}})
	config.Routes = append(config.Routes, routing.Route{
		Name: "full", Host: "h", Prefix: "/full/", Kind: routing.Idempotent, MaxAttempts: 1, Goal: 2 * time.Second,
		Timeout: 5 * time.Second, Shares: []routing.Share{{Service: "full", Weight: 1}},
	})
	config.Limits.TokensPerSecond = 1000
	config.Services[0].Engine = &routing.Engine{Slots: 64, CacheTokens: 1 << 30}
	config.Organisations = []routing.Organisation{{Name: "large", Keys: []string{"large"}}, {Name: "small", Keys: []string{"small"}}, {Name: "waiting", Keys: []string{"waiting"}}}
	p := &sharePair{}
	targets := []balance.Target{
		{ID: "e", Service: "s", Address: engine.Listener.Addr().String(), Zone: "z", Slots: 64},
		{ID: "f", Service: "full", Address: full.Listener.Addr().String(), Zone: "z", Slots: 1},
	}
	other, _ := startBox(t, manyCores, config, targets)
	p.busy, p.busyMetrics = startBox(t, tinyCores, config, targets, other.Self().Peer)
	callers := group.New(context.Background())
	t.Cleanup(callers.Stop)
	for range 4 {
		callers.GoContext(func(ctx context.Context) {
			for ctx.Err() == nil {
				p.send(other, "/full/x", "waiting", 50)
			}
		})
	}
	return p
}

// startBox starts a router that hands connections over.
func startBox(t *testing.T, cores float64, config routing.Spec, targets []balance.Target, seeds ...string) (*gateway.Gateway, *counters.Registry) {
	t.Helper()
	m, n := counters.New(), incarnation.Add(1)
	g, err := gateway.New(context.Background(), gateway.Options{
		ID: fmt.Sprint("router-", n), Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Seeds: seeds,
		Incarnation: n, Headers: headerNames, Codec: codec{}, Log: logr.Discard(), Metrics: m,
		Limits:   balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, QuotaWindow: 4 * time.Second},
		Capacity: cores, Features: feature.Set{Handover: feature.On},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		g.Stop()
		NewWithT(t).Eventually(func() error { return accountError(g) }).Should(Succeed())
	})
	table, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	var entries []message.StoredObject
	for _, to := range targets {
		value, err := json.Marshal(to)
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, message.StoredObject{Name: to.ID, Revision: 1, Value: value})
	}
	g.SetConfig(1, table)
	g.SetTargets(1, entries)
	for !g.Ready() {
		time.Sleep(time.Millisecond)
	}
	return g, m
}

// post sends requests of a number of tokens to the busy router for some time, each on a connection of
// its own, and returns how many connections were handed over meanwhile.
func (p *sharePair) post(organisation string, tokens int, d time.Duration) int64 {
	before := p.accepted()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		p.send(p.busy, "/stream/x", organisation, tokens)
	}
	return p.accepted() - before
}

// send sends a request on a connection of its own and waits for its answer.
func (p *sharePair) send(to *gateway.Gateway, path, organisation string, tokens int) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+to.Self().Address+path, strings.NewReader("question"))
	req.Host = "h"
	req.Header.Set(headerNames.RequestID, fmt.Sprint("s", p.lastID.Add(1)))
	req.Header.Set(headerNames.Deadline, "4000")
	req.Header.Set(headerNames.PromptSize, fmt.Sprint(tokens, ",1"))
	req.Header.Set("Authorization", "Bearer "+organisation)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	if res, err := transport.RoundTrip(req); err == nil {
		_ = res.Body.Close()
	}
}

func (p *sharePair) accepted() int64 {
	w := httptest.NewRecorder()
	p.busyMetrics.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var all struct{ Handover handover.Stats }
	_ = json.Unmarshal(w.Body.Bytes(), &all)
	return all.Handover.Accepted
}

// postUntilHandedOver sends small requests until a connection is handed over, for some seconds at most.
func (p *sharePair) postUntilHandedOver(t *testing.T, organisation string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if p.post(organisation, 1, 200*time.Millisecond) > 0 {
			return
		}
	}
	t.Errorf("no connection of %s handed over", organisation)
}

// Guards against a small box that hands over the connections of an organisation which has had more
// than its share while others wait: large boxes served it, in the room at engines due to others.
func TestNoHandoverBeyondShare(t *testing.T) {
	p := newSharePair(t)
	p.postUntilHandedOver(t, "small")
	// Until other routers' reports tell what the organisation had, its connections may be handed over.
	p.post("large", 100_000, 2*time.Second)
	if n := p.post("large", 100_000, time.Second); n > 0 {
		t.Errorf("%d connections of an organisation beyond its share handed over", n)
	}
	p.postUntilHandedOver(t, "small")
}
