package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// recordingCaller is a caller that records each call of Write.
type recordingCaller struct {
	discard
	list []string
}

func (p *recordingCaller) Write(b []byte) error {
	p.list = append(p.list, string(bytes.Clone(b)))
	return nil
}

var _ = Describe("A stream", func() {
	const length, gap = 24, 10 * time.Millisecond

	// ask requests a stream of events from a router that uses the fraction busy of its
	// processor, and returns the pieces in which the answer arrives.
	ask := func(busy float64) []string {
		g := group.New(context.Background())
		DeferCleanup(g.Stop)
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			for i := range length {
				fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(gap)
			}
		}))
		DeferCleanup(engine.Close)
		limits := balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second}
		loop := balance.NewLoop(balance.New(time.Now(), "z", limits, rand.New(rand.NewPCG(1, 1))))
		g.GoContext(loop.Run)
		loop.Post(func(s *balance.State, now time.Time) {
			s.SetTargets(now, []balance.Target{{ID: "e", Service: "s", Zone: "z", Slots: 4, Address: engine.Listener.Addr().String()}})
			s.SetCPUUtilisation(now, busy, 1)
		})
		if busy > 0 {
			Eventually(loop.CoalesceLevel).Should(BeNumerically(">", 0))
		}
		f := forward.New(forward.HeaderNames{RequestID: "X-Id", Deadline: "X-Wait-Ms", ExpectTarget: "X-Expect"}, httptarget.New(g), loop, noSuspects{}, logr.Discard(), discard{})
		caller := &recordingCaller{}
		v := f.Forward(context.Background(), forward.Request{
			ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
			Route: &routing.Route{Kind: routing.Streaming, Goal: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: 1},
		}, caller)
		Expect(v.Status).To(Equal(http.StatusOK))
		return caller.list
	}

	events := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i+1)
		}
		return b.String()
	}

	It("forwards events in batches when the router is short of processor time, but the first at once", func() {
		got := ask(1)
		Expect(strings.Join(got, "")).To(Equal(events(length)))
		Expect(got[0]).To(Equal(events(1)))
		Expect(len(got)).To(BeNumerically("<=", length/2))
	})

	It("forwards each event as it arrives otherwise", func() {
		got := ask(0)
		Expect(strings.Join(got, "")).To(Equal(events(length)))
		Expect(len(got)).To(BeNumerically(">", length/2))
	})
})
