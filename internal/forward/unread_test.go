package forward_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestUnreadAnswerIsNoSilence guards against requests that are sent to a second target though the first one has answered,
// as this process had no processor time to read it.
func TestUnreadAnswerIsNoSilence(t *testing.T) {
	kinds := map[string]struct {
		kind  routing.Kind
		after int
	}{"stream": {routing.Streaming, 6}, "stream that begins": {routing.Streaming, 0}, "read": {routing.Idempotent, 0}}
	for name, c := range kinds {
		for state, unread := range map[string]bool{"unread": true, "silent": false} {
			t.Run(name+", "+state, func(t *testing.T) {
				t.Parallel()
				var sends atomic.Int64
				began, first := make(chan struct{}, 1), streamWithSilence(c.after, shortSilence)
				f := silentFirst(t, func(w http.ResponseWriter, r *http.Request) {
					began <- struct{}{}
					first(w, r)
				}, func(w http.ResponseWriter, r *http.Request) {
					sends.Add(1)
					refuse(w, r)
				})
				f.unread.Store(unread)
				route := silentRoute
				route.Kind = c.kind
				f.setTargets(t, f.onlyFirst()...)
				g := group.New(t.Context())
				defer g.Stop()
				g.Go(func() {
					// A target that takes long to connect to is silent.
					<-began
					f.setTargets(t, f.targets...)
				})
				got, result := f.ask(t.Context(), route, 5*time.Second)
				if got != eventsFrom(0, silentEvents) || result.Truncated {
					t.Errorf("got %q; %+v", got, result)
				}
				if n := sends.Load(); unread != (n == 0) {
					t.Errorf("%d sends to the second target", n)
				}
			})
		}
	}
}
