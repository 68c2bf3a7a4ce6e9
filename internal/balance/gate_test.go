package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/cpumeter"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

// flood simulates an organisation that sends perTick requests a tick to a router, and returns
// how many of them were admitted per tick in the second half. The engine completes all its
// requests within a tick but has few slots; each admitted request takes the fraction cost of
// the processor time of a tick.
func flood(t *testing.T, perTick, slots, ticks int, cost float64) float64 {
	t.Helper()
	now := time.Unix(1000, 0)
	s := New(now, "z", Limits{RetryWindow: time.Second, QuotaWindow: time.Second}, rand.New(rand.NewPCG(1, 1)))
	table, err := routing.New(routing.Spec{Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: slots, CacheTokens: 1_000_000}}}})
	if err != nil {
		t.Fatal(err)
	}
	s.Configure(table)
	s.SetTargets(now, []Target{{ID: "e", Service: "llm", Zone: "z", Slots: slots + spareSlots}})
	admitted, counted, recent := 0, 0, 0
	var running []*Ticket
	var gates map[string]*throttle.Gate
	for tick := range ticks {
		for i := range perTick {
			if g := gates["o"]; g != nil && (g.Check(throttle.RequestSize{Input: 10}) != "" || g.Admit(throttle.RequestSize{Input: 10}) != "") {
				continue
			}
			admitted++
			recent++
			k := &Ticket{
				ID: fmt.Sprint(tick, "-", i), Service: "llm", Organisation: "o", Engine: true, Input: 10, Goal: time.Second / 2,
				Arrived: now, Deadline: now.Add(time.Second), Decision: make(chan Decision, 1),
			}
			s.Arrive(now, k)
			running = append(running, k)
		}
		now = now.Add(tickInterval)
		var sent []*Ticket
		for _, k := range running {
			if k.target != nil {
				sent = append(sent, k)
			}
		}
		for _, k := range sent {
			s.Ended(now, k, Answered)
		}
		s.Tick(now)
		if tick%cpumeter.TicksPerMeasurement == 0 {
			s.SetCPUUtilisation(now, float64(recent)/cpumeter.TicksPerMeasurement*cost, 0.2)
			recent = 0
		}
		gates = s.gatesAt(now)
		if tick == ticks/2 {
			admitted, counted = 0, tick
		}
	}
	return float64(admitted) / float64(ticks-counted-1)
}

func TestGate(t *testing.T) {
	for name, c := range map[string]struct {
		perTick, slots int
		cost           float64
		least, most    float64
	}{
		"few are all admitted":                {perTick: 2, slots: 4, least: 2, most: 2},
		"more than engines serve":             {perTick: 40, slots: 2, least: 2, most: 8},
		"many more than engines serve":        {perTick: 400, slots: 2, least: 2, most: 8},
		"more than the processor can handle":  {perTick: 40, slots: 500, cost: 0.1, least: 6, most: 9},
		"as many as the processor can handle": {perTick: 7, slots: 500, cost: 0.1, least: 7, most: 7},
		"more than the processor and engines": {perTick: 400, slots: 2, cost: 0.1, least: 2, most: 8},
	} {
		t.Run(name, func(t *testing.T) {
			if got := flood(t, c.perTick, c.slots, 400, c.cost); got < c.least || got > c.most {
				t.Errorf("%g requests admitted per tick, want %g to %g", got, c.least, c.most)
			}
		})
	}
}
