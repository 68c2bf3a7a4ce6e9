package gateway_test

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/adapter/peer"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// fakeRouter is a router that only keeps what others last said and reported, and
// what they told between reports.
type fakeRouter struct {
	streams   *peer.Transport
	datagrams *peer.Datagrams
	self      message.RouterRecord
	mu        sync.Mutex
	last      message.RouterRecord
	report    message.Status
	loads     []message.TargetLoad
}

// newFakeRouter returns a router that says nothing by itself.
func newFakeRouter() *fakeRouter {
	l, conn, err := peer.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fakeRouter{self: message.RouterRecord{
		ID: "fake", Zone: "z", Peer: l.Addr().String(), Incarnation: 1, Ready: true,
	}}
	self := member.Member{ID: f.self.ID, Zone: f.self.Zone, Peer: f.self.Peer, Incarnation: f.self.Incarnation}
	f.streams = peer.New(context.Background(), self, l, f.take, logr.Discard())
	DeferCleanup(f.streams.Stop)
	f.datagrams = peer.NewDatagrams(context.Background(), self, conn, f.take, logr.Discard())
	DeferCleanup(f.datagrams.Stop)
	return f
}

// say tells a router that this one is there and whether it serves callers, and
// asks how that one is.
func (f *fakeRouter) say(to *rig, serving bool) {
	f.self.Version++
	f.self.Serving = serving
	sent := f.datagrams.Send(to.Known(), message.Ping{From: f.self, Kind: message.PingAsk})
	Expect(sent).To(BeTrue())
}

func (f *fakeRouter) take(_ member.Member, m message.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch m := m.(type) {
	case message.Ping:
		f.last = m.From
	case message.Status:
		f.report = m
	case message.Loads:
		f.loads = append(f.loads, m.Loads...)
	}
}

func (f *fakeRouter) told() []message.TargetLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads
}

func (f *fakeRouter) heard() message.RouterRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

func (f *fakeRouter) reported() []message.TargetLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.report.Loads
}

var _ = Describe("A router's reports", func() {
	It("carry its load to routers that serve callers, and to no others", func() {
		r := newRig()
		r.configure(spec(1))
		release := make(chan struct{})
		r.serve("t", func(w http.ResponseWriter, req *http.Request) {
			<-release
			answer(w, req)
		})
		other := newFakeRouter()
		other.say(r, false)
		Eventually(func() bool { return other.heard().Ready }).Should(BeTrue())
		Expect(other.heard().Serving).To(BeFalse())
		background(func() { r.post("/many/x") })
		DeferCleanup(func() { close(release) })
		Eventually(func() bool { return other.heard().Serving }).Should(BeTrue())
		Expect(other.reported()).To(BeEmpty())
		other.say(r, true)
		Eventually(other.reported).Should(ConsistOf(
			message.TargetLoad{Target: "t", Running: 1},
		))
	})

	It("tell at once of a prompt that takes its engine long to read", func() {
		r := newRig()
		c := spec(1)
		c.Services[0].Engine = &routing.Engine{Slots: 4, CacheTokens: 230_000}
		r.configure(c)
		came, release := make(chan struct{}), make(chan struct{})
		r.serve("t", func(w http.ResponseWriter, req *http.Request) {
			came <- struct{}{}
			<-release
			answer(w, req)
		})
		DeferCleanup(func() { close(release) })
		other := newFakeRouter()
		other.say(r, true)
		Eventually(func() bool { return other.heard().Ready }).Should(BeTrue())
		for _, size := range []string{"50,10", "5000,10"} {
			q := newRequest(r.Known().Address, "/many/x")
			q.Header.Set(dialect.PromptSize, size)
			background(func() { do(q) })
			Eventually(came).Should(Receive())
		}
		Eventually(other.told).Should(ConsistOf(
			message.TargetLoad{Target: "t", Unread: 5050, Running: 2, Memory: 5070},
		))
	})
})
