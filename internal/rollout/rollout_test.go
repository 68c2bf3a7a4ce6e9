package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/rollout"
)

// ExampleTracker shows which versions requests may be sent to while a roll-out is on trial and
// after it was rolled back.
func ExampleTracker() {
	now := time.Unix(1000, 0)
	t := rollout.New(0.1, func() float64 { return 0 })
	t.SetOrders(now, []rollout.Order{{Service: "s", Version: "v2", Duration: time.Minute, State: rollout.Serving}})
	onTrial := 0
	for i := range 10_000 {
		if t.Allows(now, "s", "v2", fmt.Sprint("request ", i)) {
			onTrial++
		}
	}
	fmt.Println(onTrial > 250 && onTrial < 350, t.Allows(now, "s", "v1", "request"))
	for range 20 {
		t.Record("s", "v1", false)
		t.Record("s", "v2", true)
	}
	for _, d := range t.Decide(now) {
		fmt.Println(d.Service, d.Version, d.State)
	}
	fmt.Println(t.Allows(now, "s", "v2", "request"))
	// Output:
	// true true
	// s v2 rolled_back
	// false
}

// version describes how the ordered version behaves in a play.
type version struct {
	// badShare is the share of its answers that are bad from badFrom on, on one route of three if
	// oneRoute is set. otherBadShare is that of the other versions.
	badShare, otherBadShare float64
	badFrom                 time.Duration
	oneRoute                bool
}

// play is a fleet of routers in virtual time, with a store that tells all of them a recorded state
// after a while.
type play struct {
	version
	random   *rand.Rand
	trackers []*rollout.Tracker
	order    rollout.Order
	// requests, exposed and badAnswers count until the time limit. lateSends counts sends to the
	// version later than rollbackLimit after its 50th bad answer.
	requests, exposed, badAnswers, lateSends int
	fiftieth                                 time.Duration
}

const (
	exposure      = 0.1
	exposureSlack = 50
	duration      = 12 * time.Second
	rollbackLimit = time.Second
	// step is the time between two rounds of a play, in which each router gets its requests.
	step = 50 * time.Millisecond
)

func newPlay(seed uint64, routers int, v version) *play {
	p := &play{version: v, random: rand.New(rand.NewPCG(seed, 1))}
	p.order = rollout.Order{Service: "s", Version: "v2", Duration: duration, Revision: 1}
	for range routers {
		p.trackers = append(p.trackers, rollout.New(exposure, p.random.Float64))
	}
	return p
}

// run plays the roll-out. Routers learn of the order and of states up to half a second late, and
// of one another's results every fifth of a second, a tenth of them lost.
func (p *play) run(perSecond int) {
	start := time.Unix(1000, 0)
	// knownAt is when each router learns of the state recorded last.
	knownAt := make([]time.Duration, len(p.trackers))
	learn := func(now time.Duration) {
		for i := range knownAt {
			knownAt[i] = now + time.Duration(p.random.IntN(500))*time.Millisecond
		}
	}
	learn(0)
	told := make([]int64, len(p.trackers))
	perStep := float64(perSecond) * step.Seconds()
	for now := time.Duration(0); now < duration+3*time.Second; now += step {
		at := start.Add(now)
		for i, t := range p.trackers {
			if now >= knownAt[i] && told[i] != p.order.Revision {
				t.SetOrders(at, []rollout.Order{p.order})
				told[i] = p.order.Revision
			}
		}
		for range int(perStep) {
			p.request(now, at, p.trackers[p.random.IntN(len(p.trackers))])
		}
		if now%(200*time.Millisecond) == 0 {
			p.exchange()
		}
		for _, t := range p.trackers {
			for _, d := range t.Decide(at) {
				if d.Revision == p.order.Revision {
					p.order.State = d.State
					p.order.Revision++
					learn(now)
				}
			}
		}
	}
}

func (p *play) request(now time.Duration, at time.Time, t *rollout.Tracker) {
	id := fmt.Sprint(p.random.Uint64())
	sentTo := "v1"
	if v, ok := t.Preferred(at, "s", id); ok {
		sentTo = v
	}
	if !t.Active() {
		// A router that does not know the order sends to any target; one in ten is new.
		if p.random.IntN(10) == 0 {
			sentTo = "v2"
		}
	}
	bad := p.random.Float64() < p.otherBadShare
	if sentTo == "v2" {
		bad = bad || now >= p.badFrom && p.random.Float64() < p.badShare && (!p.oneRoute || p.random.IntN(3) == 0)
	}
	t.Record("s", sentTo, bad)
	if now < duration {
		p.requests++
	}
	if sentTo != "v2" {
		return
	}
	if now < duration {
		p.exposed++
	}
	if p.fiftieth > 0 && now > p.fiftieth+rollbackLimit {
		p.lateSends++
	}
	if bad {
		p.badAnswers++
		if p.badAnswers == 50 {
			p.fiftieth = now
		}
	}
}

func (p *play) exchange() {
	for i, from := range p.trackers {
		for j, to := range p.trackers {
			if i != j && p.random.IntN(10) > 0 {
				to.SetPeer(fmt.Sprint(i), from.Results())
			}
		}
	}
}

// TestRollouts plays versions that are good and bad in several ways, with different numbers of
// routers and rates of requests.
func TestRollouts(t *testing.T) {
	cases := map[string]struct {
		version
		want rollout.State
	}{
		"good":                         {version{}, rollout.Complete},
		"good, many failures anyway":   {version{otherBadShare: 0.14}, rollout.Complete},
		"fails at once":                {version{badShare: 0.5}, rollout.RolledBack},
		"fails a little":               {version{badShare: 0.2}, rollout.RolledBack},
		"fails later":                  {version{badShare: 0.5, badFrom: 6 * time.Second}, rollout.RolledBack},
		"fails on one route":           {version{badShare: 0.6, oneRoute: true}, rollout.RolledBack},
		"fails where others do, too":   {version{badShare: 0.5, otherBadShare: 0.1}, rollout.RolledBack},
		"fails just before the limit":  {version{badShare: 0.5, badFrom: 11 * time.Second}, rollout.RolledBack},
		"fails once it gets all of it": {version{badShare: 0.5, badFrom: 11500 * time.Millisecond}, rollout.RolledBack},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, routers := range []int{3, 12, 40} {
				for seed := range uint64(4) {
					p := newPlay(seed, routers, c.version)
					p.run(800)
					if p.order.State != c.want {
						t.Errorf("%d routers, seed %d: state is %q, want %q", routers, seed, p.order.State, c.want)
					}
					if most := exposure*float64(p.requests) + exposureSlack; c.want == rollout.RolledBack && float64(p.exposed) > most {
						t.Errorf("%d routers, seed %d: a bad version got %d of %d requests, at most %.0f may be", routers, seed, p.exposed, p.requests, most)
					}
					if c.want == rollout.RolledBack && p.lateSends > 0 {
						t.Errorf("%d routers, seed %d: %d sends later than %v after the 50th bad answer", routers, seed, p.lateSends, rollbackLimit)
					}
				}
			}
		})
	}
}

// TestRolledBackForGood checks that neither later good answers nor a store that came back older
// take a roll-back back, and that a new order starts anew.
func TestRolledBackForGood(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := rollout.New(exposure, func() float64 { return 0 })
	order := rollout.Order{Service: "s", Version: "v2", Duration: duration, State: rollout.RolledBack}
	tracker.SetOrders(now, []rollout.Order{order})
	order.State = rollout.Serving
	tracker.SetOrders(now, []rollout.Order{order})
	for range 1000 {
		tracker.Record("s", "v2", false)
	}
	now = now.Add(duration)
	if list := tracker.Decide(now); len(list) > 0 && list[0].State != rollout.RolledBack || tracker.Allows(now, "s", "v2", "r") {
		t.Errorf("used again after it was rolled back: %+v", list)
	}
	order.Version = "v3"
	tracker.SetOrders(now, []rollout.Order{order})
	allowed := 0
	for i := range 1000 {
		if tracker.Allows(now, "s", "v3", fmt.Sprint(i)) {
			allowed++
		}
	}
	if allowed == 0 || allowed > 100 {
		t.Errorf("%d of 1000 requests may go to a new version, want a few", allowed)
	}
}
