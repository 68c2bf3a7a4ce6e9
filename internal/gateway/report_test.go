package gateway_test

import (
	"context"
	"net"
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

// fakeRouter is a router that only keeps what others last reported, and what
// they told between reports.
type fakeRouter struct {
	*peer.Transport
	mu    sync.Mutex
	last  message.Status
	loads []message.TargetLoad
}

// newFakeRouter returns a router that says nothing by itself.
func newFakeRouter() *fakeRouter {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fakeRouter{}
	self := member.Member{ID: "fake", Zone: "z", Peer: l.Addr().String(), Incarnation: 1}
	f.Transport = peer.New(context.Background(), self, l, f.take, logr.Discard())
	DeferCleanup(f.Stop)
	return f
}

func (f *fakeRouter) take(_ member.Member, m message.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch m := m.(type) {
	case message.Status:
		f.last = m
	case message.Loads:
		f.loads = append(f.loads, m.Loads...)
	}
}

func (f *fakeRouter) told() []message.TargetLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads
}

func (f *fakeRouter) status() message.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
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
		say := func(serving bool) {
			other.Send(member.Member{Peer: r.Known().Peer}, message.Status{Ready: true, Serving: serving})
		}
		say(false)
		Eventually(func() bool { return other.status().Ready }).Should(BeTrue())
		Expect(other.status().Serving).To(BeFalse())
		background(func() { r.post("/many/x") })
		DeferCleanup(func() { close(release) })
		Eventually(func() bool { return other.status().Serving }).Should(BeTrue())
		Expect(other.status().Loads).To(BeEmpty())
		say(true)
		Eventually(func() []message.TargetLoad { return other.status().Loads }).Should(ConsistOf(
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
		other.Send(member.Member{Peer: r.Known().Peer}, message.Status{Ready: true, Serving: true})
		Eventually(func() bool { return other.status().Ready }).Should(BeTrue())
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
