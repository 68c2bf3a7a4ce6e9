package trial_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/trial"
)

// fleet has two routers, of which "first" decides. What they post and send is done at once, unless it is lost.
type fleet struct {
	self    message.RouterID
	routers map[message.RouterID]*trial.Trials
	lost    func(m message.Trial) bool
}

func (f fleet) Post(do func(now time.Time)) { do(time.Now()) }

func (f fleet) First(time.Time, quarantine.Key) message.RouterRecord {
	return message.RouterRecord{ID: "first"}
}

func (f fleet) Send(to member.Member, m message.Message) {
	if question := m.(message.Trial); !f.lost(question) {
		f.routers[to.ID].Handle(time.Now(), member.Member{ID: f.self}, question)
	}
}

// newFleet returns routers that hold back the request with a key and may send it on trial.
func newFleet(k quarantine.Key, lost func(m message.Trial) bool) map[message.RouterID]*trial.Trials {
	routers := map[message.RouterID]*trial.Trials{}
	for _, id := range []message.RouterID{"first", "second"} {
		state := quarantine.New()
		r := quarantine.Record{Key: k, Organisation: "o", SinceCrash: 10 * time.Second}
		for i := range 3 {
			r.Crashes = append(r.Crashes, quarantine.Crash{Target: fmt.Sprint("t", i)})
		}
		state.Merge(time.Now(), []quarantine.Record{r})
		routers[id] = trial.New(id, state, fleet{id, routers, lost}, logr.Discard())
	}
	return routers
}

func TestOneRouterAfterAnother(t *testing.T) {
	k := quarantine.KeyOf("o", "POST", "/x", nil)
	steps := func(m ...message.TrialStep) func(message.Trial) bool {
		return func(q message.Trial) bool {
			for _, s := range m {
				if q.Step == s {
					return true
				}
			}
			return false
		}
	}
	for name, c := range map[string]struct {
		lost func(m message.Trial) bool
		// starts are the routers at which the request comes one after another, want whether it may be sent.
		starts []message.RouterID
		// ended is set if a trial ends before the next one.
		ended bool
		want  []bool
	}{
		"at the first":               {steps(), []message.RouterID{"first"}, false, []bool{true}},
		"at the other":               {steps(), []message.RouterID{"second"}, false, []bool{true}},
		"while it runs at the other": {steps(), []message.RouterID{"second", "first"}, false, []bool{true, false}},
		"while it runs at the first": {steps(), []message.RouterID{"first", "second"}, false, []bool{true, false}},
		"after it ran at the other":  {steps(), []message.RouterID{"second", "first"}, true, []bool{true, true}},
		"the question is lost":       {steps(message.TrialAsked), []message.RouterID{"second", "first"}, false, []bool{false, true}},
		"the grant is lost":          {steps(message.TrialGranted), []message.RouterID{"second", "first"}, false, []bool{false, false}},
		"the end is not told":        {steps(message.TrialEnded), []message.RouterID{"second", "first"}, true, []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				routers := newFleet(k, c.lost)
				for i, id := range c.starts {
					if got := routers[id].Start(context.Background(), time.Now().Add(time.Minute), []quarantine.Key{k}); got != c.want[i] {
						t.Errorf("at %s: allowed %v, want %v", id, got, c.want[i])
					}
					if c.ended {
						routers[id].End(k, false)
					}
				}
			})
		})
	}
}
