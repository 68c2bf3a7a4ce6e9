// Package unrecorded tells whether a stream of which there is no record began at a version of its service. What
// the store holds of versions can lack one that began streams, as it may have taken no writes. The entries of
// targets, in the order of the store's revisions, and the store's history of them then tell whether there was one.
package unrecorded

import (
	"iter"
	"math"
	"time"
)

// Entry is a target's entry.
type Entry struct {
	Version, Zone string
	// Revision is the store's revision of the entry's last change.
	Revision int64
	// Open is set if the target takes requests.
	Open bool
}

// ZoneDrains tells which drains of availability zones have ended lately.
type ZoneDrains struct {
	// Since is the store's revision after which all are known; math.MaxInt64 if none can be.
	Since int64
	// Ended has the zones, and revisions up to which the last drain of each had ended.
	Ended map[string]int64
}

// Evidence is what a router knows besides the entries that are listed. With the zero value these suffice.
type Evidence struct {
	// drains has the ends of zones' drains; nil if zones are not drained.
	drains *ZoneDrains
	// storedAt is the revision at which what is stored of versions was written, or of the last list before one was missed;
	// 0 if entries that are gone do not matter. They do until a time.
	storedAt int64
	until    time.Time
	past     Past
	// missedUpTo is the revision of the first list after some were missed. What was read up to an earlier one is not all.
	missedUpTo int64
	// open has, for each service and zone, the first revision since which a target had taken requests as the
	// router started, or had missed lists.
	open map[string]map[string]int64
}

// RequireZoneDrains makes a stream without a record belong to a stored version only once it is known whether
// its targets' zones were drained meanwhile.
func (e *Evidence) RequireZoneDrains() { e.drains = &ZoneDrains{Ended: map[string]int64{}} }

// SetZoneDrains records drains that have ended.
func (e *Evidence) SetZoneDrains(d ZoneDrains) {
	e.drains.Since = d.Since
	for zone, at := range d.Ended {
		e.drains.Ended[zone] = max(e.drains.Ended[zone], at)
	}
}

// NoteDrainEnd notes the end of a drain that this router has seen itself.
func (e *Evidence) NoteDrainEnd(zone string) {
	if e.drains != nil {
		e.drains.Ended[zone] = math.MaxInt64
	}
}

// AwaitedZoneDrains returns the revision from which the ends of drains need to be known to tell whether a target
// of a version has taken requests since before the others, or false if they are known or do not matter.
func (e *Evidence) AwaitedZoneDrains(version string, entries iter.Seq[Entry]) (since int64, awaited bool) {
	if e.drains == nil {
		return 0, false
	}
	_, others := e.openSince(version, entries)
	unknown := e.drains.Since == 0 || e.drains.Since > others && e.drains.Since < math.MaxInt64
	return others, others > 0 && others < math.MaxInt64 && unknown
}

// OpenBeforeOthers reports whether a target of a version has taken requests since before the entries of all
// targets of other versions were written, and since which revision. Until then streams could begin at that
// version, whatever the store took from routers meanwhile.
func (e *Evidence) OpenBeforeOthers(version string, entries iter.Seq[Entry]) (first int64, before bool) {
	first, others := e.openSince(version, entries)
	if others == math.MaxInt64 || others == 0 {
		return first, true
	}
	return first, first < others && (e.drains == nil || e.drains.Since > 0 && e.drains.Since <= others)
}

// openSince returns the first revision since which a target of a version has taken requests, by what is known,
// and the first one of an entry of another version.
func (e *Evidence) openSince(version string, entries iter.Seq[Entry]) (first, others int64) {
	first, others = math.MaxInt64, math.MaxInt64
	for c := range entries {
		switch {
		case c.Version != version:
			others = min(others, c.Revision)
		case c.Open:
			since := c.Revision
			if e.drains != nil {
				since = max(since, e.drains.Ended[c.Zone])
			}
			first = min(first, since)
		}
	}
	return first, others
}

// RequirePast makes a stream without a record belong to a version, until a time, only once it is known that no
// entry of another one has gone at whose target it may have begun. storedAt is the revision at which what is stored
// of versions was written.
func (e *Evidence) RequirePast(storedAt int64, until time.Time) {
	if e.storedAt == 0 || storedAt != 0 && storedAt < e.storedAt {
		e.storedAt = storedAt
	}
	e.until = until
}

// RequireMissed is RequirePast after lists of entries were missed between two revisions. What has been read is not all then,
// and what NoteOpen is told next counts.
func (e *Evidence) RequireMissed(now time.Time, from, to int64, until time.Time) {
	e.storedAt = e.StoredAt(now)
	e.RequirePast(from, until)
	e.past, e.missedUpTo, e.open = Past{}, to, nil
}

// NoteOpen notes the entries of a service that had targets as the router started, or a stored version. The first call
// counts.
func (e *Evidence) NoteOpen(service string, entries iter.Seq[Entry]) {
	if e.open == nil {
		e.open = map[string]map[string]int64{}
	}
	if e.open[service] != nil {
		return
	}
	zones := map[string]int64{}
	for c := range entries {
		if first, known := zones[c.Zone]; c.Open && (!known || c.Revision < first) {
			zones[c.Zone] = c.Revision
		}
	}
	e.open[service] = zones
}

// OpenAtStart returns since which revision a target of a service, in zones that are allowed, had taken requests
// as the router started, or had missed lists: math.MaxInt64 if none did, 0 if the service has come since.
func (e *Evidence) OpenAtStart(service string, allowed func(zone string) bool) int64 {
	zones, known := e.open[service]
	if !known {
		return 0
	}
	first := int64(math.MaxInt64)
	for zone, at := range zones {
		if allowed(zone) {
			first = min(first, at)
		}
	}
	return first
}

// SetPast adds what the store's history tells.
func (e *Evidence) SetPast(p Past) {
	if p.Kept != 0 && p.Through < e.missedUpTo {
		p = Past{Gone: p.Gone}
	}
	e.past = e.past.merge(p)
}

// StoredAt returns the revision at which what is stored of versions was written, 0 if it does not matter any longer.
func (e *Evidence) StoredAt(now time.Time) int64 {
	if !now.Before(e.until) {
		return 0
	}
	return e.storedAt
}

// OthersKnown reports whether it is known if a stream may have begun at another version of a service the entries of
// which are gone, and if so, whether none did. A target of the version has taken requests since a revision, open.
func (e *Evidence) OthersKnown(now time.Time, service, version string, open int64) (none, known bool) {
	at := e.StoredAt(now)
	if open <= at || at == 0 {
		// What was stored later names no other version.
		return true, true
	}
	return e.past.others(at, service, version, open)
}
