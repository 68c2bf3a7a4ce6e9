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
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/message"
)

// TestNewsStayInTheirZone changes one target after the other and counts the copies that routers send
// to other zones, which are paid for. Each change has to enter each zone a few times, however many
// routers the zone has, and must reach all.
func TestNewsStayInTheirZone(t *testing.T) {
	const (
		zones, perZone, changes = 2, 12, 20
		// maxFar are the copies to another zone for each change and zone.
		maxFar = 4
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var fleet []*gateway.Gateway
	var counts []*counters.Registry
	var seeds []string
	for i := range zones * perZone {
		counts = append(counts, counters.New())
		g, err := gateway.New(ctx, gateway.Options{
			ID: fmt.Sprint("news-", i), Zone: fmt.Sprint("z", i%zones), Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
			Seeds: seeds, Incarnation: incarnation.Add(1), Headers: headerNames, Codec: codec{}, Log: logr.Discard(),
			Metrics: counts[i], Limits: balance.Limits{QuotaWindow: time.Second},
		})
		if err != nil {
			t.Fatal(err)
		}
		defer g.Stop()
		fleet, seeds = append(fleet, g), append(seeds, g.Self().Peer)
	}
	// The routers learn who is in their zone when they rank themselves for the store.
	time.Sleep(2 * time.Second)
	for _, g := range fleet {
		g.ShouldWatchStore(ctx)
	}
	before := copies(t, counts)
	for i := range changes {
		revision := int64(i + 1)
		value := fmt.Sprintf(`{"ID":"e%d","Service":"s","Zone":"z0","Address":"10.0.0.1:1","Slots":4}`, i)
		fleet[0].ChangeTargets(revision, []catalog.Change{{StoredObject: message.StoredObject{Name: fmt.Sprint("e", i), Revision: revision, Value: []byte(value)}}})
		time.Sleep(150 * time.Millisecond)
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, g := range fleet {
		for g.StoreRevision(ctx) < changes {
			if time.Now().After(deadline) {
				t.Fatalf("a router knows revision %d of %d", g.StoreRevision(ctx), changes)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	sent := copies(t, counts)
	near, far := sent.Near-before.Near, sent.Far-before.Far
	t.Logf("%d copies to routers of the same zone, %d to others", near, far)
	if far > maxFar*changes*(zones-1) {
		t.Errorf("%d copies sent to another zone for %d changes, want at most %d", far, changes, maxFar*changes*(zones-1))
	}
}

type copyCounts struct{ Near, Far int64 }

// copies adds up the copies that all routers have sent.
func copies(t *testing.T, metrics []*counters.Registry) copyCounts {
	t.Helper()
	var sum copyCounts
	for _, m := range metrics {
		w := httptest.NewRecorder()
		m.ServeHTTP(w, nil)
		var values struct {
			Copies copyCounts `json:"copies_sent"`
		}
		if err := json.Unmarshal(w.Body.Bytes(), &values); err != nil {
			t.Fatal(err)
		}
		sum.Near, sum.Far = sum.Near+values.Copies.Near, sum.Far+values.Copies.Far
	}
	return sum
}
