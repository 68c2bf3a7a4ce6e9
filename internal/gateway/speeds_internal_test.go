package gateway

import (
	"context"
	"encoding/json"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/countlog"
	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/tally"
)

// TestSpeedsOfZone checks that a zone's sum replaces the direct reports of its routers, and that the
// switch follows the configuration. It guards against engines that count twice.
func TestSpeedsOfZone(t *testing.T) {
	for name, test := range map[string]struct {
		maxPause time.Duration
		want     map[string]enginespeed.Summary
	}{
		"pauses are accepted":     {400 * time.Millisecond, map[string]enginespeed.Summary{"s": {Engines: 2, Fastest: 0.625, Slowest: 1.375}}},
		"pauses are not accepted": {150 * time.Millisecond, map[string]enginespeed.Summary{}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newConfigured(t)
			config, err := json.Marshal(routing.Spec{Version: 2, Services: []routing.Service{{Name: "s"}}, Routes: []routing.Route{{
				Name: "r", Host: "h", Prefix: "/", Kind: routing.Streaming, MaxAttempts: 1, Timeout: 5 * time.Second,
				Goal: 600 * time.Millisecond, MaxPause: test.maxPause, Shares: []routing.Share{{Service: "s", Weight: 1}},
			}}})
			if err != nil {
				t.Fatal(err)
			}
			g.SetConfig(8, config)
			list := []enginespeed.Report{
				{Target: "fast", Service: "s", Sums: enginespeed.Sums{Expected: 900, Actual: 450}},
				{Target: "slow", Service: "s", Sums: enginespeed.Sums{Expected: 900, Actual: 1350}},
			}
			// The router publishes to g.Metrics by itself.
			metrics := counters.New()
			publisher := countlog.New(g.Log, metrics, countlog.Sources{Loop: g.loop, Arrivals: g.server.TakeArrivalStats, Answers: g.answers.budget, Requests: tally.New()})
			g.loop.PostAndWait(context.Background(), func(s *balance.State, now time.Time) {
				from := member.Member{ID: "far", Zone: "y"}
				g.handleStatus(s, now, from, message.Status{Speeds: list})
				g.handleZoneStatus(s, now, from, message.ZoneStatus{Zone: "y", Status: message.Status{Speeds: list}})
				publisher.Update(s, now)
			})
			w := httptest.NewRecorder()
			metrics.ServeHTTP(w, nil)
			var got struct {
				Speeds  map[string]enginespeed.Summary `json:"engine_speeds"`
				Ignored int                            `json:"engine_speeds_ignored"`
			}
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			have, want := got.Speeds["s"], test.want["s"]
			same := have.Engines == want.Engines && math.Abs(have.Fastest-want.Fastest) < 1e-6 && math.Abs(have.Slowest-want.Slowest) < 1e-6
			if len(got.Speeds) != len(test.want) || !same || got.Ignored != 0 {
				t.Errorf("metrics are %+v, want %v", got, test.want)
			}
		})
	}
}
