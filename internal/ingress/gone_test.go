package ingress_test

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/ingress"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// countingSender is a sender that fails all requests and counts them.
type countingSender struct{ sends atomic.Int64 }

func (*countingSender) ProcessExited(context.Context, string, string) (refusedAt time.Time, exited bool) {
	return time.Time{}, false
}

func (*countingSender) CheckUnused(string, string) (open, ended bool) { return false, false }

func (s *countingSender) Send(context.Context, string, httptarget.Request) (*httptarget.Answer, error) {
	s.sends.Add(1)
	return nil, errors.Wrap(httptarget.ErrBroken, "test")
}

// countingObserver counts the requests that have ended.
type countingObserver struct {
	ignoringObserver
	n atomic.Int64
}

func (c *countingObserver) RequestEnded(forward.Request, forward.Result, time.Duration) { c.n.Add(1) }

var _ = Describe("A caller that disconnected before its request was read", func() {
	DescribeTable(
		"has no request forwarded", func(behind int, reset bool) {
			const callers = 200
			g := group.New(context.Background())
			DeferCleanup(g.Stop)
			limits := balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second}
			loop := balance.NewLoop(balance.New(time.Now(), "z", limits, rand.New(rand.NewPCG(1, 1))))
			g.GoContext(loop.Run)
			table, err := routing.New(routing.Spec{
				Routes:        []routing.Route{{Name: "plain", Host: "h", Prefix: "/plain/", Shares: []routing.Share{{Service: "desk", Weight: 1}}}},
				Services:      []routing.Service{{Name: "desk"}},
				Organisations: []routing.Organisation{{Name: "calm", Keys: []string{"k2"}}},
			})
			Expect(err).NotTo(HaveOccurred())
			loop.Post(func(s *balance.State, now time.Time) {
				s.Configure(table)
				s.SetTargets(now, []balance.Target{{ID: "t", Service: "desk", Zone: "z", Slots: callers}})
			})
			sender, observer := &countingSender{}, &countingObserver{}
			f := forward.New(headerNames, sender, loop, noSuspects{}, logr.Discard(), ignoringObserver{})
			s := ingress.New(headerNames, f, observer, ingress.Limits{Requests: callers, Connections: callers}, memory.New(1<<30), lifecycle.New(time.Second, logr.Discard()), logr.Discard())
			s.Configure(table)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			for range callers {
				c, err := net.Dial("tcp", l.Addr().String())
				Expect(err).NotTo(HaveOccurred())
				_, err = c.Write([]byte(head("/plain/a", "k2", "r", 3, "") + "abc" + strings.Repeat("x", behind)))
				Expect(err).NotTo(HaveOccurred())
				if reset {
					Expect(c.(*net.TCPConn).SetLinger(0)).To(Succeed())
				}
				Expect(c.Close()).To(Succeed())
			}
			g.Go(func() { _ = s.Serve(l) })
			DeferCleanup(closeAndCheck, s)
			Eventually(observer.n.Load).Should(Equal(int64(callers)))
			Expect(sender.sends.Load()).To(BeZero())
		},
		Entry("closed", 0, false), Entry("reset", 0, true),
		// It does not fit into the HTTP server's buffer, so that a part stays unread.
		Entry("reset behind a part of the next request", 32<<10, true),
	)
})
