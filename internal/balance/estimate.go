package balance

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/pace"
)

// estimator predicts the times of one target, by the model of its service and the target's factor.
type estimator struct {
	*pace.Model
	// factor is the target's time for the same work relative to the average of its service.
	factor float64
}

// estimate returns the estimator of a target.
func (s *State) estimate(now time.Time, c *target) estimator {
	return estimator{s.pace(c.Service), s.factor(now, c)}
}

// factor returns the target's time for the same work relative to the average of its service, 1 if
// it is unknown.
func (s *State) factor(time.Time, *target) float64 { return 1 }

// Predict returns the expected time to the first event of a request.
func (e estimator) Predict(w pace.Work) time.Duration { return e.scale(e.Model.Predict(w)) }

// PrefillTime returns the time in which the target reads a number of prompt tokens, without its
// other work.
func (e estimator) PrefillTime(tokens int) time.Duration {
	return e.scale(e.Model.PrefillTime(tokens))
}

func (e estimator) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.factor)
}

// observeFirstEvent updates the model of a service with the time to the first event of t.
func (s *State) observeFirstEvent(now time.Time, t *Ticket) {
	s.pace(t.Service).Observe(t.work, now.Sub(t.sentAt))
}
