package callerconn

import (
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/refusal"
)

// refuseImproper writes the HTTP server's refusal of what has been read, with the id if that has one.
func (c *Conn) refuseImproper(answer []byte) (int, error) {
	if c.betweenRequests {
		c.takeBuffered()
	}
	s := c.shared
	r := forward.Request{ID: c.head.RequestID(s.RequestID)}
	result := refusal.New(refusal.StatusOf(answer), refusal.Improper, 0)
	if c.callerEnded.Load() {
		result.Reason = forward.ReasonCallerGone
	}
	c.request.Load().Decide(clock.Now(), r.ID, refusal.EndOf(result))
	n, err := c.writeAnswer(refusal.WithID(answer, s.RequestID, r.ID))
	s.Observer.RequestEnded(r, result, 0)
	if err != nil {
		return min(n, len(answer)), err
	}
	return len(answer), nil
}
