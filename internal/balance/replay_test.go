package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/returns"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// replay is a shareFleet that measures what refused requests lost, and whose callers may return as
// they are told.
type replay struct {
	*shareFleet
	// returning is set if refused callers return at another router.
	returning bool
	// timeLimit is how long callers wait for an answer. Engines need longer for a burst of 0.6 s than
	// a third of 6 s, so it is 12 s where no test says otherwise.
	timeLimit time.Duration
	// waitedInVain is the time for which refused requests waited, refused their number.
	waitedInVain time.Duration
	refused      int
	// idle is the time for which an engine of service llm had nothing to read while requests for it
	// waited, summed over all engines.
	idle time.Duration
	// services has the services of organisations that use another one than llm.
	services map[string]string
	// returned holds the tokens of callers that returned, by slots since the start.
	returned map[int64]float64
	started  time.Time
	// unreported are routers whose reports are lost, and down those that have ended.
	unreported, down map[int]bool
}

func newReplay(t *testing.T, seed uint64, features feature.Set) *replay {
	t.Helper()
	const configured = shareEngines * sharePerMilli * 1000
	r := &replay{timeLimit: 12 * time.Second, shareFleet: newShareFleet(t, seed, 8, configured), returned: map[int64]float64{}, services: map[string]string{}, unreported: map[int]bool{}, down: map[int]bool{}}
	for _, s := range r.routers {
		s.SetFeatures(features)
	}
	r.started = r.now
	return r
}

// play simulates the organisations' callers for a time.
func (r *replay) play(organisations []shareOrganisation, d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(shareStep) {
		step := int(r.now.Sub(r.started) / shareStep)
		for _, o := range organisations {
			perStep := o.tokensPerSecond / float64(o.prompt) * shareStep.Seconds()
			for ; r.random.Float64() < perStep; perStep-- {
				r.arriveAt(o, o.routers[r.random.IntN(len(o.routers))])
			}
		}
		r.runEvents()
		for i, s := range r.routers {
			if r.down[i] {
				continue
			}
			if step%4 == i%4 {
				s.Tick(r.now)
			}
			if period := int(shareReportPeriod / shareStep); step%period == i%period && !r.unreported[i] {
				r.report(i)
			}
		}
		r.takeRefusals(organisations)
		r.collect()
		r.countIdle()
	}
}

func (r *replay) arriveAt(o shareOrganisation, router int) {
	if r.down[router] {
		return
	}
	r.tickets++
	k := &Ticket{
		ID: fmt.Sprint("t", r.tickets), Service: "llm", Organisation: o.name, Engine: true, Stream: true,
		Parts: []prefix.Part{{ID: fmt.Sprint("p", r.tickets), Tokens: o.prompt}}, Input: o.prompt, Output: 1,
		Goal: defaultGoal, Arrived: r.now, Deadline: r.now.Add(r.timeLimit), Decision: make(chan Decision, 1),
	}
	if service, ok := r.services[o.name]; ok {
		k.Service = service
	}
	r.undecided = append(r.undecided, undecided{k, r.routers[router]})
	r.routers[router].Arrive(r.now, k)
}

// addService adds a service with one engine, and lets an organisation use only that.
func (r *replay) addService(t *testing.T, service, organisation string) {
	t.Helper()
	engine := &routing.Engine{Slots: 64, CacheTokens: 230_000}
	table, err := routing.New(routing.Spec{
		Services: []routing.Service{{Name: "llm", Engine: engine}, {Name: service, Engine: engine}},
		Limits:   routing.Limits{TokensPerSecond: (shareEngines + 1) * sharePerMilli * 1000},
	})
	if err != nil {
		t.Fatal(err)
	}
	list := append(r.engines(), Target{ID: service + "0", Service: service, Zone: "z", Slots: 64})
	for _, s := range r.routers {
		s.Configure(table)
		s.SetTargets(r.now, list)
	}
	r.services[organisation] = service
}

func (r *replay) engines() []Target {
	var list []Target
	for i := range shareEngines {
		list = append(list, Target{ID: fmt.Sprint("e", i), Service: "llm", Zone: "z", Slots: 64})
	}
	return list
}

// takeRefusals removes the refused requests from those that are undecided.
func (r *replay) takeRefusals(organisations []shareOrganisation) {
	left := r.undecided[:0]
	for _, u := range r.undecided {
		select {
		case d := <-u.ticket.Decision:
			if d.Refused == "" {
				u.ticket.Decision <- d
				left = append(left, u)
				continue
			}
			r.refused++
			r.waitedInVain += d.Waited
			if r.returning {
				r.returnLater(organisations, u, d)
			}
		default:
			left = append(left, u)
		}
	}
	r.undecided = left
}

// returnLater lets a refused caller return when it is told, or after a third of its time left, at
// another router.
func (r *replay) returnLater(organisations []shareOrganisation, u undecided, d Decision) {
	for _, o := range organisations {
		if o.name != u.ticket.Organisation {
			continue
		}
		wait := min(d.RetryAfter, u.ticket.Deadline.Sub(r.now)/honouredPart)
		r.events = append(r.events, event{r.now.Add(wait), func() {
			r.returned[int64(r.now.Sub(r.started)/returns.SlotWidth)] += u.ticket.tokens()
			router := r.random.IntN(len(r.routers))
			for r.down[router] {
				router = r.random.IntN(len(r.routers))
			}
			r.arriveAt(o, router)
		}})
	}
}

func (r *replay) countIdle() {
	if !slices.ContainsFunc(r.undecided, func(u undecided) bool { return u.ticket.Service == "llm" }) {
		return
	}
	for i := range shareEngines {
		if !r.readUntil[fmt.Sprint("e", i)].After(r.now) {
			r.idle += shareStep
		}
	}
}

var allRouters = []int{0, 1, 2, 3, 4, 5, 6, 7}
