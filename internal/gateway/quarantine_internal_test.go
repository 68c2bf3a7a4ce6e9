package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// listedAs returns a target's entry.
func listedAs(t *testing.T, revision int64, target balance.Target) message.StoredObject {
	t.Helper()
	value, err := json.Marshal(target)
	if err != nil {
		t.Fatal(err)
	}
	return message.StoredObject{Name: target.ID, Revision: revision, Value: value}
}

// TestRestartTellsOfTheEnd has a target break off an answer, which is no end of its process
// by itself, and start again under its id.
func TestRestartTellsOfTheEnd(t *testing.T) {
	g := newOwn(t)
	target := balance.Target{ID: "t", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 1, Born: 5}
	g.SetTargets(8, []message.StoredObject{listedAs(t, 8, target)})
	k := quarantine.KeyOf("o", "POST", "/x", nil)
	if n := (suspects{g}).RecordBreak(context.Background(), forward.Break{Key: k, Organisation: "o", Target: target}); n != 0 {
		t.Fatalf("%d ends counted before", n)
	}
	target.Born = 6
	g.SetTargets(9, []message.StoredObject{listedAs(t, 9, target)})
	g.SetTargets(10, []message.StoredObject{listedAs(t, 10, target)})
	if n := len(g.Suspects(context.Background())); n != 1 || (suspects{g}).View().Crashes(k) != 1 {
		t.Errorf("%d suspected, %d ends counted after it", n, (suspects{g}).View().Crashes(k))
	}
}

// saysThatItLeaves makes the only target of a service say in an answer that it leaves.
func saysThatItLeaves(g *Gateway) {
	g.loop.PostAndWait(context.Background(), func(s *balance.State, now time.Time) {
		t := &balance.Ticket{
			ID: "r", Service: "s", Goal: time.Second, Arrived: now, Deadline: now.Add(time.Second), Decision: make(chan balance.Decision, 1),
		}
		s.Arrive(now, t)
		s.RecordLeaving(now, t)
		s.Ended(now, t, balance.Answered)
	})
}

// TestUnannouncedEnds says which ends of targets are counted against what ran there.
func TestUnannouncedEnds(t *testing.T) {
	target := balance.Target{ID: "t", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 1, Born: 5}
	leaving, again := target, target
	leaving.Leaving, again.Born = true, 6
	gone := []catalog.Change{{StoredObject: message.StoredObject{Name: "t", Revision: 9}, Gone: true}}
	cases := map[string]struct {
		// before is what the router hears of it before it ends.
		before func(g *Gateway)
		ended  bool
		want   int
	}{
		"a listed target":                {ended: true, want: 1},
		"a broken answer alone":          {},
		"one that said so in an answer":  {ended: true, before: saysThatItLeaves},
		"one that said that it leaves":   {ended: true, before: func(g *Gateway) { g.SetTargets(9, []message.StoredObject{listedAs(t, 9, leaving)}) }},
		"one whose entry went":           {ended: true, before: func(g *Gateway) { g.ChangeTargets(9, gone) }},
		"one that started again":         {ended: true, before: func(g *Gateway) { g.SetTargets(9, []message.StoredObject{listedAs(t, 9, again)}) }, want: 1},
		"one that lapsed with the store": {ended: true, before: func(g *Gateway) { g.StoreUnstable(); g.ChangeTargets(9, gone) }, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newOwn(t)
			g.SetTargets(8, []message.StoredObject{listedAs(t, 8, target)})
			if c.before != nil {
				c.before(g)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			k := quarantine.KeyOf("o", "POST", "/x", nil)
			if got := (suspects{g}).RecordBreak(ctx, forward.Break{Key: k, Organisation: "o", Target: target, TargetExited: c.ended}); got != c.want {
				t.Errorf("%d ends counted, want %d", got, c.want)
			}
		})
	}
}

// kept counts what is to be kept, by key.
type kept struct {
	mu    sync.Mutex
	count map[quarantine.Key]int
}

func (k *kept) Keep(r quarantine.Record) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count[r.Key]++
	return true
}

func (k *kept) Drop(quarantine.Key) bool { return true }

// Requests that are held back are forgotten for good where a store that came back from an older
// copy lacks them and then all routers are killed.
func TestHeldBackRequestsAfterStoreCameBackOlder(t *testing.T) {
	g := newOwn(t)
	keeper := &kept{count: map[quarantine.Key]int{}}
	key := quarantine.KeyOf("o", "POST", "/x", nil)
	g.loop.PostAndWait(context.Background(), func(*balance.State, time.Time) { g.Keeper = keeper })
	for i := range 3 {
		target := balance.Target{ID: fmt.Sprint("t", i), Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 1, Born: 5}
		g.SetTargets(int64(8+i), []message.StoredObject{listedAs(t, int64(8+i), target)})
		(suspects{g}).RecordBreak(context.Background(), forward.Break{Key: key, Organisation: "o", Target: target, TargetExited: true})
	}
	count := func() int {
		keeper.mu.Lock()
		defer keeper.mu.Unlock()
		return keeper.count[key]
	}
	before := count()
	if before == 0 {
		t.Fatal("the request is not held back")
	}
	// Each kind that is followed tells of it.
	for range 3 {
		g.StoreCameBackOlder(1)
	}
	g.loop.PostAndWait(context.Background(), func(*balance.State, time.Time) {})
	if n := count() - before; n != 1 {
		t.Errorf("kept %d times after the store came back, want once", n)
	}
}
