package balance

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

const (
	// rereadPrice is what reading a shared part anew counts against waiting
	// behind as many tokens, in percent: it also pushes other parts out.
	rereadPrice = 300
	// zonePrice is the number of unread tokens that a target in another
	// availability zone counts more: bytes between zones are paid for.
	zonePrice = 300
	// awayPrice is the number of unread tokens that an engine counts more than
	// the one that hashing gives a prompt to: all routers go there, and copies
	// elsewhere are dropped sooner.
	awayPrice = 300
	// slotPrice is the number of unread tokens that a running request counts
	// as: each makes the tokens of the others come slower.
	slotPrice = 20
)

// choose returns the best target with room for t and the number of prompt
// tokens that it would have to read, or nil. Shared parts are read at another
// engine than the one that hashing gives them to only for organisations that
// have not had their share: that costs as much as two requests.
func (s *State) choose(now time.Time, t *Ticket) (*target, int) {
	candidates := s.usable(now, t)
	if !t.Engine {
		return s.leastBusy(now, t, candidates), 0
	}
	limit := maxUnread
	over := s.over(now, t.Organisation) && !t.Resumes
	if t.Resumes {
		limit = 2 * maxUnread
	}
	if over {
		limit = maxUnread * overShare / 100
	}
	own := ownTokens(t)
	home := highest(candidates, t.affinity())
	var best *target
	var bestMiss, bestScore int
	for _, c := range candidates {
		l := s.loadOf(now, c)
		miss := c.cache.missing(t.Parts, t.Input)
		if c == home {
			miss = min(miss, own)
		}
		if over && miss > own || !s.fits(c, l, t, miss, limit) {
			continue
		}
		score := l.unread + miss*rereadPrice/100 + l.running*slotPrice
		if c.Zone != s.zone {
			score += zonePrice
		}
		if c != home {
			score += awayPrice
		}
		if best == nil || score < bestScore {
			best, bestMiss, bestScore = c, miss, score
		}
	}
	return best, bestMiss
}

// ownTokens returns the tokens of the prompt's last part.
func ownTokens(t *Ticket) int {
	if n := len(t.Parts); n > 0 {
		return t.Parts[n-1].Tokens
	}
	return t.Input
}

// fits reports whether an engine has room for t. A prompt counts for no more
// than half of the limit: a long one must run somewhere, and would never find
// room beside short ones that keep the engine reading.
func (s *State) fits(c *target, l load, t *Ticket, miss, limit int) bool {
	if l.running+spareSlots >= c.Slots {
		return false
	}
	if l.unread+min(miss, limit/2) > limit {
		return false
	}
	if l.running == 0 {
		return true
	}
	service, ok := s.table.Service(t.Service)
	if !ok || service.Engine == nil {
		return true
	}
	return l.memory+t.private() <= service.Engine.CacheTokens*memoryShare/100
}

// usable returns the targets of t's service that may be sent to: none that
// leaves or was tried before, and none that is suspected of failing unless
// all are.
func (s *State) usable(now time.Time, t *Ticket) []*target {
	var good, suspect []*target
	for _, c := range s.services[t.Service] {
		if c.Leaving || slices.Contains(t.Tried, c.ID) {
			continue
		}
		if c.suspected(now) {
			suspect = append(suspect, c)
			continue
		}
		good = append(good, c)
	}
	if len(good) == 0 {
		return suspect
	}
	return good
}

// leastBusy returns the target of a plain service with the smallest part of
// its slots taken, nearest first.
func (s *State) leastBusy(now time.Time, t *Ticket, candidates []*target) *target {
	var best *target
	var bestScore float64
	home := highest(candidates, t.ID)
	for _, c := range candidates {
		running := s.loadOf(now, c).running
		if running >= c.Slots+c.Slots*queueShare/100 {
			continue
		}
		score := float64(running)
		switch {
		case c.Zone != s.zone:
			score += 0.5
		case c != home:
			score += 0.1
		}
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// highest returns the target that rendezvous hashing gives to key.
func highest(targets []*target, key string) *target {
	var best *target
	var bestWeight uint64
	for _, c := range targets {
		if w := rendezvous.Weight(key, c.ID); best == nil || w > bestWeight {
			best, bestWeight = c, w
		}
	}
	return best
}
