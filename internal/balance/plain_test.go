package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// Requests to a plain service take a fifth of their goal. They come in bursts of three times
// its slots, and can all be served in time if they may queue at its targets.
const (
	burstTargets, burstSlots = 3, 6
	burstWork                = 60 * time.Millisecond
	burstGoal                = 300 * time.Millisecond
	burstSize                = 3 * burstTargets * burstSlots
	burstInterval            = 500 * time.Millisecond
	bursts                   = 20
	// minServedRatio is the fraction of the requests of the later bursts that must be served
	// in time.
	minServedRatio = 0.95
)

// plainTarget serves as many requests at once as it has slots, and queues the others in order.
type plainTarget struct {
	free []time.Time
}

// serve returns when a request that arrives now ends.
func (p *plainTarget) serve(now time.Time) time.Time {
	first := 0
	for i := range p.free {
		if p.free[i].Before(p.free[first]) {
			first = i
		}
	}
	begin := now
	if p.free[first].After(now) {
		begin = p.free[first]
	}
	p.free[first] = begin.Add(burstWork)
	return p.free[first]
}

func TestBurstsOfPlainRequests(t *testing.T) {
	start := time.Unix(1000, 0)
	s := balance.New(start, "z", limits, rand.New(rand.NewPCG(1, 2)))
	table, err := routing.New(routing.Spec{Services: []routing.Service{{Name: "plain"}}})
	if err != nil {
		t.Fatal(err)
	}
	s.Configure(table)
	var list []balance.Target
	targets := map[string]*plainTarget{}
	for i := range burstTargets {
		id := fmt.Sprint("p", i)
		list = append(list, balance.Target{ID: id, Service: "plain", Zone: "z", Slots: burstSlots})
		targets[id] = &plainTarget{free: make([]time.Time, burstSlots)}
	}
	s.SetTargets(start, list)
	served, sent := 0, 0
	for burst := range bursts {
		from := start.Add(time.Duration(burst) * burstInterval)
		inTime := runBurst(s, from, targets, burst)
		if burst < bursts/2 {
			// The service time must be learnt first.
			continue
		}
		served += inTime
		sent += burstSize
	}
	if ratio := float64(served) / float64(sent); ratio < minServedRatio {
		t.Errorf("%.2f of the requests were served in time, want %.2f", ratio, minServedRatio)
	}
}

// runBurst simulates a burst and returns how many of its requests are served in time.
func runBurst(s *balance.State, from time.Time, targets map[string]*plainTarget, burst int) int {
	waiting := map[*balance.Ticket]bool{}
	ends := map[*balance.Ticket]time.Time{}
	inTime := 0
	for now := from; now.Before(from.Add(burstInterval)); now = now.Add(time.Millisecond) {
		if n := int(now.Sub(from) / time.Millisecond); n < burstSize {
			ticket := &balance.Ticket{
				ID: fmt.Sprint(burst, "-", n), Service: "plain", Goal: burstGoal, Arrived: now,
				Deadline: now.Add(time.Second), Decision: make(chan balance.Decision, 1),
			}
			s.Arrive(now, ticket)
			waiting[ticket] = true
		}
		s.Tick(now)
		for ticket := range waiting {
			select {
			case d := <-ticket.Decision:
				delete(waiting, ticket)
				if d.Refused == "" {
					ends[ticket] = targets[d.Target.ID].serve(now)
				}
			default:
				// The request keeps waiting.
			}
		}
		for ticket, at := range ends {
			if at.After(now) {
				continue
			}
			delete(ends, ticket)
			s.Started(now, ticket)
			s.Ended(now, ticket, balance.Answered)
			if at.Sub(ticket.Arrived) <= burstGoal {
				inTime++
			}
		}
	}
	return inTime
}
