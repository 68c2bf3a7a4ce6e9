package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestTargetOfAnotherService guards against a target whose entry names another service, and that counts there by what it
// did for the one before.
func TestTargetOfAnotherService(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(now, "z", Limits{RetryWindow: time.Second, QuotaWindow: 4 * time.Second}, rand.New(rand.NewPCG(1, 2)))
	s.SetFeatures(feature.Set{EngineSpeeds: feature.On})
	table, err := routing.New(routing.Spec{Services: []routing.Service{{Name: "before"}, {Name: "after"}}})
	if err != nil {
		t.Fatal(err)
	}
	s.Configure(table)
	entry := func(id, service string) Target { return Target{ID: id, Service: service, Zone: "z", Slots: 4, Born: 1} }
	s.SetTargets(now, []Target{entry("moves", "before"), entry("stays", "before"), entry("other", "after")})
	send := func(service string, took time.Duration) string {
		k := &Ticket{ID: fmt.Sprint("t", now.UnixNano()), Service: service, Goal: time.Second, Arrived: now, Deadline: now.Add(time.Minute), Decision: make(chan Decision, 1)}
		s.Arrive(now, k)
		d := <-k.Decision
		now = now.Add(took)
		s.Started(now, k)
		s.Ended(now, k, Answered)
		return d.Target.ID
	}
	observe := func(service, id string, took time.Duration) {
		for range 20 {
			s.speeds.Observe(now, service, entry(id, service).Incarnation(), 100*time.Millisecond, took)
		}
	}
	for range 20 {
		send("before", time.Millisecond)
	}
	observe("before", "moves", 70*time.Millisecond)
	observe("before", "stays", 140*time.Millisecond)
	if s.targets["moves"].serviceTime == 0 {
		t.Fatal("no request ran at the target that moves")
	}

	s.ChangeTargets(now, []Target{entry("moves", "after")}, nil)
	if got := s.targets["moves"].maxRunning(time.Second); got != 6 {
		t.Errorf("%d requests may run at the target, want 6 as long as its service time is not known", got)
	}
	if got := s.targets["stays"].serviceTime; got == 0 {
		t.Error("the service time of another target is forgotten")
	}
	observe("after", "moves", 200*time.Millisecond)
	observe("after", "other", 100*time.Millisecond)
	if got := s.speeds.Lookup(now, "after", "moves@1"); got < 1.2 {
		t.Errorf("factor %.2f, want over 1.2", got)
	}
	for range 4 {
		if id := send("before", time.Millisecond); id != "stays" {
			t.Errorf("sent to %s", id)
		}
	}
}

// TestRolloutOfMovedTarget shows that roll-outs are those of the service that a target's entry names now, and requests
// those of the service that they were admitted for.
func TestRolloutOfMovedTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		ordered string
		refused Reason
	}{
		"rolled back at its service":         {ordered: "after", refused: NoAllowedTarget},
		"rolled back at the one before":      {ordered: "before"},
		"rolled back at a service of others": {ordered: "other"},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(now, "z", Limits{RetryWindow: time.Second, QuotaWindow: 4 * time.Second}, rand.New(rand.NewPCG(1, 2)))
			tracker := rollout.New(0.1, func() float64 { return 0 })
			tracker.SetOrders(now, []rollout.Order{{Service: c.ordered, Version: "v2", Duration: time.Minute, State: rollout.RolledBack}})
			s.SetRollouts(tracker)
			entry := Target{ID: "moves", Service: "before", Zone: "z", Slots: 4, Born: 1, Version: "v2"}
			s.SetTargets(now, []Target{entry})
			entry.Service = "after"
			s.ChangeTargets(now, []Target{entry}, nil)
			k := &Ticket{ID: "t", Service: "after", Goal: time.Second, Arrived: now, Deadline: now.Add(time.Minute), Decision: make(chan Decision, 1)}
			s.Arrive(now, k)
			if d := <-k.Decision; d.Refused != c.refused {
				t.Errorf("refused %q, want %q", d.Refused, c.refused)
			}
			old := &Ticket{ID: "o", Service: "before", Goal: time.Second, Arrived: now, Deadline: now.Add(time.Minute), Decision: make(chan Decision, 1)}
			s.Arrive(now, old)
			s.Tick(now.Add(2 * time.Second))
			if d := <-old.Decision; d.Refused == "" {
				t.Errorf("a request to the service before was sent to %s", d.Target.ID)
			}
		})
	}
}
