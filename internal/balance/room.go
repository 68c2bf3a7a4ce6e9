package balance

import (
	"cmp"
	"time"

	"github.com/stepcroft/stepcroft/internal/pace"
)

const (
	// backlogPercent bounds the time that an engine takes to read its backlog from all routers,
	// in percent of the shortest goal of the service's routes. Later requests must still be
	// able to start in time.
	backlogPercent = 35
	// shareTolerance is how many times its share an organisation may be served and still count
	// as within it. Shares are counted over some seconds, the last half of which is known late,
	// and requests come in bursts. Beyond, the backlog that the organisation may fill shrinks
	// in proportion, to leave room to others.
	shareTolerance = 1.5
	// minRoomPercent is the part of the allowed backlog that stays open to every organisation.
	minRoomPercent = 25
	// defaultGoal is used if neither the service nor the request has a goal.
	defaultGoal = 600 * time.Millisecond
)

// room bounds the use of engines by a request.
type room struct {
	// maxBacklog bounds the time that the engine takes to read its pending prompts, this
	// request included.
	maxBacklog time.Duration
	// remaining is the time left until the first event is due.
	remaining time.Duration
	// timely is set if the request may also be sent to an engine with a larger backlog,
	// provided its first event is expected in time and streams there do not pause for too long.
	timely bool
	// pauses bounds the pauses of streams; nil if they are not bounded.
	pauses *pauseBound
}

// room returns the bounds for a request of an organisation that was served ratio times its
// share.
func (s *State) room(now time.Time, t *Ticket, ratio float64) room {
	// No route may lead to the service any more.
	goal := cmp.Or(s.table.ShortestGoal(t.Service), t.Goal, defaultGoal)
	r := room{maxBacklog: goal * backlogPercent / 100, remaining: t.Goal - now.Sub(t.Arrived), pauses: s.pauseBound(now, t)}
	switch {
	case t.Resumes:
		r.maxBacklog *= 2
	case ratio > shareTolerance:
		r.maxBacklog = time.Duration(float64(r.maxBacklog) * max(shareTolerance/ratio, minRoomPercent/100.0))
	default:
		r.timely = true
	}
	return r
}

// admits reports whether a placement is within the bounds. A prompt counts for at most half of
// the backlog: otherwise a long one would never find room beside short ones that keep the
// engine reading.
func (r room) admits(p placement, m estimator) bool {
	if m.PrefillTime(p.work.Ahead)+min(m.PrefillTime(p.uncachedTokens), r.maxBacklog/2) <= r.maxBacklog {
		return true
	}
	// allows counts the requests that it turns down, so it is last.
	return r.timely && p.conservative <= r.remaining && r.pauses.allows(p, m)
}

// pace returns the model of prefill times of the engines of a service.
func (s *State) pace(service string) *pace.Model {
	m := s.paces[service]
	if m == nil {
		m = pace.New()
		s.paces[service] = m
	}
	return m
}

// pendingTokens returns the estimated number of prompt tokens that an engine has yet to read:
// those known to have been sent to it, less what it has read since that was known. It assumes
// that the engine reads the requests of this and of other routers in order of arrival, and
// divides its time between them in proportion to their tokens.
func (s *State) pendingTokens(now time.Time, c *target, m estimator) int {
	load, reportedAt := s.peers.Load(now, c.incarnation)
	own, others := float64(c.localLoad.PendingTokens), float64(load.PendingTokens)
	if own+others <= 0 {
		return 0
	}
	perSecond := float64(time.Second) / float64(m.PrefillTime(1))
	ownShare := own / (own + others)
	if len(c.unstarted) > 0 {
		first := c.unstarted[0]
		since := first.sentAt
		if c.health.LastProgress().After(since) {
			since = c.health.LastProgress()
		}
		read := now.Sub(since).Seconds() * perSecond * ownShare
		own -= min(read, float64(first.load.PendingTokens))
	}
	others -= min(now.Sub(reportedAt).Seconds()*perSecond*(1-ownShare), others)
	return int(own + others)
}
