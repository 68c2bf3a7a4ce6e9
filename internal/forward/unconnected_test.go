package forward_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// unconnectedSender is a sender that cannot connect for its first calls, and notes to which targets it was to.
type unconnectedSender struct {
	*httptarget.Transport
	errs  []error
	asked []string
}

func (s *unconnectedSender) Send(ctx context.Context, address string, r httptarget.Request) (*httptarget.Answer, error) {
	s.asked = append(s.asked, r.Instance)
	if n := len(s.asked); n <= len(s.errs) {
		return nil, s.errs[n-1]
	}
	return s.Transport.Send(ctx, address, r)
}

// TestSlowToConnect guards against a request that waits in vain and is refused as if its only target were full,
// since a connection could not be made in time once.
func TestSlowToConnect(t *testing.T) {
	slow, refused := httptarget.ErrNotSent, httptarget.ErrConnectionRefused
	for name, c := range map[string]struct {
		targets int
		errs    []error
		want    int
		sends   int
	}{
		"the only target, once":                 {1, []error{slow}, http.StatusOK, 2},
		"the only target, twice":                {1, []error{slow, slow}, http.StatusServiceUnavailable, 2},
		"the process of the only one has ended": {1, []error{refused}, http.StatusServiceUnavailable, 1},
		"slow, then ended":                      {1, []error{slow, refused}, http.StatusServiceUnavailable, 2},
		"two targets, one slow":                 {2, []error{slow}, http.StatusOK, 2},
		"two targets, both slow":                {2, []error{slow, slow}, http.StatusOK, 3},
		"two targets, one slow, one ended":      {2, []error{slow, refused}, http.StatusOK, 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := group.New(context.Background())
			t.Cleanup(g.Stop)
			limits := balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second, QuotaWindow: time.Second}
			loop := balance.NewLoop(balance.New(time.Now(), "z", limits, rand.New(rand.NewPCG(1, 1))))
			g.GoContext(loop.Run)
			sender := &unconnectedSender{Transport: httptarget.New(g), errs: c.errs}
			names := forward.HeaderNames{RequestID: "X-Id", Deadline: "X-Wait-Ms", ExpectTarget: "X-Expect", Seal: headerSeal}
			f := &testForwarder{loop: loop, Forwarder: forward.New(names, sender, loop, noSuspects{}, logr.Discard(), discard{})}
			var list []balance.Target
			for _, id := range []string{"a", "b"}[:c.targets] {
				list = append(list, startTarget(t, id, new(atomic.Int64), succeed))
			}
			f.setTargets(t, list...)
			r := f.send(routing.Idempotent)
			if r.Status != c.want || len(sender.asked) != c.sends {
				t.Errorf("status %d, reason %q, asked %v", r.Status, r.Reason, sender.asked)
			}
			if first := sender.asked[:min(c.targets, len(sender.asked))]; len(slices.Compact(slices.Sorted(slices.Values(first)))) != len(first) {
				t.Errorf("the other target was not asked first: %v", sender.asked)
			}
		})
	}
}
