package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/streamstore"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// savedVersions is a StreamStore that records the versions in service.
type savedVersions chan []streamversion.Served

func (savedVersions) SaveStreams(streamversion.Snapshot) bool { return true }

func (s savedVersions) SaveVersions(v streamversion.Versions) bool {
	s <- v.Served
	return true
}

func (savedVersions) ReadVersions() {}

func (savedVersions) ReadZoneDrains(int64) {}

func (savedVersions) ReadPast(int64, int64) {}

func (savedVersions) ReadConfigs(int64) {}

// TestVersionsAreStoredAfterLateRestore guards against versions that are never stored since they came before
// what was stored could be read.
func TestVersionsAreStoredAfterLateRestore(t *testing.T) {
	saved := make(savedVersions, 10)
	g, err := New(context.Background(), Options{
		ID: "r", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", StreamStore: saved, Log: logr.Discard(), Metrics: counters.New(),
		Limits: balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Stop()
	target := balance.Target{ID: "e", Service: "s", Zone: "z", Slots: 1, Address: "127.0.0.1:1", Version: "v1"}
	g.loop.PostAndWait(t.Context(), func(s *balance.State, now time.Time) { s.SetTargets(now, []balance.Target{target}) })
	time.Sleep(streamstore.Takeover + 500*time.Millisecond)
	if len(saved) > 0 {
		t.Fatal("versions were written before what is stored was read")
	}
	g.RestoreStreams(streamversion.Stored{Complete: true})
	select {
	case list := <-saved:
		if len(list) != 1 || list[0].Version != "v1" {
			t.Errorf("stored %+v", list)
		}
	case <-time.After(10 * time.Second):
		t.Error("the versions in service were not stored")
	}
}
