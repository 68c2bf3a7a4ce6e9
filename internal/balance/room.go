package balance

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/pace"
)

const (
	// roomShare is the part, in percent, of the shortest goal of a service's
	// routes for which an engine may have to read when a request is added, over
	// all routers: what comes next must still find it in time.
	roomShare = 35
	// shareTolerance is up to how many times its share an organisation counts as
	// within it: shares are counted over seconds of which the last half is known
	// late, and requests come in bursts. Beyond, the part of the room that is open
	// to an organisation falls in proportion, so that the others find room.
	shareTolerance = 1.5
	// leastRoom is the least part of the room that is open, in percent.
	leastRoom = 25
	// defaultGoal stands for the shortest goal where none is configured.
	defaultGoal = 600 * time.Millisecond
)

// room is what a request may use of an engine.
type room struct {
	// backlog is for how long the engine may have to read, the request
	// included.
	backlog time.Duration
	// left is the time in which the first event is due.
	left time.Duration
	// timely is set if the request may also be sent to an engine that has more
	// to read, as long as its first event is expected in time.
	timely bool
}

// room returns what a request may use of an engine whose organisation had
// excess times its share.
func (s *State) room(now time.Time, t *Ticket, excess float64) room {
	goal := s.table.ShortestGoal(t.Service)
	if goal <= 0 {
		goal = defaultGoal
	}
	r := room{backlog: goal * roomShare / 100, left: t.Goal - now.Sub(t.Arrived)}
	switch {
	case t.Resumes:
		r.backlog *= 2
	case excess > shareTolerance:
		r.backlog = time.Duration(float64(r.backlog) * max(shareTolerance/excess, leastRoom/100.0))
	default:
		r.timely = true
	}
	return r
}

// holds reports whether there is room at a place. A prompt counts for no more
// than half of it: a long one must run somewhere, and would never find room
// beside short ones that keep the engine reading.
func (r room) holds(p place, m *pace.Model) bool {
	if r.timely && p.safe <= r.left {
		return true
	}
	return m.PrefillTime(p.work.Ahead)+min(m.PrefillTime(p.read), r.backlog/2) <= r.backlog
}

// pace returns what is known of the engines of a service.
func (s *State) pace(service string) *pace.Model {
	m := s.paces[service]
	if m == nil {
		m = pace.New()
		s.paces[service] = m
	}
	return m
}

// ahead returns the prompt tokens that an engine has yet to read: those it was
// sent as far as known, less what it has read since that was known. It reads
// own and others' requests in the order in which they came, each for about its
// part of the time.
func (s *State) ahead(now time.Time, c *target, m *pace.Model) int {
	load, told := s.others.Load(now, c.name)
	own, others := float64(c.own.PendingTokens), float64(load.PendingTokens)
	if own+others <= 0 {
		return 0
	}
	perSecond := float64(time.Second) / float64(m.PrefillTime(1))
	ownShare := own / (own + others)
	if len(c.waiting) > 0 {
		first := c.waiting[0]
		since := first.sent
		if c.progress.After(since) {
			since = c.progress
		}
		read := now.Sub(since).Seconds() * perSecond * ownShare
		own -= min(read, float64(first.load.PendingTokens))
	}
	others -= min(now.Sub(told).Seconds()*perSecond*(1-ownShare), others)
	return int(own + others)
}
