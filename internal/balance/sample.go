package balance

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/ranking"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// A service with many targets is not searched as a whole for each request: the work would grow
// with the fleet, and beyond a few hundred targets their state no longer fits the processor's
// cache. Instead a request chooses among a few candidates: the targets that rank first for its
// prompt by rendezvous hashing, those known to cache its prompt, and some drawn at random. With
// a few random choices the busiest targets are avoided almost as well as with all of them.
const (
	// maxWholeSearch is the number of targets up to which all are candidates.
	maxWholeSearch = 256
	// homeRanks is the number of first-ranked targets among which usable ones are looked for,
	// and maxHomes the number that become candidates.
	homeRanks = ranking.MaxRanks
	maxHomes  = 3
	// nearSamples and farSamples are the numbers of candidates drawn at random from this
	// router's availability zone and from the whole service.
	nearSamples = 6
	farSamples  = 2
	// wideSamples is the number of further candidates drawn if none of the first has room.
	wideSamples = 64
)

// sampled reports whether a service is not searched as a whole.
func (s *State) sampled(service string) bool { return len(s.targetsOf(service)) > maxWholeSearch }

// noteParts records that a target has been sent parts of a prompt.
func (s *State) noteParts(now time.Time, t *target, parts ...string) {
	if !s.sampled(t.Service) {
		return
	}
	for _, part := range parts {
		s.holders.Add(now, part, t)
	}
}

// candidates returns the usable targets among which to choose one for t. The list is valid until
// the next call.
func (s *State) candidates(now time.Time, t *Ticket) []*target {
	list := s.untried(now, t)
	if len(list) > 0 || len(t.Again) == 0 {
		return list
	}
	list = s.good[:0]
	for _, c := range s.targetsOf(t.Service) {
		if slices.Contains(t.Again, c.incarnation) && s.isReady(now, t, c) {
			list = append(list, c)
		}
	}
	s.good = list
	return s.preferVersion(now, t, list)
}

// untried returns the usable targets that t was not sent to before.
func (s *State) untried(now time.Time, t *Ticket) []*target {
	v := s.services[t.Service]
	if v == nil {
		return nil
	}
	if !s.sampled(t.Service) {
		return s.usable(now, t, v.all.Members())
	}
	s.sample = s.sample[:0]
	s.sampleHomes(now, t, v)
	s.sampleHolders(t)
	if near := v.zones[s.zone]; near != nil {
		s.sampleRandom(near, nearSamples)
	}
	s.sampleRandom(v.all, farSamples)
	good := s.usable(now, t, s.sample)
	if len(good) > 0 && !s.avoids(now, t, good[0]) {
		return good
	}
	if good = s.widen(now, t); len(good) > 0 {
		return good
	}
	return s.usable(now, t, v.all.Members())
}

// widen returns the last candidates of a service that is not searched as a whole, and
// wideSamples further ones.
func (s *State) widen(now time.Time, t *Ticket) []*target {
	s.sampleRandom(s.services[t.Service].all, wideSamples)
	return s.usable(now, t, s.sample)
}

// sampleHomes adds the first usable targets by rendezvous hashing.
func (s *State) sampleHomes(now time.Time, t *Ticket, v *service) {
	x, key := v.all, t.affinity()
	if near := v.zones[s.zone]; near != nil && (!t.Engine || t.cachedByZone()) {
		x = near
	}
	if !t.Engine {
		key = t.ID
	}
	homes := 0
	for _, c := range x.First(rendezvous.Hash(key), homeRanks) {
		if homes < maxHomes && s.isUsable(now, t, c) && !s.avoids(now, t, c) {
			s.sample = append(s.sample, c)
			homes++
		}
	}
}

// sampleHolders adds the targets that are known to cache most of a prompt.
func (s *State) sampleHolders(t *Ticket) {
	for _, p := range slices.Backward(t.Parts) {
		found := false
		for h := range s.holders.Of(p.ID) {
			if h.Service == t.Service && s.targets[h.ID] == h {
				s.addToSample(h)
				found = true
			}
		}
		if found {
			return
		}
	}
}

// sampleRandom adds targets drawn at random.
func (s *State) sampleRandom(x *ranking.Index[*target], n int) {
	for range n {
		s.addToSample(x.Members()[s.random.IntN(len(x.Members()))])
	}
}

func (s *State) addToSample(t *target) {
	if !slices.Contains(s.sample, t) {
		s.sample = append(s.sample, t)
	}
}
