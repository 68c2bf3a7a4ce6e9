package control_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/control"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/request"
)

// discard is an outlet that drops all decisions and messages.
type discard struct{}

func (discard) Decide(*request.Ticket, request.Decision) {}
func (discard) Send(member.Member, message.Message)      {}

// size is the size of a fleet.
type size struct{ routers, organisations, backlogged, engines int }

func (s size) String() string {
	return fmt.Sprintf("routers=%d/organisations=%d/backlogged=%d", s.routers, s.organisations, s.backlogged)
}

var sizes = []size{
	{routers: 8, organisations: 16, backlogged: 6, engines: 24},
	{routers: 64, organisations: 160, backlogged: 16, engines: 192},
	{routers: 64, organisations: 980, backlogged: 98, engines: 192},
	{routers: 630, organisations: 980, backlogged: 98, engines: 6600},
}

func organisationName(i int) string { return fmt.Sprintf("organisation-%d", i) }

// loaded returns a router's state in which every backlogged organisation has
// requests waiting at this router and at all others.
func loaded(b *testing.B, z size) (*control.State, time.Time) {
	var objects []port.Object
	add := func(kind, name string, spec any) {
		body, err := json.Marshal(spec)
		if err != nil {
			b.Fatal(err)
		}
		objects = append(objects, port.Object{Kind: kind, Name: name, Version: 1, Spec: body})
	}
	add(config.KindPool, "p", config.Pool{Name: "p", Policy: "share"})
	for i := range z.organisations {
		add(config.KindOrganisation, organisationName(i), config.Organisation{Name: organisationName(i)})
	}
	for i := range z.engines {
		name := fmt.Sprintf("e%d", i)
		add(config.KindBox, name, config.Box{Name: name, Role: config.RoleEngine, Zone: fmt.Sprint(i % 11), Address: name, Pool: "p", Slots: 8})
	}
	for i := range z.routers {
		name := fmt.Sprintf("r%d", i)
		add(config.KindBox, name, config.Box{Name: name, Role: config.RoleRouter, Zone: fmt.Sprint(i % 11), Address: name, Peer: name})
	}
	now := time.Unix(1000, 0)
	snapshot := config.Snapshot{}.WithObjects(objects, func(_ port.Object, err error) { b.Fatal(err) })
	s := control.New(control.Options{
		Self: member.Member{ID: "r0", Zone: "0", Peer: "r0", Incarnation: 1}, ReportPeriod: time.Second, RouterTimeout: time.Hour, MaxWaiting: 1 << 20,
	}, discard{}, rand.New(rand.NewPCG(1, 1)), now)
	s.Configure(snapshot.WithRevision(1), now)
	for i := 1; i < z.routers; i++ {
		s.Receive(sender(i), reportOf(z, 1), now)
	}
	for i := range z.backlogged {
		for n := range 4 {
			s.Arrive(ticket(i, n, now), now)
		}
	}
	for _, box := range s.OwnedEngines() {
		s.RecordLoad(box.Name, port.EngineLoad{}, now)
	}
	return s, now
}

func sender(i int) member.Member {
	id := fmt.Sprintf("r%d", i)
	return member.Member{ID: message.RouterID(id), Zone: fmt.Sprint(i % 11), Peer: id, Incarnation: 1}
}

func reportOf(z size, sequence uint64) message.Report {
	p := message.PoolReport{Pool: "p"}
	for i := range z.backlogged {
		p.Organisations = append(p.Organisations, message.OrganisationReport{
			Organisation: organisationName(i), Service: sequence * 1000, Waiting: 3, Backlogged: true,
		})
	}
	return message.Report{Incarnation: 1, Sequence: sequence, Pools: []message.PoolReport{p}}
}

func ticket(organisation, n int, now time.Time) *request.Ticket {
	return request.NewTicket(request.TicketSpec{
		ID: request.ID{Router: "r0", Number: uint64(n)}, Organisation: organisationName(organisation),
		Pool: "p", Arrived: now, Deadline: now.Add(time.Hour),
	})
}

// BenchmarkRequest measures the arrival and the end of a request while there is
// a backlog.
func BenchmarkRequest(b *testing.B) {
	for _, z := range sizes {
		b.Run(z.String(), func(b *testing.B) {
			s, now := loaded(b, z)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t := ticket(i%z.backlogged, i, now)
				s.Arrive(t, now)
				s.Finish(t, request.RunEnd{Cost: 100}, now)
			}
		})
	}
}

// BenchmarkReport measures the handling of another router's report.
func BenchmarkReport(b *testing.B) {
	for _, z := range sizes {
		b.Run(z.String(), func(b *testing.B) {
			s, now := loaded(b, z)
			from := sender(1)
			b.ReportAllocs()
			for i := uint64(2); b.Loop(); i++ {
				s.Receive(from, reportOf(z, i), now)
			}
		})
	}
}

// BenchmarkTick measures the periodic work of a router.
func BenchmarkTick(b *testing.B) {
	for _, z := range sizes {
		b.Run(z.String(), func(b *testing.B) {
			s, now := loaded(b, z)
			b.ReportAllocs()
			for b.Loop() {
				s.Tick(now)
			}
		})
	}
}
