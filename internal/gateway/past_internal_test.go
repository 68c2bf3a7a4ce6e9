package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/streamrecords"
	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/unrecorded"
)

// pastReads is a StreamStore that records from which revisions on the history of entries is read.
type pastReads struct {
	savedVersions
	reads chan [2]int64
}

func (p pastReads) ReadPast(since, storedAt int64) { p.reads <- [2]int64{since, storedAt} }

// TestTakeUpBeforePastIsRead guards against refusing a stream for good, or taking it for one of the stored version, before
// the history of entries is read, and against reading it for nothing.
func TestTakeUpBeforePastIsRead(t *testing.T) {
	store := pastReads{savedVersions: make(savedVersions, 10), reads: make(chan [2]int64, 10)}
	g, err := New(context.Background(), Options{
		ID: "r", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", StreamStore: store, Log: logr.Discard(), Metrics: counters.New(),
		Limits: balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	early, late := targetOf("early", "v1"), targetOf("late", "v1")
	early.Revision, late.Revision = 3, 9
	setTargets(t, g, early, late)
	g.RestoreStreams(streamversion.Stored{Complete: true, At: 5, ConfigAt: streamversion.NoStreams})
	lookUp := func(service string) streamversion.Answer {
		return g.records.Lookup(t.Context(), forward.TakeUp{Service: service, Stream: "r"})
	}
	if a := lookUp("early"); a.Version != "v1" || len(store.reads) > 0 {
		t.Errorf("not changed since what is stored was written: %+v, %d reads", a, len(store.reads))
	}
	if a := lookUp("late"); a.Known || a.Confirmed {
		t.Errorf("before it is read: %+v", a)
	}
	if n := len(store.reads); n != 1 {
		t.Fatalf("%d reads, want 1", n)
	}
	if r := <-store.reads; r != [2]int64{9, 5} {
		t.Errorf("read from %v, want 9 and 5", r)
	}
	var waiting sync.WaitGroup
	waiting.Go(func() {
		if a := lookUp("late"); a.Version != "v1" {
			t.Errorf("while it is read: %+v", a)
		}
	})
	time.Sleep(streamrecords.MaxPastWait / 10)
	g.PastRead(unrecorded.Past{Gone: 9})
	waiting.Wait()
	if a := lookUp("late"); a.Version != "v1" || a.Evidence != streamversion.EvidenceOnlyVersion {
		t.Errorf("after it is read: %+v", a)
	}
}
