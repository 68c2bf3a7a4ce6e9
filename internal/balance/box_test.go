package balance

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/backlog"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

const (
	// boxCores is what a small box may use of a core.
	boxCores = 0.192
	// requestCost, eventCost and refusalCost are the processor time that a request
	// without its events takes, an event passed on by itself, and a refusal of a
	// request that is not read, from a processor profile of a router under such
	// requests.
	requestCost = 190 * time.Microsecond
	eventCost   = 36 * time.Microsecond
	refusalCost = 80 * time.Microsecond
	// acceptCost is what accepting a new connection takes and closing it; lookCost what it
	// takes more until its request is looked at, and earlyCost until it is refused instead
	// before the HTTP server has the connection.
	acceptCost, lookCost, earlyCost = 30 * time.Microsecond, 30 * time.Microsecond, 15 * time.Microsecond
	// listenMost is how many connections the kernel keeps for a small box that were not
	// accepted yet, and connectMost for how long a caller waits to be among them.
	listenMost  = 320
	connectMost = time.Second
	// turnsMost is how many connections are accepted in a row before others get the processor:
	// a goroutine that never waits runs for some 10 ms.
	turnsMost = 222
	// connectTime is what it takes a caller that was turned away to connect again.
	connectTime = 4 * time.Millisecond
	// tickCost is what a turn of the control loop takes.
	tickCost = 20 * time.Microsecond
	// readShare is the part of requestCost, in percent, spent before the request is
	// decided on.
	readShare = 60
	// eventGap is the time between an engine's events.
	eventGap = 50 * time.Millisecond
	// readTime is what an engine takes to read a prompt.
	readTime = 100 * time.Millisecond
	// coalesceMost is for how long events may come together, in milliseconds.
	coalesceMost = 100
	// bestServed is what another organisation gets meanwhile, in tokens a second.
	bestServed = 1_097_000
)

// kind is a kind of request: how often it comes among all, what its prompt and
// answer hold, in tokens, and how many events its answer has.
type kind struct {
	weight, input, output, events int
	goal                          time.Duration
}

var kinds = []kind{
	{weight: 660, input: 9190, output: 50, events: 7, goal: 600 * time.Millisecond},
	{weight: 840, input: 2368, output: 22, events: 3, goal: time.Second},
	{weight: 682, input: 715, output: 280, events: 40, goal: 1200 * time.Millisecond},
}

func (k kind) tokens() float64 { return float64(k.input + 2*k.output) }

// second is what happened to the requests that came in a second.
type second struct {
	asked, got         float64
	requests, unserved int
}

// event is something that happens at a time; job is work that waits for the
// processor.
type event struct {
	at time.Time
	do func()
}

type job struct {
	cost time.Duration
	do   func()
}

// events is a heap by time.
type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// box plays a router on a small box in virtual time: one organisation's callers
// come to it and to no other, and engines have room for all that they ask. A caller
// that is refused comes back once.
type box struct {
	*State
	// cores is what the box may use of a core.
	cores      float64
	now, start time.Time
	events     events
	jobs       []job
	working    bool
	used       time.Duration
	random     *rand.Rand
	gates      map[string]*throttle.Gate
	seconds    []second
	requests   int
	// late is set where the control loop waits for the processor like all else, and
	// longest is the longest that a request waited there before it was decided on.
	late    bool
	backlog backlog.Queue
	longest time.Duration
	// kernel are the connections that were not accepted yet.
	kernel    []arrival
	accepting bool
	// heedless is the part of callers that do not wait as they are told when they are refused,
	// but connect again at once, returnsMost times.
	heedless float64
}

// arrival is a connection that waits to be accepted, for a request of a kind that is then
// refused or taken in.
type arrival struct {
	kind    kind
	came    time.Time
	refused func()
	taken   func(came time.Time)
}

// newBox returns a box before anybody comes.
func newBox(t *testing.T, seed uint64) *box {
	t.Helper()
	now := time.Unix(1000, 0)
	b := &box{cores: boxCores, now: now, start: now, random: rand.New(rand.NewPCG(seed, 1))}
	b.State = New(now, "z", Limits{RetryWindow: time.Second, QuotaWindow: 4 * time.Second}, b.random)
	const engines, slots, memory = 40, 1000, 1_000_000_000
	table, err := routing.New(routing.Spec{Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: slots, CacheTokens: memory}}}})
	if err != nil {
		t.Fatal(err)
	}
	b.Configure(table)
	var list []Target
	for i := range engines {
		list = append(list, Target{ID: fmt.Sprint("e", i), Service: "llm", Zone: "z", Slots: slots})
	}
	b.SetTargets(now, list)
	return b
}

func (b *box) after(d time.Duration, do func()) {
	heap.Push(&b.events, event{b.now.Add(max(d, 0)), do})
}

// work lets the processor do something, after what it has to do already.
func (b *box) work(cost time.Duration, do func()) {
	b.jobs = append(b.jobs, job{cost, do})
	b.next()
}

func (b *box) next() {
	if b.working || len(b.jobs) == 0 {
		return
	}
	j := b.jobs[0]
	b.jobs = b.jobs[1:]
	b.working = true
	b.after(time.Duration(float64(j.cost)/b.cores), func() {
		b.working = false
		b.used += j.cost
		j.do()
		b.next()
	})
}

// play lets callers come at rates, in requests a second, each for a time, and
// returns what became of the requests of each second.
func (b *box) play(rates []float64, each time.Duration) []second {
	total := time.Duration(len(rates)) * each
	b.seconds = make([]second, int(total/time.Second)+1)
	rate := func() float64 { return rates[min(int(b.now.Sub(b.start)/each), len(rates)-1)] }
	var callers func()
	callers = func() {
		b.come(b.draw(), 1)
		b.after(time.Duration(b.random.ExpFloat64()/rate()*float64(time.Second)), callers)
	}
	callers()
	b.tick(0, 0, b.now)
	for end := b.start.Add(total); b.events[0].at.Before(end); {
		e := heap.Pop(&b.events).(event)
		b.now = e.at
		e.do()
	}
	return b.seconds[:len(b.seconds)-1]
}

// waitFor does something after what the processor has to do already, as the control
// loop does, or at once where that is not played.
func (b *box) waitFor(cost time.Duration, do func()) {
	if !b.late {
		do()
		return
	}
	b.work(cost, do)
}

// tick does what the control loop does between events.
func (b *box) tick(n int, used time.Duration, looked time.Time) {
	b.Tick(b.now)
	if n%busyTicks == 0 && n > 0 {
		b.SetBusy(b.now, (b.used-used).Seconds()/(b.now.Sub(looked).Seconds()*b.cores), b.cores)
		used, looked = b.used, b.now
	}
	b.gates = b.gatesAt(b.now)
	b.after(tickTime, func() { b.waitFor(tickCost, func() { b.tick(n+1, used, looked) }) })
}

// draw returns a kind of request.
func (b *box) draw() kind {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	n := b.random.IntN(total)
	for _, k := range kinds {
		if n -= k.weight; n < 0 {
			return k
		}
	}
	return kinds[0]
}

// come lets a request come whose caller comes back so often.
func (b *box) come(k kind, again int) {
	b.requests++
	s := &b.seconds[b.now.Sub(b.start)/time.Second]
	s.asked += k.tokens()
	s.requests++
	refuse := func() {
		s.unserved++
		if again > 0 {
			b.after(time.Second+time.Duration(b.random.Int64N(int64(time.Second))), func() { b.come(k, again-1) })
		}
	}
	returns := 0
	if b.random.Float64() < b.heedless {
		returns = returnsMost
	}
	read := func(came time.Time) { b.read(k, came, s, refuse) }
	switch {
	case b.late:
		b.connect(returns, arrival{kind: k, refused: refuse, taken: read})
	case !b.reads(k):
		b.work(refusalCost, refuse)
	default:
		read(b.now)
	}
}

// connect lets a caller connect that does so again at once, so many times, if it is refused.
func (b *box) connect(returns int, a arrival) {
	if returns > 0 {
		wait := a
		a.refused = func() { b.after(connectTime, func() { b.connect(returns-1, wait) }) }
	}
	if len(b.kernel) == listenMost {
		b.after(connectMost, a.refused)
		return
	}
	a.came = b.now
	b.kernel = append(b.kernel, a)
	if !b.accepting {
		b.accepting = true
		b.work(acceptCost, func() { b.accept(turnsMost) })
	}
}

// accept takes a connection in, as the one goroutine does that accepts. It goes on with the next
// one, so many times, before others get the processor.
func (b *box) accept(turns int) {
	a := b.kernel[0]
	b.kernel = b.kernel[1:]
	cost, refuse := time.Duration(0), func() {}
	place := b.backlog.Enqueue(b.now, b.short())
	if place != nil && b.gates != nil && !b.reads(a.kind) {
		b.backlog.Remove(place)
		place = nil
	}
	if place == nil {
		cost, refuse = earlyCost, a.refused
	} else {
		b.work(lookCost, func() { b.look(place, a) })
	}
	b.accepting = len(b.kernel) > 0
	switch {
	case !b.accepting:
		b.first(cost, refuse)
	case turns > 1:
		b.first(cost+acceptCost, func() { refuse(); b.accept(turns - 1) })
	default:
		b.first(cost, refuse)
		b.work(acceptCost, func() { b.accept(turnsMost) })
	}
}

// look lets the router look at a connection for the first time.
func (b *box) look(place *list.Element, a arrival) {
	if b.backlog.Dequeue(b.now, place, b.short()) {
		b.first(earlyCost, a.refused)
		return
	}
	a.taken(a.came)
}

// short reports whether the router is short of processor time.
func (b *box) short() bool { return b.throttle.CoalesceLevel() > 0 }

// first lets the processor do something before what it has to do already.
func (b *box) first(cost time.Duration, do func()) {
	b.jobs = append([]job{{cost, do}}, b.jobs...)
	b.next()
}

// read lets a request in that came at a time.
func (b *box) read(k kind, came time.Time, s *second, refuse func()) {
	t := &Ticket{
		ID: fmt.Sprint(b.requests), Service: "llm", Organisation: "o", Engine: true, Stream: true,
		Input: k.input, Output: k.output, Goal: k.goal, Arrived: came, Deadline: came.Add(6 * time.Second),
		Decision: make(chan Decision, 1),
	}
	b.work(requestCost*readShare/100, func() {
		b.longest = max(b.longest, b.now.Sub(came))
		b.Arrive(b.now, t)
		b.decided(t, func(d Decision) {
			if d.Refused != "" {
				b.work(refusalCost, refuse)
				return
			}
			s.got += k.tokens()
			begin := b.now.Add(readTime)
			b.after(readTime, func() { b.pass(k, t, begin, 0) })
		})
	})
}

// decided waits for a decision.
func (b *box) decided(t *Ticket, do func(Decision)) {
	select {
	case d := <-t.Decision:
		do(d)
	default:
		b.after(time.Millisecond, func() { b.decided(t, do) })
	}
}

// pass passes on the events that an engine has made by now, of which so many were
// passed on before.
func (b *box) pass(k kind, t *Ticket, begin time.Time, passed int) {
	b.work(eventCost, func() {
		if passed == 0 {
			b.Begun(b.now, t)
		}
		made := min(int(b.now.Sub(begin)/eventGap)+1, k.events)
		t.Pieces.Add(1)
		if made == k.events {
			b.work(requestCost*(100-readShare)/100, func() { b.Ended(b.now, t, Answered) })
			return
		}
		next := begin.Add(time.Duration(made) * eventGap).Sub(b.now)
		b.after(max(next, b.pause()), func() { b.pass(k, t, begin, made) })
	})
}

// reads reports whether the router reads a request.
func (b *box) reads(k kind) bool {
	g, o := b.gates["o"], throttle.RequestSize{Input: k.input, Output: k.output}
	return g == nil || g.Check(o) == "" && g.Admit(o) == ""
}

// pause is for how long the router lets events of a stream come together.
func (b *box) pause() time.Duration {
	return time.Duration(b.throttle.CoalesceLevel() * coalesceMost * float64(time.Millisecond))
}
