package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/suspicion"
)

// targetEntry returns a target's entry in the store.
func targetEntry(t *testing.T, revision int64, target balance.Target) message.StoredObject {
	t.Helper()
	value, err := json.Marshal(target)
	if err != nil {
		t.Fatal(err)
	}
	return message.StoredObject{Name: target.ID, Revision: revision, Value: value}
}

// TestRestartCountsAsCrash has a target break off a response, which does not count as a crash by
// itself, and then restart under its id, which shows that the earlier process has crashed.
func TestRestartCountsAsCrash(t *testing.T) {
	g := newConfigured(t)
	target := balance.Target{ID: "t", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 1, Born: 5}
	g.SetTargets(8, []message.StoredObject{targetEntry(t, 8, target)})
	k := quarantine.KeyOf("o", "POST", "/x", nil)
	if n := g.suspects.RecordBreak(context.Background(), suspicion.Break{Attributes: []quarantine.Attribute{{Key: k}}, Organisation: "o", Target: target}); n != 0 {
		t.Fatalf("%d crashes counted before the restart, want 0", n)
	}
	target.Born = 6
	g.SetTargets(9, []message.StoredObject{targetEntry(t, 9, target)})
	g.SetTargets(10, []message.StoredObject{targetEntry(t, 10, target)})
	if n := len(g.Suspects(context.Background())); n != 1 || g.suspects.View().Crashes(k) != 1 {
		t.Errorf("%d suspected, %d crashes counted after the restart, want 1 and 1", n, g.suspects.View().Crashes(k))
	}
}

// reportLeaving makes the only target of a service report in a response that it is leaving.
func reportLeaving(g *Gateway) {
	g.loop.PostAndWait(context.Background(), func(s *balance.State, now time.Time) {
		t := &balance.Ticket{
			ID: "r", Service: "s", Goal: time.Second, Arrived: now, Deadline: now.Add(time.Second), Decision: make(chan balance.Decision, 1),
		}
		s.Arrive(now, t)
		s.RecordLeaving(now, t)
		s.Ended(now, t, balance.Answered)
	})
}

// TestUnexpectedExits tests which exits of targets count against the requests that ran there.
func TestUnexpectedExits(t *testing.T) {
	target := balance.Target{ID: "t", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 1, Born: 5}
	leaving, again := target, target
	leaving.Leaving, again.Born = true, 6
	gone := []catalog.Change{{StoredObject: message.StoredObject{Name: "t", Revision: 9}, Gone: true}}
	cases := map[string]struct {
		// before tells the router something about the target before it exits.
		before func(g *Gateway)
		ended  bool
		want   int
	}{
		"a listed target":               {ended: true, want: 1},
		"a broken response alone":       {},
		"one that left by its response": {ended: true, before: reportLeaving},
		"one that left by its entry":    {ended: true, before: func(g *Gateway) { g.SetTargets(9, []message.StoredObject{targetEntry(t, 9, leaving)}) }},
		"one whose entry was removed":   {ended: true, before: func(g *Gateway) { g.ChangeTargets(9, gone) }},
		"one that restarted":            {ended: true, before: func(g *Gateway) { g.SetTargets(9, []message.StoredObject{targetEntry(t, 9, again)}) }, want: 1},
		"one with a lapsed entry":       {ended: true, before: func(g *Gateway) { g.StoreUnstable(); g.ChangeTargets(9, gone) }, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newConfigured(t)
			g.SetTargets(8, []message.StoredObject{targetEntry(t, 8, target)})
			if c.before != nil {
				c.before(g)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			k := quarantine.KeyOf("o", "POST", "/x", nil)
			if got := g.suspects.RecordBreak(ctx, suspicion.Break{Attributes: []quarantine.Attribute{{Key: k}}, Organisation: "o", Target: target, TargetExited: c.ended}); got != c.want {
				t.Errorf("%d crashes counted, want %d", got, c.want)
			}
		})
	}
}

// countingStore is a suspects.Store that counts the calls of Save by key.
type countingStore struct {
	mu    sync.Mutex
	count map[quarantine.Key]int
}

func (k *countingStore) Save(r quarantine.Record) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count[r.Key]++
	return true
}

// reset forgets the calls so far.
func (k *countingStore) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.count)
}

func (k *countingStore) Delete(quarantine.Key) bool { return true }

// TestHeldBackRequestsAfterStoreCameBackOlder guards against losing held-back requests: a store
// that came back from an older copy may lack them, and they would be lost if all routers were
// killed without having written them again.
func TestHeldBackRequestsAfterStoreCameBackOlder(t *testing.T) {
	store := &countingStore{count: map[quarantine.Key]int{}}
	g := newWithStore(t, store)
	key := quarantine.KeyOf("o", "POST", "/x", nil)
	for i := range 3 {
		target := balance.Target{ID: fmt.Sprint("t", i), Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 1, Born: 5}
		g.SetTargets(int64(8+i), []message.StoredObject{targetEntry(t, int64(8+i), target)})
		g.suspects.RecordBreak(context.Background(), suspicion.Break{Attributes: []quarantine.Attribute{{Key: key}}, Organisation: "o", Target: target, TargetExited: true})
	}
	count := func() int {
		store.mu.Lock()
		defer store.mu.Unlock()
		return store.count[key]
	}
	before := count()
	if before == 0 {
		t.Fatal("the request is not held back")
	}
	// The method is called once for each kind of object that is watched.
	for range 3 {
		g.StoreCameBackOlder(1)
	}
	g.loop.PostAndWait(context.Background(), func(*balance.State, time.Time) {})
	if n := count() - before; n != 1 {
		t.Errorf("written %d times after the store came back, want once", n)
	}
}

// TestAllHeldBackRequestsAfterStoreCameBackOlder guards against storing only some of the held-back requests
// again: the limit on what is sent to other routers applied to the store, too.
func TestAllHeldBackRequestsAfterStoreCameBackOlder(t *testing.T) {
	store := &countingStore{count: map[quarantine.Key]int{}}
	g := newWithStore(t, store)
	const requests = 120
	var list []quarantine.Record
	for i := range requests {
		list = append(list, quarantine.Record{
			Key: quarantine.KeyOf("o", "POST", fmt.Sprint("/", i), nil), Organisation: "o",
			Crashes: []quarantine.Crash{{Target: "a@1"}, {Target: "b@2"}, {Target: "c@3"}},
		})
	}
	g.Restore(list)
	g.loop.PostAndWait(context.Background(), func(*balance.State, time.Time) {
		// Only what is written from here on counts.
		store.reset()
	})
	g.StoreCameBackOlder(1)
	g.loop.PostAndWait(context.Background(), func(*balance.State, time.Time) {})
	store.mu.Lock()
	defer store.mu.Unlock()
	if len(store.count) != requests {
		t.Errorf("%d of %d requests written again", len(store.count), requests)
	}
}

// TestEarlierServicesDoNotWaitForControl guards against requests that wait for the control goroutine as they are checked
// for parts of prompts that were held back where their route led before.
func TestEarlierServicesDoNotWaitForControl(t *testing.T) {
	g := newRouteGateway(t, nil)
	g.SetConfig(7, routeTo(t, 1, "x"))
	g.SetConfig(9, routeTo(t, 2, "y"))
	held, release := make(chan struct{}), make(chan struct{})
	g.loop.Post(func(*balance.State, time.Time) {
		close(held)
		<-release
	})
	defer close(release)
	<-held
	got := make(chan []string, 1)
	g.group.Go(func() { got <- g.suspects.EarlierServices("h", "/p", "id", "y") })
	select {
	case list := <-got:
		if !slices.Equal(list, []string{"x"}) {
			t.Errorf("got %v, want x", list)
		}
	case <-time.After(5 * time.Second):
		t.Error("waits for the control goroutine")
	}
}
