package quarantine

import (
	"crypto/sha256"
	"hash/maphash"
	"time"
)

// Attribute is what requests that crash targets may have in common: their whole content, or a part of
// their prompts.
type Attribute struct {
	// Key identifies the attribute at all routers.
	Key Key
	// Part is the id of the part of the prompt; empty if the attribute is the whole content.
	Part string
	// Local identifies the attribute in this process only, see ContentHash and PartHash.
	Local uint64
}

// maxPartBytes is the length to which a part's id is shortened for records and operators.
const maxPartBytes = 64

// ContentOf returns the attribute of all requests with the same content.
func ContentOf(organisation, method, target string, body []byte) Attribute {
	return Attribute{Key: KeyOf(organisation, method, target, body), Local: ContentHash(organisation, method, target, body)}
}

// PartOf returns the attribute of all requests to a service whose prompts have a part, whichever
// organisation sends them.
func PartOf(service, id string) Attribute {
	h := sha256.New()
	writeSized(h, "part", service)
	h.Write([]byte(id))
	var sum [sha256.Size]byte
	a := Attribute{Key: Key(h.Sum(sum[:0])[:KeySize]), Part: id[:min(len(id), maxPartBytes)], Local: PartHash(service, id)}
	return a
}

var localSeed = maphash.MakeSeed()

// ContentHash returns a hash of a request's content that holds in this process only. It is much cheaper
// to compute than KeyOf.
func ContentHash(organisation, method, target string, body []byte) uint64 {
	var h maphash.Hash
	h.SetSeed(localSeed)
	writeSized(&h, organisation, method, target)
	_, _ = h.Write(body)
	return h.Sum64()
}

// PartHash is ContentHash for a part of a prompt.
func PartHash(service, id string) uint64 {
	var h maphash.Hash
	h.SetSeed(localSeed)
	writeSized(&h, "part", service)
	_, _ = h.WriteString(id)
	return h.Sum64()
}

const (
	// creditWindow is how long an attribute of a request that ended well is not suspected, up to twice
	// that time. What crashes every target does not end well, and what is popular is nearly always
	// running where a target crashes.
	creditWindow = time.Second
	// maxCredits bounds the attributes remembered of each window.
	maxCredits = 1 << 12
)

// credits remembers the attributes of requests that have ended well a moment ago.
type credits struct {
	current, previous map[uint64]struct{}
	rotatedAt         time.Time
}

func (c *credits) rotate(now time.Time) {
	switch age := now.Sub(c.rotatedAt); {
	case age >= 2*creditWindow:
		c.current, c.previous, c.rotatedAt = map[uint64]struct{}{}, nil, now
	case age >= creditWindow:
		c.current, c.previous, c.rotatedAt = map[uint64]struct{}{}, c.current, now
	}
}

func (c *credits) add(now time.Time, local uint64) {
	c.rotate(now)
	if len(c.current) < maxCredits {
		c.current[local] = struct{}{}
	}
}

func (c *credits) has(now time.Time, local uint64) bool {
	c.rotate(now)
	_, current := c.current[local]
	_, previous := c.previous[local]
	return current || previous
}

// RecordEnd records that a request with these attributes, by their local hashes, has ended well.
func (s *State) RecordEnd(now time.Time, attributes []uint64) {
	for _, local := range attributes {
		s.credits.add(now, local)
	}
}

// RecordAttributeBreak is RecordBreak for a request's attribute. It does nothing if a request with the
// attribute ended well a moment ago.
func (s *State) RecordAttributeBreak(now time.Time, a Attribute, organisation, target string, trial bool) int {
	if s.credits.has(now, a.Local) {
		return s.crashesOf(a.Key)
	}
	return s.recordBreak(now, brokenRequest{key: a.Key, part: a.Part, organisation: organisation, crash: Crash{Target: target, Trial: trial}, at: now})
}

// ClearBefore records that a request with an attribute, sent at a time, has completed, so that the
// crashes that were known then had another cause.
func (s *State) ClearBefore(k Key, sent time.Time) {
	e := s.entries[k]
	if e == nil {
		return
	}
	for target, c := range e.crashes {
		if !c.Cleared && (e.part == "" || e.learnt[target].Before(sent)) {
			c.Cleared = true
			s.updateCrash(k, e, c)
		}
	}
}
