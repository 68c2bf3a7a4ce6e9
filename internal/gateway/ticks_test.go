package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/gateway"
)

// TestIdleRoutersTickSeldom checks that a router without callers wakes a few times a second only,
// however many others there are. Most routers of a large fleet are such.
func TestIdleRoutersTickSeldom(t *testing.T) {
	const (
		period = 2 * time.Second
		// maxTicks allows for one tick a second for decisions, and for the exchange one before and
		// one after each of four pings a second.
		maxTicks = 10 * int64(period/time.Second)
	)
	for _, routers := range []int{2, 12} {
		ctx, cancel := context.WithCancel(context.Background())
		var fleet []*gateway.Gateway
		var metrics []*counters.Registry
		var seeds []string
		for i := range routers {
			m := counters.New()
			g, err := gateway.New(ctx, gateway.Options{
				ID: fmt.Sprint("r", i), Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Seeds: seeds,
				Incarnation: incarnation.Add(1), Headers: headerNames, Codec: codec{}, Log: logr.Discard(), Metrics: m,
				Limits: balance.Limits{QuotaWindow: time.Second},
			})
			if err != nil {
				t.Fatal(err)
			}
			fleet, metrics, seeds = append(fleet, g), append(metrics, m), append(seeds, g.Self().Peer)
		}
		time.Sleep(2 * time.Second)
		before := countTicks(t, metrics[0])
		time.Sleep(period)
		if n := countTicks(t, metrics[0]) - before; n > maxTicks {
			t.Errorf("%d routers: an idle one ticks %d times in %v, want at most %d", routers, n, period, maxTicks)
		}
		cancel()
		for _, g := range fleet {
			g.Stop()
		}
	}
}

func countTicks(t *testing.T, m *counters.Registry) int64 {
	t.Helper()
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	var values struct{ Ticks map[string]int64 }
	if err := json.Unmarshal(w.Body.Bytes(), &values); err != nil {
		t.Fatal(err)
	}
	return values.Ticks["decisions"] + values.Ticks["exchange"]
}
