package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
)

// setRetries sets how many requests may be sent again, beyond any number of requests.
func (f *bufferedForwarder) setRetries(t *testing.T, slack float64) {
	t.Helper()
	f.loop.PostAndWait(t.Context(), func(s *balance.State, _ time.Time) {
		s.SetLimits(balance.Limits{RetrySlack: slack, RetryWindow: time.Second, QuotaWindow: time.Second})
	})
}

// TestSilentTargetIsKeptToDeadline guards against answers that are given up before their deadline, or held beyond it,
// because no other target may be asked, and against retries that become possible later and are not made.
func TestSilentTargetIsKeptToDeadline(t *testing.T) {
	const timeout, lateness = 2 * time.Second, 300 * time.Millisecond
	whole := eventsFrom(0, silentEvents)
	cases := map[string]struct {
		first, second http.HandlerFunc
		// budgetAfter is when requests may be sent again.
		budgetAfter   time.Duration
		status, sends int
	}{
		"attempts used up":                        {hangs, hangs, 0, http.StatusGatewayTimeout, 2},
		"attempts used up, the first one goes on": {streamWithSilence(0, timeout*3/4), hangs, 0, http.StatusOK, 2},
		"budget spent":                            {hangs, streamTo(silentEvents, complete), time.Hour, http.StatusGatewayTimeout, 1},
		"budget spent, the first one goes on":     {streamWithSilence(0, timeout*3/4), streamTo(silentEvents, complete), time.Hour, http.StatusOK, 1},
		"budget comes late":                       {hangs, streamTo(silentEvents, complete), timeout / 2, http.StatusOK, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var f *bufferedForwarder
			f = silentFirst(t, func(w http.ResponseWriter, r *http.Request) {
				f.setTargets(t, f.targets...)
				c.first(w, r)
			}, c.second)
			f.setRetries(t, 0)
			time.AfterFunc(c.budgetAfter, func() { f.setRetries(t, 100) })
			f.setTargets(t, f.onlyFirst()...)
			began := time.Now()
			got, result := f.ask(t.Context(), silentRoute, timeout)
			took := time.Since(began)
			if result.Status != c.status || result.Sends != c.sends || took > timeout+lateness {
				t.Errorf("status %d after %v and %d sends, want %d and %d", result.Status, took, result.Sends, c.status, c.sends)
			}
			switch {
			case c.status == http.StatusOK && got != whole:
				t.Errorf("the caller got %q", got)
			case c.status != http.StatusOK && (took < timeout || got != ""):
				t.Errorf("the caller got %q after %v", got, took)
			}
		})
	}
}
