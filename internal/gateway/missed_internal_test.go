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
