package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
)

// TestRetryWindowOfAnyLength guards against a panic of the control goroutine, and a budget that is spent again,
// where the window of retries is long.
func TestRetryWindowOfAnyLength(t *testing.T) {
	for _, window := range []time.Duration{time.Second, 10 * time.Second, 31 * time.Second, 32 * time.Second, 33 * time.Second, time.Minute, time.Hour} {
		for _, change := range []bool{false, true} {
			t.Run(fmt.Sprint(window, "/changed ", change), func(t *testing.T) {
				now := time.Unix(1000, 0)
				l := balance.Limits{RetryRatio: 0.2, RetrySlack: 50, RetryWindow: window, QuotaWindow: 4 * time.Second}
				first := l
				if change {
					first.RetryWindow = 10 * time.Second
				}
				s := balance.New(now, "z", first, rand.New(rand.NewPCG(1, 1)))
				s.SetLimits(l)
				s.SetTargets(now, []balance.Target{{ID: "a", Service: "s", Address: "a:1", Zone: "z", Slots: 1000}})
				retries := 0
				retry := func() {
					ticket := &balance.Ticket{
						ID: "r", Service: "s", Goal: time.Second, Arrived: now, Deadline: now.Add(10 * time.Second), Decision: make(chan balance.Decision, 1),
					}
					if s.Retry(now, ticket) {
						retries++
						s.Ended(now, ticket, balance.Answered)
					}
				}
				// Retries come all the time, until the window is nearly over.
				for range 90 {
					for range 5 {
						retry()
					}
					now = now.Add(window / 100)
				}
				if retries == 0 || float64(retries) > l.RetrySlack {
					t.Errorf("%d retries in a window, at most %v may be", retries, l.RetrySlack)
				}
				now = now.Add(2 * window)
				before := retries
				retry()
				if retries == before {
					t.Error("no retry a window after the last one")
				}
			})
		}
	}
}
