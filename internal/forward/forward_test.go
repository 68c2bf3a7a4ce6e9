package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/suspicion"
)

func TestForward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

// brokenSender is a forward.Sender whose targets break off every request, after calling onSend.
type brokenSender struct{ onSend func() }

func (s brokenSender) Send(context.Context, string, httptarget.Request) (*httptarget.Answer, error) {
	s.onSend()
	return nil, errors.Wrap(httptarget.ErrBroken, "test")
}

func (brokenSender) ProcessExited(context.Context, string, string) (refusedAt time.Time, exited bool) {
	return time.Time{}, false
}

func (brokenSender) CheckUnused(string, string) (open, ended bool) { return false, false }

// noSuspects implements suspicion.Suspects and suspects no request.
type noSuspects struct{ suspicion.Suspects }

func (noSuspects) RecordEnd([]quarantine.Credit) {}

func (noSuspects) View() *quarantine.View                           { return nil }
func (noSuspects) RecordExit(balance.Target, time.Time)             {}
func (noSuspects) RecordBreak(context.Context, suspicion.Break) int { return 0 }

// discard implements forward.Caller and forward.Counters and discards everything.
type discard struct{}

func (discard) Head(int, http.Header, int64)           {}
func (discard) Write([]byte) error                     { return nil }
func (discard) Unacknowledged() int                    { return 0 }
func (discard) StopWriting()                           {}
func (discard) CountRetry(forward.Reason)              {}
func (discard) CountContinuation(forward.Continuation) {}
func (discard) CountJoin(forward.Join)                 {}
func (discard) CountAborted(forward.Reason, bool)      {}
func (discard) CountSecond(forward.SecondResult)       {}
func (discard) CountAdvice(forward.Advice)             {}

var _ = Describe("Forward", func() {
	It("releases the load of a request whose caller disconnects while another target is chosen", func() {
		g := group.New(context.Background())
		DeferCleanup(g.Stop)
		limits := balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second, QuotaWindow: time.Second}
		state := balance.New(time.Now(), "z", limits, rand.New(rand.NewPCG(1, 1)))
		loop := balance.NewLoop(state)
		g.GoContext(loop.Run)
		loop.Post(func(s *balance.State, now time.Time) {
			var list []balance.Target
			for i := range 2 {
				list = append(list, balance.Target{ID: fmt.Sprint(i), Service: "s", Zone: "z", Slots: 4})
			}
			s.SetTargets(now, list)
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		hold := make(chan bool)
		f := forward.New(forward.HeaderNames{}, brokenSender{func() {
			// The control goroutine is blocked when the retry is requested, and the caller
			// disconnects meanwhile.
			loop.Post(func(*balance.State, time.Time) { <-hold })
			time.AfterFunc(30*time.Millisecond, cancel)
		}}, loop, noSuspects{}, logr.Discard(), discard{})
		now := time.Now()
		f.Forward(ctx, forward.Request{
			ID: "r", Method: http.MethodGet, Service: "s", Arrived: now, Deadline: now.Add(time.Minute),
			Route: &routing.Route{Kind: routing.Idempotent, MaxAttempts: 2, Goal: time.Second},
		}, discard{})
		close(hold)
		Eventually(func() int {
			loads := -1
			loop.PostAndWait(context.Background(), func(s *balance.State, now time.Time) { loads = len(s.Report(now).Loads) })
			return loads
		}).Should(BeZero())
	})
})
