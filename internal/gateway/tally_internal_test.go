package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
)

func TestTallyCountsUnloggedRequests(t *testing.T) {
	var sums tally
	now := time.Unix(1000, 0)
	r := forward.Request{Organisation: "o", Input: 100, Output: 10}
	sums.add(r, forward.Result{Status: http.StatusOK, HeadSent: true}, true)
	sums.add(r, forward.Result{Status: http.StatusOK, HeadSent: true, Truncated: true, Reason: "target-broken"}, true)
	sums.add(r, forward.Result{Status: http.StatusServiceUnavailable, Reason: "router-busy"}, false)
	want := outcomes{answered: 1, refused: 1, cut: 1, unlogged: 2, tokens: 240}
	if got := sums.take(now)["o"]; got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	sums.add(r, forward.Result{Status: http.StatusOK, HeadSent: true}, true)
	if got := sums.take(now.Add(tallyInterval / 2)); got != nil {
		t.Errorf("sums returned before they are due: %+v", got)
	}
	if got := sums.take(now.Add(tallyInterval))["o"].answered; got != 1 {
		t.Errorf("%d answered since the last call, want 1", got)
	}
}
