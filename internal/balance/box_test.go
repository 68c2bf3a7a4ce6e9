package balance

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/backlog"
	"github.com/stepcroft/stepcroft/internal/cpumeter"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/throttle"
	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// boxCores is the part of a core that a small box may use.
	boxCores = 0.192
	// The processor time of a request without its events (requestCost), of forwarding a single
	// event (eventCost), and of refusing a request before it is parsed (refusalCost), from a
	// processor profile of a router under such requests.
	requestCost = 190 * time.Microsecond
	eventCost   = 36 * time.Microsecond
	refusalCost = 80 * time.Microsecond
	// acceptCost is the processor time to accept and close a connection. inspectCost is added
	// until its request is inspected; earlyRefusalCost is added instead if it is refused
	// before the HTTP server gets the connection.
	acceptCost, inspectCost, earlyRefusalCost = 30 * time.Microsecond, 30 * time.Microsecond, 15 * time.Microsecond
	// maxListenBacklog is the number of connections that the kernel of a small box queues
	// before they are accepted, and connectTimeout how long a caller waits to get into that
	// queue.
	maxListenBacklog = 160
	connectTimeout   = time.Second
	// reconnectTime is the time that a rejected caller takes to connect again.
	reconnectTime = 4 * time.Millisecond
	// tickCost is the processor time of an iteration of the control loop.
	tickCost = 20 * time.Microsecond
	// parsePercent is the part of requestCost that is spent before the request is decided on.
	parsePercent = 60
	// eventGap is the time between an engine's events.
	eventGap = 50 * time.Millisecond
	// readTime is the time that an engine takes to read a prompt.
	readTime = 100 * time.Millisecond
	// maxCoalesceMillis is the longest time for which events are coalesced, in milliseconds.
	maxCoalesceMillis = 100
	// quotaWindow is the time over which shares are counted, and boxSlots the slots of an engine.
	quotaWindow = 4 * time.Second
	boxSlots    = 1000
	// bestServedRate is what another organisation is served meanwhile, in tokens a second.
	bestServedRate = 1_097_000
)

// kind is a kind of request: its relative frequency, the tokens of its prompt and answer, and
// the number of events of its answer.
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

// second counts the requests that arrived within a second, and their tokens.
type second struct {
	demand, served    float64
	requests, refused int
}

// event is an action at a point in time; job is work that waits for the processor.
type event struct {
	at time.Time
	do func()
}

type job struct {
	cost time.Duration
	do   func()
}

// events is a heap ordered by time.
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

// box simulates a router on a small box in virtual time. The callers of one organisation use
// only this router, and engines have room for all their requests. A refused caller retries
// once.
type box struct {
	*State
	// cores is the part of a core that the box may use.
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
	// contended is set if the control loop competes for the processor with everything else.
	// longestWait is the longest time from the arrival of a request until it was parsed.
	contended   bool
	backlog     backlog.Queue
	longestWait time.Duration
	// listenBacklog holds the connections that were not accepted yet.
	listenBacklog []arrival
	accepting     bool
	// rival is what an organisation at other routers is served, in tokens a second; 0 if there is none.
	rival float64
	// impatient is the fraction of callers that ignore Retry-After when they are refused, and
	// instead reconnect at once, maxReconnects times.
	impatient float64
}

// arrival is a connection that waits to be accepted, and what to do when its request is
// refused or admitted.
type arrival struct {
	kind       kind
	arrivedAt  time.Time
	onRefused  func()
	onAdmitted func(arrived time.Time)
}

// newBox returns a box that no caller has used yet.
func newBox(t *testing.T, seed uint64) *box {
	t.Helper()
	now := time.Unix(1000, 0)
	b := &box{cores: boxCores, now: now, start: now, random: rand.New(rand.NewPCG(seed, 1))}
	b.State = New(now, "z", Limits{RetryWindow: time.Second, QuotaWindow: quotaWindow}, b.random)
	b.configure(t, 0)
	var list []Target
	const engines = 40
	for i := range engines {
		list = append(list, Target{ID: fmt.Sprint("e", i), Service: "llm", Zone: "z", Slots: boxSlots})
	}
	b.SetTargets(now, list)
	return b
}

// configure sets the throughput of all engines, in tokens a second; 0 if it is unknown.
func (b *box) configure(t *testing.T, tokensPerSecond float64) {
	t.Helper()
	const memory = 1_000_000_000
	table, err := routing.New(routing.Spec{
		Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: boxSlots, CacheTokens: memory}}},
		Limits:   routing.Limits{TokensPerSecond: tokensPerSecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	b.Configure(table)
}

func (b *box) after(d time.Duration, do func()) {
	heap.Push(&b.events, event{b.now.Add(max(d, 0)), do})
}

// work queues a job for the processor behind those already queued.
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

// run simulates callers that arrive at the given rates, in requests a second, each rate for
// the given time. It returns the counts of each second.
func (b *box) run(rates []float64, each time.Duration) []second {
	total := time.Duration(len(rates)) * each
	b.seconds = make([]second, int(total/time.Second)+1)
	rate := func() float64 { return rates[min(int(b.now.Sub(b.start)/each), len(rates)-1)] }
	var callers func()
	callers = func() {
		b.arrive(b.drawKind(), 1)
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

// workInLoop runs a step of the control loop: queued for the processor if the loop is
// contended, else at once.
func (b *box) workInLoop(cost time.Duration, do func()) {
	if !b.contended {
		do()
		return
	}
	b.work(cost, do)
}

// tick simulates what the control loop does at each tick.
func (b *box) tick(n int, used time.Duration, measuredAt time.Time) {
	if n%cpumeter.TicksPerMeasurement == 0 {
		b.reportRival()
	}
	b.Tick(b.now)
	if n%cpumeter.TicksPerMeasurement == 0 && n > 0 {
		b.SetCPUUtilisation(b.now, (b.used-used).Seconds()/(b.now.Sub(measuredAt).Seconds()*b.cores), b.cores)
		used, measuredAt = b.used, b.now
	}
	b.gates = b.gatesAt(b.now)
	b.after(tickInterval, func() { b.workInLoop(tickCost, func() { b.tick(n+1, used, measuredAt) }) })
}

// reportRival simulates another router's report on the organisation there, which asks for ten times what
// it is served.
func (b *box) reportRival() {
	if b.rival == 0 {
		return
	}
	served := b.rival * quotaWindow.Seconds() / 2
	b.ApplyReport(b.now, "other", view.Report{Usage: map[string]view.Usage{"rival": {Demand: 10 * served, Started: served}}})
}

// drawKind returns a random kind of request.
func (b *box) drawKind() kind {
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

// arrive simulates a request whose caller retries it up to retries times if it is refused.
func (b *box) arrive(k kind, retries int) {
	b.requests++
	s := &b.seconds[b.now.Sub(b.start)/time.Second]
	s.demand += k.tokens()
	s.requests++
	refuse := func() {
		s.refused++
		if retries > 0 {
			b.after(time.Second+time.Duration(b.random.Int64N(int64(time.Second))), func() { b.arrive(k, retries-1) })
		}
	}
	reconnects := 0
	if b.random.Float64() < b.impatient {
		reconnects = maxReconnects
	}
	read := func(arrived time.Time) { b.parse(k, arrived, s, refuse) }
	switch {
	case b.contended:
		b.connect(reconnects, arrival{kind: k, onRefused: refuse, onAdmitted: read})
	case !b.admits(k):
		b.work(refusalCost, refuse)
	default:
		read(b.now)
	}
}

// connect simulates a caller's connection. If it is refused, the caller reconnects at once, up
// to reconnects times.
func (b *box) connect(reconnects int, a arrival) {
	if reconnects > 0 {
		wait := a
		a.onRefused = func() { b.after(reconnectTime, func() { b.connect(reconnects-1, wait) }) }
	}
	if len(b.listenBacklog) == maxListenBacklog {
		b.after(connectTimeout, a.onRefused)
		return
	}
	a.arrivedAt = b.now
	b.listenBacklog = append(b.listenBacklog, a)
	if !b.accepting {
		b.accepting = true
		b.work(acceptCost, func() { b.accept(backlog.MaxBatch) })
	}
}

// accept simulates the goroutine that accepts connections. It accepts turns connections in a
// row before others get the processor.
func (b *box) accept(turns int) {
	a := b.listenBacklog[0]
	b.listenBacklog = b.listenBacklog[1:]
	cost, refuse := time.Duration(0), func() {}
	element := b.backlog.Enqueue(b.now, b.overloaded())
	if element != nil && b.gates != nil && !b.admits(a.kind) {
		b.backlog.Remove(element)
		element = nil
	}
	if element == nil {
		cost, refuse = earlyRefusalCost, a.onRefused
	} else {
		b.work(inspectCost, func() { b.inspect(element, a) })
	}
	b.accepting = len(b.listenBacklog) > 0
	switch {
	case !b.accepting:
		b.workFirst(cost, refuse)
	case turns > 1:
		b.workFirst(cost+acceptCost, func() { refuse(); b.accept(turns - 1) })
	default:
		b.workFirst(cost, refuse)
		b.work(acceptCost, func() { b.accept(backlog.MaxBatch) })
	}
}

// inspect simulates the router's first look at a connection.
func (b *box) inspect(element *list.Element, a arrival) {
	if b.backlog.Dequeue(b.now, element, b.overloaded()) {
		b.workFirst(earlyRefusalCost, a.onRefused)
		return
	}
	a.onAdmitted(a.arrivedAt)
}

// overloaded reports whether the router is short of processor time.
func (b *box) overloaded() bool { return b.throttle.CoalesceLevel() > 0 }

// workFirst queues a job for the processor before all those already queued.
func (b *box) workFirst(cost time.Duration, do func()) {
	b.jobs = append([]job{{cost, do}}, b.jobs...)
	b.next()
}

// parse simulates parsing a request that has been admitted, and serving it.
func (b *box) parse(k kind, arrived time.Time, s *second, refuse func()) {
	t := &Ticket{
		ID: fmt.Sprint(b.requests), Service: "llm", Organisation: "o", Engine: true, Stream: true,
		Input: k.input, Output: k.output, Goal: k.goal, Arrived: arrived, Deadline: arrived.Add(6 * time.Second),
		Decision: make(chan Decision, 1),
	}
	b.work(requestCost*parsePercent/100, func() {
		b.longestWait = max(b.longestWait, b.now.Sub(arrived))
		b.Arrive(b.now, t)
		b.whenDecided(t, func(d Decision) {
			if d.Refused != "" {
				b.work(refusalCost, refuse)
				return
			}
			s.served += k.tokens()
			start := b.now.Add(readTime)
			b.after(readTime, func() { b.forward(k, t, start, 0) })
		})
	})
}

// whenDecided calls do with a request's decision as soon as there is one.
func (b *box) whenDecided(t *Ticket, do func(Decision)) {
	select {
	case d := <-t.Decision:
		do(d)
	default:
		b.after(time.Millisecond, func() { b.whenDecided(t, do) })
	}
}

// forward simulates forwarding the events that an engine has produced by now. The first
// forwarded of them were forwarded before.
func (b *box) forward(k kind, t *Ticket, start time.Time, forwarded int) {
	b.work(eventCost, func() {
		if forwarded == 0 {
			b.Started(b.now, t)
		}
		produced := min(int(b.now.Sub(start)/eventGap)+1, k.events)
		t.Pieces.Add(1)
		if produced == k.events {
			b.work(requestCost*(100-parsePercent)/100, func() { b.Ended(b.now, t, Answered) })
			return
		}
		next := start.Add(time.Duration(produced) * eventGap).Sub(b.now)
		b.after(max(next, b.coalesceDelay()), func() { b.forward(k, t, start, produced) })
	})
}

// admits reports whether the router's gate admits a request.
func (b *box) admits(k kind) bool {
	g, o := b.gates["o"], throttle.RequestSize{Input: k.input, Output: k.output}
	return g == nil || g.Check(o) == "" && g.Admit(o) == ""
}

// coalesceDelay returns how long the router coalesces the events of a stream.
func (b *box) coalesceDelay() time.Duration {
	return time.Duration(b.throttle.CoalesceLevel() * maxCoalesceMillis * float64(time.Millisecond))
}
