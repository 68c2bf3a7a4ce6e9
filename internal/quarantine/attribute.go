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
	// Credit identifies the attribute for RecordEnd.
	Credit Credit
}

// Credit identifies an attribute of a request that ended well: by the Key of a part, or by a hash of the
// content that holds in this process only and is much cheaper to compute.
type Credit struct {
	part    Key
	content uint64
}

// maxPartBytes is the length to which a part's id is shortened for records and operators.
const maxPartBytes = 64

// ContentOf returns the attribute of all requests with the same content. The body may be in pieces.
func ContentOf(host, method, target string, body ...[]byte) Attribute {
	return Attribute{Key: KeyOf(host, method, target, body...), Credit: ContentCredit(host, method, target, body...)}
}

var localSeed = maphash.MakeSeed()

// ContentCredit returns the Credit of a request's content. The body may be in pieces.
func ContentCredit(host, method, target string, body ...[]byte) Credit {
	var h maphash.Hash
	h.SetSeed(localSeed)
	writeSized(&h, host, method, target)
	for _, piece := range body {
		_, _ = h.Write(piece)
	}
	return Credit{content: h.Sum64()}
}

// Inherit records that the crashes under an attribute count against another one, as if it had been that of the requests, and
// reports whether they do: not if something is known of the other one. Whether that one crashes targets as well is tried
// out, whatever trials there were before.
func (s *State) Inherit(now time.Time, from Key, to Attribute) bool {
	s.expireBroken(now)
	e := s.entries[from]
	if e == nil || s.entries[to.Key] != nil || s.credits.has(now, to.Credit) {
		return false
	}
	r := e.record(now, from)
	r.Key, r.Part = to.Key, to.Part
	for i := range r.Crashes {
		r.Crashes[i].Trial = false
	}
	s.merge(now, r)
	return s.entries[to.Key] != nil
}

// PartOf returns the attribute of all requests to a service whose prompts have a part, whichever
// organisation sends them.
func PartOf(service, id string) Attribute {
	h := sha256.New()
	writeSized(h, "part", service)
	h.Write([]byte(id))
	var sum [sha256.Size]byte
	k := Key(h.Sum(sum[:0])[:KeySize])
	return Attribute{Key: k, Part: id[:min(len(id), maxPartBytes)], Credit: Credit{part: k}}
}
