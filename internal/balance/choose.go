package balance

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/pace"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

const (
	// rereadPercent is what reading a shared prompt prefix again costs on top of the time to
	// read it, in percent of that time: it also evicts other prefixes from the cache.
	rereadPercent = 200
	// fetchPercent is the cost of fetching a cached prefix from another engine, in percent of
	// the time to read it. A fetch takes a fortieth of the time of reading and a tenth of its
	// price, but each copy evicts other prefixes, which must then be read again.
	fetchPercent = 300
	// otherZoneCost is added for a target in another availability zone, since traffic between
	// zones is paid for.
	otherZoneCost = 4 * time.Millisecond
	// Prompts with at most maxZoneLocalTokens shared tokens, or with at most
	// maxZoneLocalPercent of their tokens shared, are cached in each availability zone
	// separately. Reading so few tokens again costs less than sending each prompt and its
	// answer across zones; and where little is shared, most of the prompt must be read at any
	// engine.
	maxZoneLocalTokens  = 300
	maxZoneLocalPercent = 50
	// awayCost is added for an engine other than the prompt's home, the one chosen by
	// rendezvous hashing. All routers send the prompt to its home, and copies elsewhere are
	// evicted sooner.
	awayCost = 4 * time.Millisecond
	// slotCost is added for each request running at a target: each one slows down the tokens
	// of the others.
	slotCost = 250 * time.Microsecond
	// lateCost is added for a target at which a request is expected to miss its goal, and for one
	// at which its answer is expected to end after the deadline, so that such a target is chosen
	// only if there is no other.
	lateCost = time.Minute
)

// placement is a target that can take a request, with what the request would cost there.
type placement struct {
	*target
	// uncachedTokens is the number of prompt tokens that the target would have to read,
	// fetchTokens the number that it would fetch from source instead.
	uncachedTokens, fetchTokens int
	work                        pace.Work
	// expected is the expected time from sending the request to its first event, and
	// conservative the same plus the model's usual error.
	expected, conservative time.Duration
	// source is the engine to fetch cached tokens from; nil if no other engine caches more of
	// the prompt.
	source *target
	// running is the number of requests running at the target, and endsLate set if the answer is
	// expected to end after the deadline, both if pauses are bounded.
	running  int
	endsLate bool
	// late is set if the first event is expected after the goal.
	late bool
}

// choose returns the placement with the lowest cost for t; false if no target can take it. An
// organisation over its share does not get shared prefixes read at an engine other than their
// home: that costs as much as two requests.
func (s *State) choose(now time.Time, t *Ticket) (placement, bool) {
	if prefers := s.preferredToBegin(now, t); prefers != nil {
		if best, ok := s.choosePreferred(now, t, prefers); ok {
			return best, true
		}
	}
	best, ok := s.chooseFrom(now, t, s.candidates(now, t))
	if !ok && s.sampled(t.Service) {
		best, ok = s.chooseFrom(now, t, s.widen(now, t))
	}
	return best, ok
}

// chooseFrom is choose among some candidates.
func (s *State) chooseFrom(now time.Time, t *Ticket, candidates []*target) (placement, bool) {
	if !t.Engine {
		best := s.leastLoaded(now, t, candidates)
		return placement{target: best}, best != nil
	}
	ratio := s.shares.Ratio(now, t.Organisation)
	over := ratio > shareTolerance && !t.Resumes
	r := s.room(now, t, ratio)
	own := ownTokens(t)
	k := s.locatePrefix(now, t, candidates)
	var best placement
	var lowest time.Duration
	for i, c := range candidates {
		p := k.placementAt(c, s.missing[i], own)
		model := s.estimate(now, c)
		p.work = pace.Work{Ahead: s.pendingTokens(now, c, model), Uncached: p.uncachedTokens}
		p.expected = model.Predict(p.work)
		p.conservative = p.expected + time.Duration(model.RelativeError()*float64(p.expected))
		p.late = p.conservative > r.remaining
		if r.pauses != nil {
			r.pauses.predict(&p, s.loadOf(now, c).Running, model.factor)
		}
		away := c != k.home && p.uncachedTokens+p.fetchTokens > own
		if over && away || !s.fits(now, c, t) || !r.admits(p, model) {
			continue
		}
		if cost := s.cost(now, p, c == k.home, model); best.target == nil || cost < lowest {
			best, lowest = p, cost
		}
	}
	return best, best.target != nil
}

// cost returns the cost of sending a request to a placement, as a time.
func (s *State) cost(now time.Time, p placement, home bool, m estimator) time.Duration {
	cost := p.expected + m.PrefillTime(p.uncachedTokens*rereadPercent/100+p.fetchTokens*fetchPercent/100)
	cost += time.Duration(s.loadOf(now, p.target).Running) * slotCost
	if p.Zone != s.zone {
		cost += otherZoneCost
	}
	if !home {
		cost += awayCost
	}
	if p.late {
		cost += lateCost
	}
	if p.endsLate {
		cost += lateCost
	}
	return cost
}

// prefixLocations is where a prompt's prefix is cached or should be.
type prefixLocations struct {
	// home is the engine that rendezvous hashing assigns the prompt to. All routers, or all of
	// an availability zone, send the prompt there if they can.
	home *target
	// best is the engine known to cache most of the prompt, and missing the number of the
	// prompt's tokens that it is not known to cache.
	best    *target
	missing int
}

// locatePrefix returns where a prompt is known to be cached. It also sets s.missing to the
// number of tokens that each candidate is not known to cache.
func (s *State) locatePrefix(now time.Time, t *Ticket, candidates []*target) prefixLocations {
	k := prefixLocations{home: s.home(t, candidates)}
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

// home returns the engine that rendezvous hashing assigns a prompt to. Prompts that are cached
// in each availability zone separately are hashed over the engines of this router's zone, if
// it has any.
func (s *State) home(t *Ticket, candidates []*target) *target {
	if !t.cachedByZone() {
		return rendezvousTarget(candidates, t.affinity())
	}
	s.near = s.near[:0]
	for _, c := range candidates {
		if c.Zone == s.zone {
			s.near = append(s.near, c)
		}
	}
	if len(s.near) == 0 {
		return rendezvousTarget(candidates, t.affinity())
	}
	return rendezvousTarget(s.near, t.affinity())
}

// cachedByZone reports whether a prompt is cached in each availability zone separately.
func (t *Ticket) cachedByZone() bool {
	shared := t.Input - ownTokens(t)
	return shared <= maxZoneLocalTokens || shared*100 <= t.Input*maxZoneLocalPercent
}

// placementAt returns how many tokens of a prompt an engine would read and fetch. missing is
// the number of tokens that it is not known to cache, own the size of the prompt's unshared
// last part.
func (k prefixLocations) placementAt(c *target, missing, own int) placement {
	read := missing
	if c == k.home {
		read = min(read, own)
	}
	switch {
	case k.missing < missing && (k.missing <= own || c == k.home):
		return placement{target: c, uncachedTokens: min(read, k.missing), fetchTokens: read - min(read, k.missing), source: k.best}
	case c != k.home && own < read:
		return placement{target: c, uncachedTokens: own, fetchTokens: read - own, source: k.home}
	}
	return placement{target: c, uncachedTokens: read}
}

// ownTokens returns the number of tokens of the prompt's last part, which no other session
// shares.
func ownTokens(t *Ticket) int {
	if n := len(t.Parts); n > 0 {
		return t.Parts[n-1].Tokens
	}
	return t.Input
}

// fits reports whether an engine has a free slot and enough memory for t.
func (s *State) fits(now time.Time, c *target, t *Ticket) bool {
	l := s.loadOf(now, c)
	spare := spareSlots
	if t.Resumes || t.isSecond {
		// It waits better in the engine's queue than here, where its caller may be about to leave.
		spare = 0
	}
	if l.Running >= max(c.Slots-spare, 1) {
		return false
	}
	if l.Running == 0 {
		return true
	}
	service, ok := s.table.Service(t.Service)
	if !ok || service.Engine == nil {
		return true
	}
	return l.MemoryTokens+t.unsharedTokens() <= service.Engine.CacheTokens*memoryPercent/100
}

// avoids reports whether t is sent to a target only if there is no other one. One request at a time tries out
// whether a target works again, and no retry does, which would fail for good. A second send goes to a target that
// is known to answer now. The version of a stream that begins at a target in doubt is unknown.
func (s *State) avoids(now time.Time, t *Ticket, c *target) bool {
	if t.isSecond && !c.wasHeard(now) {
		return true
	}
	untried := len(t.Tried) > 0 && c.health.Recovering() || len(c.unstarted) > 0 && c.isUnproven()
	return c.suspected(now) || untried || t.StreamID != "" && s.inDoubt(now, c)
}

// usable returns the targets of a list that t may be sent to. Those that it avoids are returned only
// if there are no others. The result is valid until the next call.
func (s *State) usable(now time.Time, t *Ticket, list []*target) []*target {
	good, suspect := s.good[:0], s.suspect[:0]
	for _, c := range list {
		if !s.isUsable(now, t, c) {
			continue
		}
		if s.avoids(now, t, c) {
			suspect = append(suspect, c)
			continue
		}
		good = append(good, c)
	}
	s.good, s.suspect = good, suspect
	if len(good) == 0 {
		good = suspect
	}
	return s.preferVersion(now, t, good)
}

// isUsable reports whether t may be sent to a target: not if the target is closed to it, backing off
// or was tried before, or if it is cold and has been sent this router's part of the requests
// that it can handle.
func (s *State) isUsable(now time.Time, t *Ticket, c *target) bool {
	if t.isSecond && !c.isResponsive(now) {
		return false
	}
	return s.isReady(now, t, c) && !slices.Contains(t.Tried, c.incarnation)
}

func (s *State) isReady(now time.Time, t *Ticket, c *target) bool {
	return s.isOpen(now, t, c) && !c.backingOffOrProbed(now) && !s.coldLimited(now, c)
}

// leastLoaded returns the target of a plain service with the fewest running requests. Among
// equals it prefers this router's availability zone, and within it the target that hashing
// assigns to the request.
func (s *State) leastLoaded(now time.Time, t *Ticket, candidates []*target) *target {
	var best *target
	var bestScore float64
	home := rendezvousTarget(candidates, t.ID)
	for _, c := range candidates {
		running := s.loadOf(now, c).Running
		if running >= c.maxRunning(t.Goal) {
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

// maxRunning returns how many requests a target of a plain service may have running: as many
// as can end within timelyPercent of the goal, up to maxQueueFactor times its slots, but at
// least its slots plus extraSlotsPercent.
func (t *target) maxRunning(goal time.Duration) int {
	atLeast := t.Slots + t.Slots*extraSlotsPercent/100
	if t.serviceTime <= 0 {
		return atLeast
	}
	timely := int(float64(t.Slots) * float64(goal) * timelyPercent / 100 / float64(t.serviceTime))
	return max(min(timely, t.Slots*maxQueueFactor), atLeast)
}

// rendezvousTarget returns the target that rendezvous hashing assigns to key.
func rendezvousTarget(targets []*target, key string) *target {
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
