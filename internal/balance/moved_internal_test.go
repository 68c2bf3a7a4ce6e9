package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/feature"
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
