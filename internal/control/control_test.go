package control_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/control"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/request"
)

func TestControl(t *testing.T) {
	invariant.Strict()
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "control")
}

const (
	period = 700 * time.Millisecond
	slots  = 2
)

// parcel is a message that was sent and not delivered yet.
type parcel struct {
	from member.Member
	to   message.RouterID
	m    message.Message
}

// fleet is several control states, connected by a simulated network whose
// delivery the test controls.
type fleet struct {
	now      time.Time
	states   map[message.RouterID]*control.State
	members  map[message.RouterID]member.Member
	inFlight []parcel
	decided  map[*request.Ticket][]request.Decision
	home     map[*request.Ticket]message.RouterID
	engines  int
	number   uint64
	snapshot config.Snapshot
}

// outlet implements control.Outlet for one router of a fleet.
type outlet struct {
	fleet *fleet
	self  message.RouterID
}

func (o outlet) Decide(t *request.Ticket, d request.Decision) {
	o.fleet.decided[t] = append(o.fleet.decided[t], d)
}

func (o outlet) Send(to member.Member, m message.Message) {
	o.fleet.inFlight = append(o.fleet.inFlight, parcel{o.fleet.members[o.self], to.ID, m})
}

func newFleet(routers, engines int, policy string, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), states: map[message.RouterID]*control.State{},
		members: map[message.RouterID]member.Member{}, engines: engines,
		decided: map[*request.Ticket][]request.Decision{}, home: map[*request.Ticket]message.RouterID{},
	}
	f.put(config.KindPool, "p", config.Pool{Name: "p", Policy: policy})
	for i := range 4 {
		name := fmt.Sprintf("o%d", i)
		f.put(config.KindOrganisation, name, config.Organisation{Name: name, Weight: float64(1 + i%2)})
	}
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		f.put(config.KindBox, name, config.Box{Name: name, Role: config.RoleEngine, Address: name, Pool: "p", Slots: slots})
	}
	for i := range routers {
		name := fmt.Sprintf("r%d", i)
		f.put(config.KindBox, name, config.Box{Name: name, Role: config.RoleRouter, Address: name, Peer: name})
	}
	for i := range routers {
		f.start(message.RouterID(fmt.Sprintf("r%d", i)), seed)
	}
	f.settle()
	return f
}

func (f *fleet) put(kind, name string, spec any) {
	body, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	f.snapshot, err = f.snapshot.WithObject(port.Object{
		Kind: kind, Name: name, Version: 1, Revision: f.snapshot.Revision + 1, Spec: body,
	})
	Expect(err).NotTo(HaveOccurred())
	f.snapshot = f.snapshot.WithRevision(f.snapshot.Revision + 1)
}

// start starts a router, or restarts it with an empty state.
func (f *fleet) start(id message.RouterID, seed uint64) {
	f.number++
	f.members[id] = member.Member{ID: id, Address: string(id), Peer: string(id), Incarnation: f.number}
	s := control.New(control.Options{Self: f.members[id], ReportPeriod: period, RouterTimeout: 3 * period, MaxWaiting: 1000},
		outlet{f, id}, rand.New(rand.NewPCG(seed, f.number)), f.now)
	f.states[id] = s
	s.Configure(f.snapshot, f.now)
}

func (f *fleet) deliver(i int) {
	p := f.inFlight[i]
	f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
	if s := f.states[p.to]; s != nil {
		s.Receive(p.from, p.m, f.now)
	}
}

func (f *fleet) deliverAll() {
	for len(f.inFlight) > 0 {
		f.deliver(0)
	}
}

// tick advances the clock by a report period and calls Tick on all routers.
func (f *fleet) tick() {
	f.now = f.now.Add(period)
	for i := range len(f.members) {
		id := message.RouterID(fmt.Sprintf("r%d", i))
		s := f.states[id]
		if s == nil {
			continue
		}
		for _, box := range s.OwnedEngines() {
			s.RecordLoad(box.Name, port.EngineLoad{Running: f.running(box.Name)}, f.now)
		}
		s.Tick(f.now)
	}
}

func (f *fleet) settle() {
	for range 5 {
		f.tick()
		f.deliverAll()
	}
}

func (f *fleet) arrive(router int, organisation string) *request.Ticket {
	f.number++
	id := message.RouterID(fmt.Sprintf("r%d", router))
	t := request.NewTicket(request.TicketSpec{
		ID:           request.ID{Router: string(id), Number: f.number},
		Organisation: organisation, Pool: "p", Arrived: f.now, Deadline: f.now.Add(time.Hour),
	})
	f.home[t] = id
	f.states[id].Arrive(t, f.now)
	return t
}

// ready returns the requests that have a slot, in order of arrival.
func (f *fleet) ready() []*request.Ticket {
	var list []*request.Ticket
	for n := range f.number + 1 {
		for t, decisions := range f.decided {
			if t.ID().Number == n && decisions[len(decisions)-1].Refused == "" {
				list = append(list, t)
			}
		}
	}
	return list
}

func (f *fleet) running(engine string) int {
	n := 0
	for _, decisions := range f.decided {
		if d := decisions[len(decisions)-1]; d.Refused == "" && d.Engine == engine {
			n++
		}
	}
	return n
}

func (f *fleet) waiting() int {
	n := 0
	for _, s := range f.states {
		n += s.Status(f.now).Waiting
	}
	return n
}

func (f *fleet) finish(t *request.Ticket, cost float64) {
	delete(f.decided, t)
	if s := f.states[f.home[t]]; s != nil {
		s.Finish(t, request.RunEnd{Cost: cost}, f.now)
	}
	delete(f.home, t)
}

// crash removes a router and all its requests.
func (f *fleet) crash(id message.RouterID) {
	delete(f.states, id)
	for t, home := range f.home {
		if home == id {
			delete(f.decided, t)
			delete(f.home, t)
		}
	}
}

var _ = Describe("State", func() {
	It("runs every request once and leaves no slot idle while requests wait, whatever the order of messages", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			policy := rapid.SampledFrom([]string{"fifo", "steal", "greedy", "share"}).Draw(t, "policy")
			f := newFleet(3, 3, policy, rapid.Uint64().Draw(t, "seed"))
			for range rapid.IntRange(10, 80).Draw(t, "steps") {
				step(t, f)
				for _, decisions := range f.decided {
					g.Expect(decisions).To(HaveLen(1))
				}
			}
			f.settle()
			f.settle()
			if f.waiting() > 0 {
				g.Expect(len(f.ready())).To(BeNumerically(">=", f.engines*slots), "slots idle while %d requests wait", f.waiting())
			}
		})
	})
})

// step draws one random event of the fleet and carries it out.
func step(t *rapid.T, f *fleet) {
	kind := rapid.SampledFrom([]string{"arrive", "arrive", "deliver", "deliver", "finish", "lose", "tick", "restart"}).Draw(t, "step")
	switch {
	case kind == "arrive":
		f.arrive(rapid.IntRange(0, 2).Draw(t, "router"), fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(t, "organisation")))
	case kind == "deliver" && len(f.inFlight) > 0:
		f.deliver(rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message"))
	case kind == "lose" && len(f.inFlight) > 0:
		f.inFlight = f.inFlight[1:]
	case kind == "finish" && len(f.ready()) > 0:
		ready := f.ready()
		f.finish(ready[rapid.IntRange(0, len(ready)-1).Draw(t, "request")], rapid.Float64Range(1, 500).Draw(t, "cost"))
	case kind == "tick":
		f.tick()
	case kind == "restart":
		id := message.RouterID(fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "router")))
		f.crash(id)
		f.start(id, 1)
	}
}

var _ = Describe("One router", func() {
	var f *fleet

	BeforeEach(func() { f = newFleet(1, 1, "local", 1) })

	// run runs a request of an organisation for the given time and ends it.
	run := func(organisation string, took time.Duration, end request.RunEnd) {
		t := f.arrive(0, organisation)
		Expect(f.decided[t]).To(HaveLen(1))
		f.now = f.now.Add(took)
		f.states["r0"].RecordLoad("e0", port.EngineLoad{}, f.now)
		f.states["r0"].Finish(t, end, f.now)
		delete(f.decided, t)
	}

	// fill occupies both slots, so that later requests have to wait, and returns
	// the requests that run in them.
	fill := func() []*request.Ticket { return []*request.Ticket{f.arrive(0, "o3"), f.arrive(0, "o3")} }

	It("charges a request that was cut short by the time that it ran", func() {
		run("o2", time.Second, request.RunEnd{Cost: 100})
		for range 5 {
			run("o0", time.Second, request.RunEnd{Cost: 100})
		}
		for range 10 {
			run("o2", time.Second, request.RunEnd{Partial: true})
		}
		busy := fill()
		first, second := f.arrive(0, "o2"), f.arrive(0, "o0")
		f.states["r0"].Finish(busy[0], request.RunEnd{Cost: 1}, f.now)
		Expect(f.decided[second]).To(HaveLen(1))
		Expect(f.decided[first]).To(BeEmpty())
	})

	It("refuses a queued request that can no longer end in time when its turn comes", func() {
		for range 20 {
			run("o0", 10*time.Second, request.RunEnd{Cost: 100})
		}
		busy := fill()
		waits := func(given, left time.Duration) *request.Ticket {
			f.number++
			t := request.NewTicket(request.TicketSpec{
				ID: request.ID{Number: f.number}, Organisation: "o0", Pool: "p",
				Arrived: f.now.Add(left - given), Deadline: f.now.Add(left),
			})
			f.states["r0"].Arrive(t, f.now)
			return t
		}
		late := waits(time.Minute, 5*time.Second)
		short := waits(6*time.Second, 6*time.Second)
		good := waits(time.Minute, 30*time.Second)
		f.states["r0"].Finish(busy[0], request.RunEnd{Cost: 1}, f.now)
		f.states["r0"].Finish(busy[1], request.RunEnd{Cost: 1}, f.now)
		Expect(f.decided[late]).To(HaveLen(1))
		Expect(f.decided[late][0].Refused).To(Equal(request.ReasonDeadline))
		Expect(f.decided[short]).To(HaveLen(1))
		Expect(f.decided[short][0].Refused).To(BeEmpty())
		Expect(f.decided[good][0].Refused).To(BeEmpty())
	})
})

var _ = Describe("Two routers", func() {
	// other returns the index of the router that owns no engine.
	other := func(f *fleet) int {
		if len(f.states["r0"].OwnedEngines()) == 0 {
			return 0
		}
		return 1
	}

	It("recover a slot whose grant message was lost", func() {
		f := newFleet(2, 1, "share", 1)
		tickets := []*request.Ticket{f.arrive(other(f), "o0"), f.arrive(other(f), "o1")}
		for len(f.inFlight) > 0 {
			if _, grant := f.inFlight[0].m.(message.Grant); grant {
				f.inFlight = f.inFlight[1:]
				continue
			}
			f.deliver(0)
		}
		Expect(f.ready()).To(BeEmpty())
		f.settle()
		f.settle()
		for _, t := range tickets {
			Expect(f.decided[t]).To(HaveLen(1))
		}
	})

	It("do not wait for the next report after asking a router that had no free slot", func() {
		f := newFleet(2, 1, "share", 1)
		owner := 1 - other(f)
		f.arrive(owner, "o0")
		f.arrive(owner, "o0")
		waits := f.arrive(other(f), "o1")
		f.deliverAll()
		Expect(f.decided[waits]).To(BeEmpty())
		f.finish(f.ready()[0], 10)
		f.deliverAll()
		Expect(f.decided[waits]).To(HaveLen(1))
	})
})
