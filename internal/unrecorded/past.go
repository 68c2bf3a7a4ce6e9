package unrecorded

import (
	"maps"
	"math"

	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// Past is what the store's history tells of targets' entries.
type Past struct {
	// Gone is a revision after which the store no longer has all changes. Entries that have not changed since are
	// older than its history, and so than streams that callers may still take up.
	Gone int64
	// Kept is the revision after which all changes are known: 0 if no history was read, math.MaxInt64 if
	// none can be.
	Kept int64
	// Through is the revision up to which they are known.
	Through int64
	// Came has for each version the first revision at which there may have been an entry of it, and Unknown is the
	// same for entries of which no version is known; 0 if there were none.
	Came    map[streamversion.ServiceVersion]int64
	Unknown int64
}

// Change is a change of an entry.
type Change struct {
	Name     string
	Revision int64
	// Decoded is set if the service and version are known; an entry that goes may not tell them.
	streamversion.ServiceVersion
	Decoded bool
	Gone    bool
}

// NewPast returns what all changes after a revision, up to another one, tell, which are in order.
func NewPast(since, through int64, changes []Change) Past {
	p := Past{Kept: since, Through: through, Came: map[streamversion.ServiceVersion]int64{}}
	seen := map[string]bool{}
	for _, c := range changes {
		at := c.Revision
		if c.Gone {
			if seen[c.Name] {
				continue
			}
			// It was there before.
			at = since
		}
		seen[c.Name] = true
		switch first, known := p.Came[c.ServiceVersion]; {
		case c.Decoded && (!known || at < first):
			p.Came[c.ServiceVersion] = at
		case !c.Decoded && c.Gone:
			p.Unknown = since
		}
	}
	return p
}

// merge returns what both tell.
func (p Past) merge(other Past) Past {
	merged := Past{Gone: max(p.Gone, other.Gone), Kept: other.Kept, Came: maps.Clone(other.Came), Unknown: other.Unknown}
	if p.Kept != 0 && (merged.Kept == 0 || p.Kept < merged.Kept) {
		merged.Kept = p.Kept
	}
	if p.Unknown != 0 && (merged.Unknown == 0 || p.Unknown < merged.Unknown) {
		merged.Unknown = p.Unknown
	}
	if merged.Came == nil {
		merged.Came = map[streamversion.ServiceVersion]int64{}
	}
	for v, at := range p.Came {
		if first, known := merged.Came[v]; !known || at < first {
			merged.Came[v] = at
		}
	}
	return merged
}

// others is Evidence.OthersKnown for a target that has taken requests since open, which is later than what is stored
// was written.
func (p Past) others(storedAt int64, service, version string, open int64) (none, known bool) {
	switch {
	case open <= p.Gone:
		return true, true
	case p.Kept > storedAt:
		// The entry has changed within the history, and what came before that is not known.
		return false, open >= p.Kept
	case p.Kept == 0:
		return false, false
	}
	first := int64(math.MaxInt64)
	if p.Unknown != 0 {
		first = p.Unknown
	}
	for v, at := range p.Came {
		if v.Service == service && v.Version != version {
			first = min(first, at)
		}
	}
	return first == math.MaxInt64 || open < first, true
}
