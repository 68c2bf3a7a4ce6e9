package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/freshness"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// drainReads is a StreamStore that records from which revision on the ends of drains are read.
type drainReads struct {
	savedVersions
	since chan int64
}

func (d drainReads) ReadZoneDrains(since int64) { d.since <- since }

// TestTakeUpBeforeZoneDrainsAreRead guards against refusing a stream for good, or taking it for one of the stored version,
// before the ends of zones' drains are read.
func TestTakeUpBeforeZoneDrainsAreRead(t *testing.T) {
	store := drainReads{savedVersions: make(savedVersions, 10), since: make(chan int64, 10)}
	g, err := New(context.Background(), Options{
		ID: "r", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", StreamStore: store, Log: logr.Discard(), Metrics: counters.New(),
		CopyLimits: freshness.Limits{message.StoreZones: time.Second},
		Limits:     balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	v1, v2 := targetOf("s", "v1"), targetOf("s", "v2")
	v1.Revision, v2.Revision = 3, 5
	setTargets(t, g, v1, v2)
	g.RestoreStreams(streamversion.Stored{
		ConfigAt: streamversion.NoStreams,
		Versions: []streamversion.Served{{ServiceVersion: streamversion.ServiceVersion{Service: "s", Version: "v1"}}}, Complete: true,
	})
	lookUp := func() streamversion.Answer {
		return g.records.Lookup(t.Context(), forward.TakeUp{Service: "s", Stream: "r"})
	}
	if a := lookUp(); a.Known || a.Confirmed {
		t.Errorf("before they are read: %+v", a)
	}
	select {
	case since := <-store.since:
		if since != 5 {
			t.Errorf("read from revision %d on, want 5", since)
		}
	case <-time.After(5 * time.Second):
		t.Error("not read")
	}
	g.ZoneDrainsRead(balance.ZoneDrains{Since: 5})
	if a := lookUp(); a.Version != "v1" || a.Evidence != streamversion.EvidenceStoredVersion {
		t.Errorf("after they are read: %+v", a)
	}
}
