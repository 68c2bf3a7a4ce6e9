package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/suspicion"
)

// breakRecorder is a suspicion.Suspects that counts breaks by whether the target's process had exited.
type breakRecorder struct {
	noSuspects
	exited, others atomic.Int64
}

func (b *breakRecorder) RecordBreak(_ context.Context, broken suspicion.Break) int {
	if broken.TargetExited {
		b.exited.Add(1)
	} else {
		b.others.Add(1)
	}
	return 0
}

// TestCrashBehindAddressThatAccepts guards against requests that are never suspected of the engines that they crash, as
// something accepts connections at the engines' addresses.
func TestCrashBehindAddressThatAccepts(t *testing.T) {
	for name, c := range map[string]struct {
		status http.HandlerFunc
		plain  bool
		exited bool
	}{
		"the engine goes on":         {status: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"born":1}`) }},
		"it does not tell its start": {status: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"running":1}`) }},
		"the next engine":            {status: notMeant, exited: true},
		"the next one, named": {status: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerServedBy, "e9")
			fmt.Fprint(w, `{"running":1}`)
		}, exited: true},
		"the next process of the id": {status: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"born":2}`) }, exited: true},
		// Neither shows whether it goes on: gateways answer so for a full engine, and full ones reset connections.
		"a gateway": {status: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }},
		"a relay":   {status: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		// Questions for the health take a slot.
		"a plain service": {status: notMeant, plain: true},
	} {
		for _, born := range []int64{0, 1} {
			t.Run(fmt.Sprintf("%s, start known: %t", name, born > 0), func(t *testing.T) {
				t.Parallel()
				recorder := &breakRecorder{}
				f := engineAt(t, recorder, func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/status" {
						c.status(w, r)
						return
					}
					panic(http.ErrAbortHandler)
				})
				f.targets[0].Born = born
				f.setTargets(t, f.targets...)
				now := time.Now()
				f.Forward(t.Context(), forward.Request{
					ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Organisation: "o", ToEngine: !c.plain,
					Arrived: now, Deadline: now.Add(2 * time.Second),
					Route: &routing.Route{Kind: routing.NonIdempotent, Goal: time.Second, MaxAttempts: 1},
				}, discard{})
				exited := c.exited && (born > 0 || name != "the next process of the id")
				if got := recorder.exited.Load() == 1; got != exited || recorder.exited.Load()+recorder.others.Load() != 1 {
					t.Errorf("%d breaks as the process had exited, %d others", recorder.exited.Load(), recorder.others.Load())
				}
			})
		}
	}
}
