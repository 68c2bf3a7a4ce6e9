package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// sharePair is a router that is always short of CPU time, and one with room. Both know the same
// engine.
type sharePair struct {
	busy        *gateway.Gateway
	busyMetrics *gateway.Metrics
	lastID      int
}

// newSharePair starts the routers; the organisations "large" and "small" share an engine of 1,000
// tokens a second.
func newSharePair(t *testing.T) *sharePair {
	t.Helper()
	engine := httptest.NewServer(http.HandlerFunc(answer))
	t.Cleanup(engine.Close)
	config := spec(1)
	config.Limits.TokensPerSecond = 1000
	config.Services[0].Engine = &routing.Engine{Slots: 64, CacheTokens: 1 << 30}
	config.Organisations = []routing.Organisation{{Name: "large", Keys: []string{"large"}}, {Name: "small", Keys: []string{"small"}}}
	p := &sharePair{}
	other, _ := startBox(t, manyCores, config, engine.Listener.Addr().String())
	p.busy, p.busyMetrics = startBox(t, tinyCores, config, engine.Listener.Addr().String(), other.Self().Peer)
	return p
}

// startBox starts a router that hands connections over.
func startBox(t *testing.T, cores float64, config routing.Spec, engine string, seeds ...string) (*gateway.Gateway, *gateway.Metrics) {
	t.Helper()
	m, n := gateway.NewMetrics(), incarnation.Add(1)
	g, err := gateway.New(context.Background(), gateway.Options{
		ID: fmt.Sprint("router-", n), Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Seeds: seeds,
		Incarnation: n, Headers: headerNames, Codec: codec{}, Log: logr.Discard(), Metrics: m,
		Limits:   balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, QuotaWindow: 4 * time.Second},
		Capacity: cores, Features: feature.Set{Handover: feature.On},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	table, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	target, err := json.Marshal(balance.Target{ID: "e", Service: "s", Address: engine, Zone: "z", Slots: 64})
	if err != nil {
		t.Fatal(err)
	}
	g.SetConfig(1, table)
	g.SetTargets(1, []message.StoredObject{{Name: "e", Revision: 1, Value: target}})
	for !g.Ready() {
		time.Sleep(time.Millisecond)
	}
	return g, m
}

// post sends requests of a number of tokens to the busy router for some time, each on a connection of
// its own, and returns how many connections were handed over meanwhile.
func (p *sharePair) post(organisation string, tokens int, d time.Duration) int64 {
	before := p.accepted()
	transport := &http.Transport{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		p.lastID++
		req, _ := http.NewRequest(http.MethodPost, "http://"+p.busy.Self().Address+"/stream/x", strings.NewReader("question"))
		req.Host = "h"
		req.Header.Set(headerNames.RequestID, fmt.Sprint("s", p.lastID))
		req.Header.Set(headerNames.Deadline, "4000")
		req.Header.Set(headerNames.PromptSize, fmt.Sprint(tokens, ",1"))
		req.Header.Set("Authorization", "Bearer "+organisation)
		if res, err := transport.RoundTrip(req); err == nil {
			_ = res.Body.Close()
		}
		transport.CloseIdleConnections()
	}
	return p.accepted() - before
}

func (p *sharePair) accepted() int64 {
	w := httptest.NewRecorder()
	p.busyMetrics.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var all struct{ Handover handover.Stats }
	_ = json.Unmarshal(w.Body.Bytes(), &all)
	return all.Handover.Accepted
}

// Guards against a small box that hands over the connections of an organisation which has had more
// than its share: large boxes served it, in the room at engines that was due to others.
func TestNoHandoverBeyondShare(t *testing.T) {
	p := newSharePair(t)
	if n := p.post("small", 1, time.Second); n == 0 {
		t.Error("no connection of an organisation within its share handed over")
	}
	// Until other routers' reports tell what the organisation had, its connections may be handed over.
	p.post("large", 100_000, 2*time.Second)
	if n := p.post("large", 100_000, time.Second); n > 0 {
		t.Errorf("%d connections of an organisation beyond its share handed over", n)
	}
	if n := p.post("small", 1, time.Second); n == 0 {
		t.Error("no connection of an organisation within its share handed over beside another one")
	}
}
