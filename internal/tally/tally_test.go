package tally_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/tally"
)

func TestTallyCountsUnloggedRequests(t *testing.T) {
	sums := tally.New()
	now := time.Unix(1000, 0)
	r := forward.Request{Organisation: "o", Input: 100, Output: 10}
	sums.Add(r, forward.Result{Status: http.StatusOK, HeadSent: true}, true)
	sums.Add(r, forward.Result{Status: http.StatusOK, HeadSent: true, Truncated: true, Reason: "target-broken"}, true)
	sums.Add(r, forward.Result{Status: http.StatusServiceUnavailable, Reason: "router-busy"}, false)
	want := tally.Sums{Answered: 1, Refused: 1, Cut: 1, Unlogged: 2, Tokens: 240}
	if got := sums.Take(now)["o"]; got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	sums.Add(r, forward.Result{Status: http.StatusOK, HeadSent: true}, true)
	if got := sums.Take(now.Add(tally.Interval / 2)); got != nil {
		t.Errorf("sums returned before they are due: %+v", got)
	}
	if got := sums.Take(now.Add(tally.Interval))["o"].Answered; got != 1 {
		t.Errorf("%d answered since the last call, want 1", got)
	}
}
