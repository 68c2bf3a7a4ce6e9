package balance

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/retrybudget"
)

const (
	// budgetPercent is the part of the retry budget that routers use. It is below 100 since
	// windows slide and each router works out its part by itself. resumeBudgetPercent is that for answers
	// that have broken off and would be lost otherwise.
	budgetPercent       = 60
	resumeBudgetPercent = 80
)

// retries returns the limits of the retry budget.
func (l Limits) retries() retrybudget.Limits {
	return retrybudget.Limits{Ratio: l.RetryRatio, Slack: l.RetrySlack, Window: l.RetryWindow}
}

// Retry accepts a retry of a request. It returns false if the retry budget is spent; the
// ticket then gets no decision.
func (s *State) Retry(now time.Time, t *Ticket) bool {
	percent := budgetPercent
	if t.Resumes {
		percent = resumeBudgetPercent
	}
	if !s.budget.Allows(now, t.Service, s.routers(), percent) {
		return false
	}
	s.budget.CountRetry(now, t.Service)
	t.again, t.isSecond = true, false
	s.arrive(now, t)
	return true
}

// Requeue accepts again a request that was not sent for lack of a connection. It counts
// neither as a new request nor as a retry.
func (s *State) Requeue(now time.Time, t *Ticket) {
	t.again, t.isSecond = true, false
	s.arrive(now, t)
}
