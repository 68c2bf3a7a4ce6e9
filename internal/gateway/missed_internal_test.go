package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/freshness"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/unrecorded"
)

// TestTakeUpAfterMissedTargets guards against refusing the streams of a service of one version, or reading the history of
// entries, for longer than there is a doubt after lists of targets were missed, and against taking a history for complete
// that was read before.
func TestTakeUpAfterMissedTargets(t *testing.T) {
	const before, after = 7, 9
	came := []unrecorded.Change{{Name: "b", Revision: 8, Decoded: true, ServiceVersion: streamversion.ServiceVersion{Service: "x", Version: "v2"}}}
	for name, c := range map[string]struct {
		// upToDate is set if none was missed, unchanged if the entry is the same as before.
		upToDate, unchanged bool
		past                *unrecorded.Past
		want                streamversion.Evidence
		// reads is set if the history has to be read.
		reads bool
	}{
		"none was missed":                      {upToDate: true, want: streamversion.EvidenceOnlyVersion},
		"the entry is as before":               {unchanged: true, want: streamversion.EvidenceOnlyVersion},
		"not read yet":                         {reads: true},
		"no other version came":                {past: new(unrecorded.NewPast(before, after, nil)), reads: true, want: streamversion.EvidenceOnlyVersion},
		"another version came":                 {past: new(unrecorded.NewPast(before, after, came)), reads: true},
		"the store has no history left":        {past: &unrecorded.Past{Gone: before, Kept: after, Through: after}, reads: true},
		"older than the history":               {past: &unrecorded.Past{Gone: after}, reads: true, want: streamversion.EvidenceOnlyVersion},
		"read before the lists that were last": {past: new(unrecorded.NewPast(before, after-1, nil)), reads: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := pastReads{savedVersions: make(savedVersions, 100), reads: make(chan [2]int64, 100)}
			g, err := New(context.Background(), Options{
				ID: "r", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", StreamStore: store, Codec: jsonCodec{}, Log: logr.Discard(),
				Metrics: counters.New(), Limits: balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second},
				CopyLimits: freshness.Limits{message.StoreConfig: time.Hour, message.StoreTargets: maxConfigAge},
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(g.Stop)
			g.SetConfig(5, routeTo(t, 1, "x"))
			list := func(at, revision int64) {
				target := targetOf("x", "v1")
				target.Revision = revision
				g.SetTargets(at, []message.StoredObject{storedValue(t, target.ID, revision, target)})
				g.StoreConfirmed(message.StoreTargets, clock.Now())
			}
			g.RestoreStreams(streamversion.Stored{Complete: true, ConfigAt: streamversion.NoStreams})
			list(before, before)
			time.Sleep(2 * maxConfigAge)
			if c.upToDate {
				g.StoreConfirmed(message.StoreTargets, clock.Now())
			}
			if c.unchanged {
				list(after, before)
			} else {
				list(after, after)
			}
			a := takeUpAt(t, g, "x")
			if c.reads != (len(store.reads) > 0) || c.reads == a.Known {
				t.Errorf("%d reads, %+v", len(store.reads), a)
			}
			if len(store.reads) > 0 {
				if r := <-store.reads; r != [2]int64{after, before} {
					t.Errorf("read from %v", r)
				}
			}
			if c.past != nil {
				g.PastRead(*c.past)
				a = takeUpAt(t, g, "x")
			}
			if a.Evidence != c.want {
				t.Errorf("got %+v, want %q", a, c.want)
			}
		})
	}
}

// TestLimitsAreRestored guards against limits of regions that count as those under which all streams have begun, though the
// store told of others, or held a configuration with others since.
func TestLimitsAreRestored(t *testing.T) {
	limited, err := routing.New(routing.Spec{Organisations: []routing.Organisation{{Name: "o", Regions: []string{"near"}}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		stored streamversion.Stored
		later  []*routing.Table
		want   bool
	}{
		"nothing stored before the first start": {stored: streamversion.Stored{ConfigAt: streamversion.NoStreams, Limits: routehistory.Limits{Of: 5}}},
		"none":                                  {stored: streamversion.Stored{ConfigAt: 7}},
		"changed":                               {stored: streamversion.Stored{ConfigAt: 7, Limits: routehistory.Limits{Changed: true}}, want: true},
		"others":                                {stored: streamversion.Stored{ConfigAt: 7, Limits: routehistory.Limits{Of: 5}}, want: true},
		"others since":                          {stored: streamversion.Stored{ConfigAt: 5}, later: []*routing.Table{limited}, want: true},
		"none since":                            {stored: streamversion.Stored{ConfigAt: 5}, later: []*routing.Table{}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newRouteStore()
			g := newRouteGateway(t, store)
			g.SetConfig(7, routeTo(t, 2, "x"))
			c.stored.Complete = true
			g.RestoreStreams(c.stored)
			if c.later != nil {
				g.ConfigsRead(5, c.later, true)
			}
			g.loop.PostAndWait(t.Context(), func(_ *balance.State, now time.Time) {
				if got := g.routes.LimitsChanged(now); got != c.want || !g.routes.Known(now) {
					t.Errorf("changed %t, want %t", got, c.want)
				}
			})
			select {
			case v := <-store.saved:
				if v.Limits.Changed != c.want {
					t.Errorf("stored %+v", v.Limits)
				}
			case <-time.After(5 * time.Second):
				t.Error("not stored")
			}
		})
	}
}
