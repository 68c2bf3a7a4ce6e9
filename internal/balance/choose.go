package balance

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/pace"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

const (
	// rereadPrice is what reading a shared part anew counts beside the time
	// that it takes, in percent of that time: it also pushes other parts out.
	rereadPrice = 200
	// fetchPrice is what fetching a part from another engine counts, in percent
	// of the time to read it. It takes a fortieth of the time of reading and a tenth of
	// its price, but each copy pushes other parts out, which are then read anew.
	fetchPrice = 300
	// zonePrice is the time that a target in another availability zone counts
	// more: bytes between zones are paid for.
	zonePrice = 4 * time.Millisecond
	// nearShared is the number of shared tokens up to which a prompt is kept in
	// each availability zone apart. Reading so few again costs less than
	// passing the prompt and its answer from zone to zone each time. So is one of
	// which no more than nearPart, in percent, is shared: most of it has to be read
	// wherever it goes.
	nearShared = 300
	nearPart   = 50
	// awayPrice is the time that an engine counts more than the one that hashing
	// gives a prompt to: all routers go there, and copies elsewhere are dropped
	// sooner.
	awayPrice = 4 * time.Millisecond
	// slotPrice is the time that a running request counts as: each makes the
	// tokens of the others come slower.
	slotPrice = 250 * time.Microsecond
	// latePrice is what a target counts more at which a request is expected to
	// miss its goal: it is chosen only if there is no other.
	latePrice = time.Minute
)

// place is a target with room for a request.
type place struct {
	*target
	// read is the number of prompt tokens that the target would have to read,
	// fetched the number that it would fetch from source instead.
	read, fetched int
	work          pace.Work
	// first is when the first event is expected, after the request is sent, and
	// safe when it has probably come.
	first, safe time.Duration
	// source is nil if no other engine keeps more of the prompt.
	source *target
}

// choose returns the best target with room for t, or false. Shared parts are
// read at another engine than the one that hashing gives them to only for
// organisations that have not had their share: that costs as much as two
// requests.
func (s *State) choose(now time.Time, t *Ticket) (place, bool) {
	candidates := s.usable(now, t)
	if !t.Engine {
		best := s.leastBusy(now, t, candidates)
		return place{target: best}, best != nil
	}
	excess := s.excess(now, t.Organisation)
	over := excess > shareTolerance && !t.Resumes
	r := s.room(now, t, excess)
	model := s.pace(t.Service)
	own := ownTokens(t)
	k := s.findKeepers(now, t, candidates)
	var best place
	var lowest time.Duration
	for i, c := range candidates {
		p := k.placeAt(c, s.missing[i], own)
		p.work = pace.Work{Ahead: s.ahead(now, c, model), Uncached: p.read}
		p.first = model.Predict(p.work)
		p.safe = p.first + time.Duration(model.RelativeError()*float64(p.first))
		away := c != k.home && p.read+p.fetched > own
		if over && away || !s.fits(now, c, t) || !r.holds(p, model) {
			continue
		}
		if price := s.price(now, p, c == k.home, r, model); best.target == nil || price < lowest {
			best, lowest = p, price
		}
	}
	return best, best.target != nil
}

// price returns what sending a request to a place counts, as a time.
func (s *State) price(now time.Time, p place, home bool, r room, m *pace.Model) time.Duration {
	price := p.first + m.PrefillTime(p.read*rereadPrice/100+p.fetched*fetchPrice/100)
	price += time.Duration(s.loadOf(now, p.target).Running) * slotPrice
	if p.Zone != s.zone {
		price += zonePrice
	}
	if !home {
		price += awayPrice
	}
	if p.safe > r.left {
		price += latePrice
	}
	return price
}

// keepers says which engines keep how much of a prompt.
type keepers struct {
	// home is the engine that hashing gives the prompt to, which all routers,
	// or all of an availability zone, send it to if they can.
	home *target
	// best is the one that keeps most of it, as far as this router knows, and
	// missing the tokens that it does not keep.
	best    *target
	missing int
}

// findKeepers returns the keepers of a prompt and sets s.missing to the tokens
// that each candidate does not keep, as far as this router knows.
func (s *State) findKeepers(now time.Time, t *Ticket, candidates []*target) keepers {
	k := keepers{home: s.home(t, candidates)}
	s.missing = s.missing[:0]
	for _, c := range candidates {
		missing := c.cache.UncachedTokens(now, t.Parts, t.Input)
		s.missing = append(s.missing, missing)
		if k.best == nil || missing < k.missing {
			k.best, k.missing = c, missing
		}
	}
	return k
}

// home returns the engine that hashing gives a prompt to.
func (s *State) home(t *Ticket, candidates []*target) *target {
	if shared := t.Input - ownTokens(t); shared > nearShared && shared*100 > t.Input*nearPart {
		return highest(candidates, t.affinity())
	}
	s.near = s.near[:0]
	for _, c := range candidates {
		if c.Zone == s.zone {
			s.near = append(s.near, c)
		}
	}
	if len(s.near) == 0 {
		return highest(candidates, t.affinity())
	}
	return highest(s.near, t.affinity())
}

// placeAt returns what a prompt with so many tokens of its own needs at an
// engine that does not keep missing of its tokens, as far as this router
// knows.
func (k keepers) placeAt(c *target, missing, own int) place {
	read := missing
	if c == k.home {
		read = min(read, own)
	}
	switch {
	case k.missing < missing && (k.missing <= own || c == k.home):
		return place{target: c, read: min(read, k.missing), fetched: read - min(read, k.missing), source: k.best}
	case c != k.home && own < read:
		return place{target: c, read: own, fetched: read - own, source: k.home}
	}
	return place{target: c, read: read}
}

// ownTokens returns the tokens of the prompt's last part.
func ownTokens(t *Ticket) int {
	if n := len(t.Parts); n > 0 {
		return t.Parts[n-1].Tokens
	}
	return t.Input
}

// fits reports whether an engine has a slot and memory for t.
func (s *State) fits(now time.Time, c *target, t *Ticket) bool {
	l := s.loadOf(now, c)
	if l.Running+spareSlots >= c.Slots {
		return false
	}
	if l.Running == 0 {
		return true
	}
	service, ok := s.table.Service(t.Service)
	if !ok || service.Engine == nil {
		return true
	}
	return l.Memory+t.private() <= service.Engine.CacheTokens*memoryShare/100
}

// usable returns the targets of t's service that may be sent to: none that
// leaves, rests or was tried before, no cold one that had its part, and none that is
// suspected of failing unless all are. The list is valid until the next call.
func (s *State) usable(now time.Time, t *Ticket) []*target {
	good, suspect := s.good[:0], s.suspect[:0]
	for _, c := range s.services[t.Service] {
		if c.Closed(now) || c.unrested(now) || slices.Contains(t.Tried, c.name) || s.held(now, c) {
			continue
		}
		if c.suspected(now) {
			suspect = append(suspect, c)
			continue
		}
		good = append(good, c)
	}
	s.good, s.suspect = good, suspect
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
		running := s.loadOf(now, c).Running
		if running >= c.most(t.Goal) {
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

// most returns how many requests to a plain service's target may be under way: those that
// end within a part of their goal, its slots and half as many at least.
func (t *target) most(goal time.Duration) int {
	least := t.Slots + t.Slots*queueShare/100
	if t.takes <= 0 {
		return least
	}
	timely := int(float64(t.Slots) * float64(goal) * timelyShare / 100 / float64(t.takes))
	return max(min(timely, t.Slots*queueMost), least)
}

// highest returns the target that rendezvous hashing gives to key.
func highest(targets []*target, key string) *target {
	var best *target
	var bestWeight uint64
	hash := rendezvous.Hash(key)
	for _, c := range targets {
		if w := rendezvous.WeightFromHashes(hash, c.hash); best == nil || w > bestWeight {
			best, bestWeight = c, w
		}
	}
	return best
}
