package freshness_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/freshness"
	"github.com/stepcroft/stepcroft/internal/message"
)

// TestAgesWithoutStore guards against routers that confirm one another's copies for ever while none of them reads
// the store: an age is told without the time that the message takes, so that a copy becomes more recent with each
// router that passes the age on, and nobody reads the store. The routers know how long a ping and its answer take.
func TestAgesWithoutStore(t *testing.T) {
	const (
		routers = 6
		period  = 100 * time.Millisecond
		quiet   = 10 * time.Second
	)
	type delivery struct {
		at       time.Time
		from, to int
		ages     message.Ages
		reply    bool
	}
	for _, transit := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(transit.String(), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(transit)))
			now := time.Unix(1000, 0)
			known := message.Revisions{Config: 1, Version: 1}
			var fleet []*freshness.Tracker
			for range routers {
				r := freshness.New(now, freshness.Limits{message.StoreConfig: time.Second})
				r.ConfirmByStore(now.Add(time.Millisecond), message.StoreConfig, "store", known)
				fleet = append(fleet, r)
			}
			var wire []delivery
			send := func(from, to int, reply bool) {
				wire = append(wire, delivery{now.Add(transit), from, to, fleet[from].Ages(now), reply})
			}
			for end := now.Add(quiet); now.Before(end); now = now.Add(time.Millisecond) {
				for len(wire) > 0 && !now.Before(wire[0].at) {
					d := wire[0]
					wire = wire[1:]
					fleet[d.to].Heard(now, string(rune('a'+d.from)), known, d.ages.Plus(2*transit), known)
					if d.reply {
						send(d.to, d.from, false)
					}
				}
				for from := range fleet {
					if random.IntN(int(period/time.Millisecond)) == 0 {
						send(from, (from+1+random.IntN(routers-1))%routers, true)
					}
				}
			}
			youngest := quiet
			for _, r := range fleet {
				age, _ := r.Age(now, message.StoreConfig)
				youngest = min(youngest, age)
			}
			t.Logf("youngest %v", youngest)
			if youngest < quiet*9/10 {
				t.Errorf("a copy counts as %v old, which nobody has compared with the store for %v", youngest, quiet)
			}
		})
	}
}
