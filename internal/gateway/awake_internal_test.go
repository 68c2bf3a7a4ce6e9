package gateway

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

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/suspects"
)

// jsonCodec reads a routing.Spec and a balance.Target as JSON.
type jsonCodec struct{}

func (jsonCodec) Table(value []byte) (*routing.Table, error) {
	var s routing.Spec
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, err
	}
	return routing.New(s)
}

func (jsonCodec) Target(_ string, value []byte) (balance.Target, error) {
	var t balance.Target
	return t, json.Unmarshal(value, &t)
}

// started counts the routers that these tests have started.
var started atomic.Uint64

// newConfigured returns a configured router for the internal tests.
func newConfigured(t *testing.T, seeds ...string) *Gateway {
	t.Helper()
	return newWithStore(t, nil, seeds...)
}

// newWithStore is newConfigured with a store for held-back requests.
func newWithStore(t *testing.T, store suspects.Store, seeds ...string) *Gateway {
	t.Helper()
	n := started.Add(1)
	g, err := New(context.Background(), Options{
		ID: fmt.Sprint("a", n), Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Seeds: seeds, Incarnation: n,
		Codec: jsonCodec{}, Log: logr.Discard(), Metrics: counters.New(), QuarantineStore: store,
		Limits: balance.Limits{RetryWindow: 10 * time.Second, QuotaWindow: 4 * time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	g.SetConfig(7, []byte(`{"Version":1}`))
	waitReady(t, g, true)
	return g
}

func waitReady(t *testing.T, g *Gateway, want bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); g.Ready() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("ready %v, want %v", !want, want)
		}
	}
}

// simulateSuspension simulates that the router's box was suspended.
func simulateSuspension(g *Gateway, missed time.Duration) {
	g.loop.PostAndWait(context.Background(), func(s *balance.State, now time.Time) { g.resume(s, now, missed) })
}

// TestResumeConfirmsConfiguration guards against serving from an outdated copy of the store: an
// API key was revoked while a box was suspended, and the router still accepted it afterwards,
// since by its clock no time had passed.
func TestResumeConfirmsConfiguration(t *testing.T) {
	cases := map[string]struct {
		missed time.Duration
		// reply is another router's reply to a ping, nil for none.
		reply  *message.Ping
		paused bool
	}{
		"a short suspension":           {missed: 300 * time.Millisecond},
		"a reply with nothing newer":   {missed: 5 * time.Second, paused: true, reply: &message.Ping{Kind: message.PingReply, Revisions: message.Revisions{Config: 7}}},
		"a reply to a ping since then": {missed: 5 * time.Second, paused: true, reply: &message.Ping{Kind: message.PingReply, Number: 1 << 20, Revisions: message.Revisions{Config: 7}}},
		// It has waited in the kernel while the box was suspended.
		"a reply to an earlier ping":   {missed: 5 * time.Second, paused: true, reply: &message.Ping{Kind: message.PingReply, Number: 1, Revisions: message.Revisions{Config: 7}}},
		"no reply":                     {missed: 5 * time.Second, paused: true},
		"a reply with newer revisions": {missed: 5 * time.Second, paused: true, reply: &message.Ping{Kind: message.PingReply, Revisions: message.Revisions{Config: 8}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newConfigured(t)
			other := message.RouterRecord{ID: "b", Zone: "z", Peer: "127.0.0.1:1", Incarnation: 1, Version: 1}
			if c.reply != nil && c.reply.Number > 0 {
				// It asks the first router that it hears from for all that it knows.
				g.receive(member.Member{ID: "b", Peer: other.Peer}, message.Ping{Kind: message.PingNotice, From: other})
			}
			simulateSuspension(g, c.missed)
			if g.Ready() == c.paused {
				t.Fatalf("ready %v just after the suspension", g.Ready())
			}
			if c.paused {
				recorder := httptest.NewRecorder()
				g.server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("")))
				if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
					t.Errorf("status %d, Retry-After %q while unconfirmed", recorder.Code, recorder.Header().Get("Retry-After"))
				}
			}
			if c.reply != nil {
				c.reply.From = other
				g.loop.PostAndWait(context.Background(), func(_ *balance.State, now time.Time) { g.confirmByReply(now, *c.reply) })
				if confirmed := c.reply.Config <= 7 && c.reply.Number != 1; g.Ready() != confirmed {
					t.Errorf("ready %v after the reply, want %v", g.Ready(), confirmed)
				}
			}
			waitReady(t, g, true)
		})
	}
}
