package servedversion

import (
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/unrecorded"
)

// UnrecordedVersion returns the version that began a stream of which there is no record although there
// would have to be one if its service had had several versions, and how that is known. The evidence is empty
// while this router cannot know which versions its service had.
func (b *Book) UnrecordedVersion(now time.Time, service string) (string, streamversion.Evidence) {
	return b.UnrecordedVersionIn(now, service, routing.Regions{})
}

// UnrecordedVersionIn is UnrecordedVersion for a stream that may be served in some regions only.
func (b *Book) UnrecordedVersionIn(now time.Time, service string, regions routing.Regions) (string, streamversion.Evidence) {
	version, why, open := b.likelyVersion(now, service, regions)
	if none, _ := b.OthersKnown(now, service, version, open); why == "" || !none {
		return "", ""
	}
	return version, why
}

// UnrecordedVersionAmong is UnrecordedVersionIn for a stream that may have begun at any of some services: the version is
// known only if it is the same for all of them.
func (b *Book) UnrecordedVersionAmong(now time.Time, services []string, regions routing.Regions) (version string, why streamversion.Evidence) {
	for _, service := range services {
		if b.HadNoTargets(now, service) {
			continue
		}
		v, evidence := b.UnrecordedVersionIn(now, service, regions)
		switch {
		case evidence == "" || why != "" && v != version:
			return "", ""
		case why != "":
			evidence = streamversion.EvidenceSameVersion
		}
		version, why = v, evidence
	}
	return version, why
}

// HadNoTargets reports whether a service is known to have had no targets for as long as matters.
func (b *Book) HadNoTargets(now time.Time, service string) bool {
	if now.Sub(b.blindUntil) <= streamversion.TTL {
		return false
	}
	h := b.services[service]
	if h == nil {
		return true
	}
	h.expire(now)
	return len(h.listed)+len(h.goneAt) == 0
}

// likelyVersion is UnrecordedVersionIn by what is listed and stored, whatever entries are gone. It returns the first
// revision since which a target of the version has taken requests as well.
func (b *Book) likelyVersion(now time.Time, service string, regions routing.Regions) (version string, why streamversion.Evidence, open int64) {
	if !b.VersionsKnownSince(now).IsZero() {
		return "", "", 0
	}
	changed := b.limitsChanged != nil && b.limitsChanged(now)
	if version, only := b.OnlyVersion(now, service); only && b.listed {
		if changed {
			return version, streamversion.EvidenceOnlyVersion, math.MaxInt64
		}
		return version, streamversion.EvidenceOnlyVersion, b.OpenAtStart(service, func(zone string) bool { return regions.Allow(b.targets.Region(zone)) })
	}
	h := b.services[service]
	if h == nil || !b.listed || !now.Before(h.earlierUntil) {
		return "", "", 0
	}
	open, before := b.OpenBeforeOthers(h.earlier, b.targets.Entries(now, service, regions))
	if changed {
		open, before = math.MaxInt64, b.openBeforeOthers(now, service, h.earlier)
	}
	if !before {
		return "", "", 0
	}
	return h.earlier, streamversion.EvidenceStoredVersion, open
}

// OnLimits sets a function that reports whether a stream without a record may have begun under other limits of regions than
// those of the moment.
func (b *Book) OnLimits(changed func(now time.Time) bool) { b.limitsChanged = changed }

// openBeforeOthers reports whether a version's targets have taken requests since before those of others in each region, so
// that streams could begin there whatever regions they were limited to.
func (b *Book) openBeforeOthers(now time.Time, service, version string) bool {
	byRegion := map[string][]unrecorded.Entry{}
	for e := range b.targets.Entries(now, service, routing.Regions{}) {
		region := b.targets.Region(e.Zone)
		byRegion[region] = append(byRegion[region], e)
	}
	for _, list := range byRegion {
		if _, before := b.OpenBeforeOthers(version, slices.Values(list)); !before {
			return false
		}
	}
	return true
}

// NeededZoneDrains returns the revision from which the ends of drains need to be known, or false if they are
// known or do not matter.
func (b *Book) NeededZoneDrains(now time.Time) (since int64, needed bool) {
	since = math.MaxInt64
	for service := range b.services {
		if others, awaited := b.awaitedZoneDrains(now, service); awaited {
			since = min(since, others)
		}
	}
	return since, since < math.MaxInt64
}

// AwaitsZoneDrains reports whether UnrecordedVersion can tell no version of a service before the ends of drains
// are known.
func (b *Book) AwaitsZoneDrains(now time.Time, service string) bool {
	_, awaited := b.awaitedZoneDrains(now, service)
	return awaited
}

func (b *Book) awaitedZoneDrains(now time.Time, service string) (since int64, awaited bool) {
	h := b.services[service]
	if h == nil || !b.listed || !now.Before(h.earlierUntil) {
		return 0, false
	}
	// In some regions, the stored version may have been there before the others though it was not in all of them.
	return b.AwaitedZoneDrains(h.earlier, b.targets.Entries(now, service, routing.Regions{}))
}

// RequirePastEntries makes a stream without a record belong to a version only once it is known, of entries that
// are gone, whether there were any of another one since what is stored was written, at a revision.
func (b *Book) RequirePastEntries(now time.Time, storedAt int64) {
	b.RequirePast(storedAt, now.Add(streamversion.TTL))
	if b.listed {
		b.noteOpen(now)
	}
}

// NoteMissed notes that lists of targets between two revisions were missed, since this router stood still or was cut off:
// another version may have taken the place of one and have left again. That of streams without a record is known by
// the store's history, or by an entry that is older.
func (b *Book) NoteMissed(now time.Time, from, to int64) {
	b.blindUntil = now
	b.RequireMissed(now, from, to, now.Add(streamversion.TTL))
	b.noteOpen(now)
}

// noteOpen notes since when targets had taken requests as this router started, or had missed lists. What happens since, it
// sees itself.
func (b *Book) noteOpen(now time.Time) {
	for service := range b.services {
		b.NoteOpen(service, b.targets.Entries(now, service, routing.Regions{}))
	}
}

// NeededPast returns the revision from which the history of entries needs to be known to tell which version
// began a stream without a record, or false if it is known or does not matter.
func (b *Book) NeededPast(now time.Time, service string, regions routing.Regions) (since int64, needed bool) {
	version, why, open := b.likelyVersion(now, service, regions)
	_, known := b.OthersKnown(now, service, version, open)
	return open, why != "" && !known
}
