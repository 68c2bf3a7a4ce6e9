package refusal_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
)

func ExampleFormat() {
	result := refusal.New(http.StatusServiceUnavailable, refusal.Leaving, refusal.LeavingRetryAfter)
	fmt.Printf("%q", refusal.Format("X-Id", "7", result, true))
	// Output: "HTTP/1.1 503 Service Unavailable\r\nX-Id: 7\r\nConnection: close\r\nRetry-After: 0.05\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 15\r\n\r\nrouter-leaving\n"
}

func ExampleWithID() {
	answer := []byte("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n")
	fmt.Printf("%d %q", refusal.StatusOf(answer), refusal.WithID(answer, "X-Id", "7"))
	// Output: 400 "HTTP/1.1 400 Bad Request\r\nX-Id: 7\r\nConnection: close\r\n\r\n"
}

// TestEnd checks that a request counts by what its caller got.
func TestEnd(t *testing.T) {
	for name, c := range map[string]struct {
		result forward.Result
		want   lifecycle.End
	}{
		"answered":                  {forward.Result{Status: 200, HeadSent: true}, lifecycle.Answered},
		"caller gone":               {forward.Result{Reason: forward.ReasonCallerGone}, lifecycle.CallerGone},
		"deadline":                  {forward.Result{Status: 504, Reason: forward.ReasonDeadline}, lifecycle.TimeOver},
		"stopped":                   {forward.Result{Status: 503, Reason: refusal.Stopped}, lifecycle.Cut},
		"handler failed":            {forward.Result{Status: 502, Reason: refusal.Panic}, lifecycle.Cut},
		"no request":                {refusal.New(400, refusal.Improper, 0), lifecycle.Incomplete},
		"refused":                   {refusal.New(503, refusal.NotReady, time.Second), lifecycle.Refused},
		"target failed":             {forward.Result{Status: 502, Reason: forward.ReasonFailed}, lifecycle.TargetFailed},
		"cut off from silent one":   {forward.Result{HeadSent: true, Truncated: true, Reason: forward.ReasonBroken, ExchangeEnd: forward.ReasonSilent}, lifecycle.Cut},
		"cut off by the target too": {forward.Result{HeadSent: true, Truncated: true, Reason: forward.ReasonBroken}, lifecycle.TargetFailed},
	} {
		t.Run(name, func(t *testing.T) {
			if got := refusal.EndOf(c.result); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}
