package balance_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// TestStreamsBeginAtStoredVersions guards against streams that begin at a version of which there is no trace
// if all routers are killed.
func TestStreamsBeginAtStoredVersions(t *testing.T) {
	v1, v2 := versioned("a", "v1"), versioned("b", "v2")
	leaving := v1
	leaving.Leaving = true
	drained := v1
	drained.Drained = true
	stored := func(versions ...string) (list []streamversion.ServiceVersion) {
		for _, v := range versions {
			list = append(list, streamversion.ServiceVersion{Service: "llm", Version: v})
		}
		return list
	}
	for name, c := range map[string]struct {
		// stream is the id of the stream, version the one that it continues at.
		stream, version string
		listed          []balance.Target
		stored          []streamversion.ServiceVersion
		after           time.Duration
		// may lists the targets that may be chosen.
		may string
	}{
		"one version, not stored":           {stream: "s", listed: []balance.Target{v1}, may: "a"},
		"neither is stored":                 {stream: "s", listed: []balance.Target{v1, v2}, may: "ab"},
		"the newer is not stored":           {stream: "s", listed: []balance.Target{v1, v2}, stored: stored("v1"), may: "a"},
		"both are stored":                   {stream: "s", listed: []balance.Target{v1, v2}, stored: stored("v1", "v2"), may: "ab"},
		"not stored for long":               {stream: "s", listed: []balance.Target{v1, v2}, stored: stored("v1"), after: time.Minute, may: "a"},
		"the stored one leaves":             {stream: "s", listed: []balance.Target{leaving, v2}, stored: stored("v1"), may: "b"},
		"the stored one's zone is drained":  {stream: "s", listed: []balance.Target{drained, v2}, stored: stored("v1"), may: "b"},
		"another service's is stored":       {stream: "s", listed: []balance.Target{v1, v2}, stored: []streamversion.ServiceVersion{{Service: "other", Version: "v1"}}, may: "ab"},
		"no caller can take it up":          {listed: []balance.Target{v1, v2}, stored: stored("v1"), may: "ab"},
		"the rest of a stream of the newer": {stream: "s", version: "v2", listed: []balance.Target{v1, v2}, stored: stored("v1"), may: "b"},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w, chosen := newWorld(0), map[string]bool{}
			w.RequireStoredVersions()
			w.SetTargets(w.now, c.listed)
			w.SetStoredVersions(w.now, c.stored)
			w.now = w.now.Add(c.after)
			for i := range 40 {
				k := w.prompt("o", fmt.Sprint("s", i), 100)
				k.Stream, k.StreamID = true, c.stream
				if c.version != "" {
					k.Version = balance.OnlyVersion(c.version)
				}
				d := w.arrive(k)
				if d == nil || !strings.Contains(c.may, d.Target.ID) {
					t.Fatalf("decision %+v, want one of %q", d, c.may)
				}
				chosen[d.Target.ID] = true
				w.complete(k)
			}
			if len(chosen) != len(c.may) {
				t.Errorf("chosen: %v, want %q", chosen, c.may)
			}
		})
	}
}

// TestUnrecordedVersionWhileNoRouterIsLost guards against refusing streams that began before the start as soon as
// others begin at a newer version: their records are lost only with a router.
func TestUnrecordedVersionWhileNoRouterIsLost(t *testing.T) {
	now := time.Unix(1000, 0)
	s := balance.New(now, "z", balance.Limits{}, nil)
	s.RequireStoredVersions()
	v1 := streamversion.ServiceVersion{Service: "llm", Version: "v1"}
	s.RestoreVersions(now, []streamversion.Served{{ServiceVersion: v1}}, true)
	s.SetTargets(now, []balance.Target{versioned("a", "v1"), versioned("b", "v2")})
	s.RouterLost()
	s.SetStoredVersions(now, []streamversion.ServiceVersion{v1, {Service: "llm", Version: "v2"}})
	if version, _ := s.UnrecordedVersion(now, "llm"); version != "v1" {
		t.Errorf("began at %q, want v1", version)
	}
}

// TestHeldStreamHasAnotherTarget guards against streams that wait or are refused as the only target that they
// may be sent to has a version that is not stored.
func TestHeldStreamHasAnotherTarget(t *testing.T) {
	older, newer := versioned("a", "v1"), versioned("b", "v2")
	older.Zone, newer.Zone = "z", "y"
	for name, prepare := range map[string]func(w *world) *balance.Ticket{
		"the stored one was rolled back": func(w *world) *balance.Ticket {
			tracker := rollout.New(0.1, func() float64 { return 0 })
			tracker.SetOrders(w.now, []rollout.Order{{Service: "llm", Version: "v1", Duration: time.Minute, State: rollout.RolledBack}})
			w.SetRollouts(tracker)
			return w.prompt("o", "s", 100)
		},
		"only its region is allowed": func(w *world) *balance.Ticket {
			table, err := routing.New(routing.Spec{
				Services:      []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 230_000}}},
				Routes:        []routing.Route{{Name: "r", Prefix: "/", Shares: []routing.Share{{Service: "llm"}}, Regions: []string{"newer"}}},
				Organisations: []routing.Organisation{{Name: "o"}},
				Limits:        routing.Limits{TokensPerSecond: tokensPerSecond},
			})
			Expect(err).NotTo(HaveOccurred())
			w.Configure(table)
			w.SetRegions(map[string]string{"z": "older", "y": "newer"})
			k := w.prompt("o", "s", 100)
			k.Path = "/"
			return k
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			w.RequireStoredVersions()
			w.SetTargets(w.now, []balance.Target{older, newer})
			w.SetStoredVersions(w.now, []streamversion.ServiceVersion{{Service: "llm", Version: "v1"}})
			k := prepare(w)
			k.Stream, k.StreamID = true, "s"
			if d := w.arrive(k); d == nil || d.Target.ID != "b" {
				t.Errorf("decision: %+v", d)
			}
		})
	}
}

// TestWaitingStreamStartsOnceVersionIsStored guards against streams that go on waiting for a version that has
// been stored.
func TestWaitingStreamStartsOnceVersionIsStored(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld(0)
	w.RequireStoredVersions()
	full := versioned("a", "v1")
	full.Slots = 1
	w.SetTargets(w.now, []balance.Target{full, versioned("b", "v2")})
	w.SetStoredVersions(w.now, []streamversion.ServiceVersion{{Service: "llm", Version: "v1"}})
	k := w.prompt("o", "s0", 100)
	waits := false
	for i := range 1000 {
		k = w.prompt("o", fmt.Sprint("s", i), 10_000)
		k.Stream, k.StreamID = true, fmt.Sprint("s", i)
		if waits = w.arrive(k) == nil; waits {
			break
		}
	}
	if !waits {
		t.Fatal("no stream waits")
	}
	w.SetStoredVersions(w.now, []streamversion.ServiceVersion{{Service: "llm", Version: "v1"}, {Service: "llm", Version: "v2"}})
	select {
	case d := <-k.Decision:
		if d.Target.ID != "b" {
			t.Errorf("decision: %+v", d)
		}
	default:
		t.Error("still waits")
	}
}
