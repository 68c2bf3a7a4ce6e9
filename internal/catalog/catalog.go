// Package catalog holds a router's copy of the store's entries: the configuration, the list of
// targets, that of drained availability zones and the roll-outs, each as of a revision of the store. It
// takes them from the store and from other routers, whichever is newer, and never goes back to
// an older state. This holds also when the store comes back from an older copy, a new era (see
// package revision): entries of that copy count only once their writers have written them again.
//
// An entry that disappears while the store is in trouble has lapsed: its TTL may have run out
// because its target couldn't reach the store, so the target stays in use for a moment.
//
// A Catalog must be used from one goroutine.
package catalog

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"time"
	"unique"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
)

const (
	// storeRecoveryTime is how long live targets take to write their entries again after
	// the store is back, as documented by the platform.
	storeRecoveryTime = 2 * time.Second
	// drainReserve is the part of a leaving target's drain period that is reserved for the
	// delivery of a list of targets and of a request.
	drainReserve = 200 * time.Millisecond
)

// Codec decodes the store's entries. Target returns an *EntryError for an entry that doesn't
// describe a usable target.
type Codec interface {
	Table(value []byte) (*routing.Table, error)
	Target(name string, value []byte) (balance.Target, error)
}

// entry is the state of a target's entry in the store.
type entry struct {
	target balance.Target
	// invalid is set if the entry doesn't describe a usable target.
	invalid bool
	// born is the start time of the newest known incarnation, in Unix milliseconds.
	born int64
	// entryTimes is noTimes for most entries. own allocates it.
	*entryTimes
}

// entryTimes are the times of an entry that few have.
type entryTimes struct {
	// lapsedAt is when the entry disappeared while the store was in trouble, zero while the
	// store holds it. A lapsed entry is dropped at lapsedUntil.
	lapsedAt, lapsedUntil time.Time
	// coldUntil is when the target stops being cold.
	coldUntil time.Time
	// unconfirmedUntil is set on an entry that reappeared although its target had left: the
	// target may really be gone. If the entry is still there at this time, its target writes
	// it. Zero for other entries.
	unconfirmedUntil time.Time
}

// noTimes are the times of all entries that have none. They are never written.
var noTimes = &entryTimes{}

// own returns an entry's times, to be written.
func (e *entry) own() *entryTimes {
	if e.entryTimes == noTimes {
		e.entryTimes = &entryTimes{}
	}
	return e.entryTimes
}

// Catalog is one router's copy of the store's entries. Use New to make one.
type Catalog struct {
	codec Codec
	// maxLapse is how long after the last trouble with the store a target with a lapsed entry
	// is still used.
	maxLapse time.Duration
	// entryTTL is the time after which the store removes the entry of a target that has stopped
	// writing it.
	entryTTL       time.Duration
	configRevision int64
	config         []byte
	table          *routing.Table
	targets        replica
	zones          replica
	rollouts       replica
	// entries holds the targets that are listed or lapsed, by name. They are replaced by
	// setEntry.
	entries map[string]*entry
	// lapsed and unconfirmed hold the names of those that have lapsed or are unconfirmed, changed
	// the names of those that changed since the last call of TakeChanges. lapseEndsFixed and
	// takenZones are what that call returned the targets by.
	lapsed, unconfirmed, changed map[string]struct{}
	lapseEndsFixed               bool
	takenZones                   []string
	// unstableUntil is the end of the unstable period, in which entries that disappear count as
	// lapsed.
	unstableUntil time.Time
	// departed holds the last versions of the entries of targets that have departed, by name.
	departed map[string]Version
	// older holds when writes of earlier processes than the known ones began to come, by name.
	older map[string]olderWrites
	// retainedZones holds the zones whose objects disappeared while the store was in trouble.
	// They count as drained until the time given.
	retainedZones map[string]time.Time
	// ignored holds entries that don't describe a usable target, for Ignored, and
	// ignoredByField their number by field.
	ignored        []Ignored
	ignoredByField map[string]int
}

// New returns an empty catalog. A leaving target serves for at least drain, so a target with a
// lapsed entry is used for less than that. The store removes an entry that its target hasn't
// written for entryTTL.
func New(codec Codec, drain, entryTTL time.Duration) *Catalog {
	c := &Catalog{
		codec: codec, maxLapse: max(min(storeRecoveryTime, drain-drainReserve), 0), entryTTL: entryTTL,
		targets: newReplica(), zones: newReplica(), rollouts: newReplica(), entries: map[string]*entry{}, ignoredByField: map[string]int{},
		departed: map[string]Version{}, older: map[string]olderWrites{}, retainedZones: map[string]time.Time{},
		lapsed: map[string]struct{}{}, unconfirmed: map[string]struct{}{}, changed: map[string]struct{}{}, lapseEndsFixed: true,
	}
	c.targets.outdated = c.outdated
	return c
}

// Table returns the configuration in force, nil before the first one has arrived.
func (c *Catalog) Table() *routing.Table { return c.table }

// ConfigRevision returns the store's revision of the configuration in force.
func (c *Catalog) ConfigRevision() int64 { return c.configRevision }

// TargetsRevision returns the store's revision as of which the list of targets is complete.
func (c *Catalog) TargetsRevision() int64 { return c.targets.revision }

// TargetsChanged returns the store's revision of the newest known change to the targets. A
// router whose list is complete as of this revision or a later one lacks none of the changes
// known here.
func (c *Catalog) TargetsChanged() int64 { return c.targets.changed }

// Newest returns the revisions of the newest known changes. A router whose data is complete as
// of these revisions or later ones lacks none of the changes known here.
func (c *Catalog) Newest() message.Revisions {
	return message.Revisions{Config: c.configRevision, Version: c.version(), Targets: c.targets.changed, Zones: c.zones.changed, Rollouts: c.rollouts.changed}
}

// Complete returns the revisions as of which the data is complete.
func (c *Catalog) Complete() message.Revisions {
	return message.Revisions{Config: c.configRevision, Version: c.version(), Targets: c.targets.revision, Zones: c.zones.revision, Rollouts: c.rollouts.revision}
}

// Hear takes note of the revisions of the newest changes that another router knows, and reports whether those of Newest
// are newer for it.
func (c *Catalog) Hear(theirs message.Revisions) bool {
	targets, zones, rollouts := c.targets.hear(theirs.Targets), c.zones.hear(theirs.Zones), c.rollouts.hear(theirs.Rollouts)
	return targets || zones || rollouts
}

// MarkUnstable notes that the store is in trouble: entries that disappear within maxLapse from
// now may belong to healthy targets.
func (c *Catalog) MarkUnstable(now time.Time) { c.unstableUntil = now.Add(c.maxLapse) }

// unstableFor returns the rest of the unstable period, 0 if there is none.
func (c *Catalog) unstableFor(now time.Time) time.Duration { return max(c.unstableUntil.Sub(now), 0) }

// version returns the operators' version number in the configuration in force, 0 if it has none.
func (c *Catalog) version() int64 {
	if c.table == nil {
		return 0
	}
	return c.table.Version()
}

// SetConfig puts a configuration in force and returns true, or returns false if it is no newer
// than the one in force. If it can't be decoded, the one in force stays.
func (c *Catalog) SetConfig(revision int64, value []byte) (bool, error) {
	if c.table != nil && bytes.Equal(value, c.config) {
		c.configRevision = max(c.configRevision, revision)
		return false, nil
	}
	t, err := c.codec.Table(value)
	if err != nil {
		return false, errors.Wrapf(err, "configuration of revision %d", revision)
	}
	revisions := message.Revisions{Config: revision, Version: t.Version()}
	if !revisions.ConfigNewerThan(c.Newest()) {
		return false, nil
	}
	invariant.Check(t.Version() == 0 || t.Version() >= c.version(), invariant.NeverReverts)
	c.configRevision, c.config, c.table = revision, value, t
	return true, nil
}

// ConfigDiffers reports whether a configuration differs from the one in force.
func (c *Catalog) ConfigDiffers(config []byte) bool {
	return c.table != nil && !bytes.Equal(config, c.config)
}

// SetTargets replaces the list of targets with the store's complete list as of a revision. It
// returns false if the list is older than the known one. Ignored returns the entries that don't
// describe a usable target.
func (c *Catalog) SetTargets(now time.Time, revision int64, list []message.StoredObject) bool {
	c.targets.noteStoreList(revision)
	before := c.targets.revision
	changes, newer := c.targets.replace(revision, list)
	c.restartUnconfirmed(now, before)
	c.updateEntries(now, changes)
	c.updateOlder(now)
	return newer
}

// ApplyTargets applies changes to the list of targets, which are complete up to revision.
func (c *Catalog) ApplyTargets(now time.Time, revision int64, changes []Change) {
	c.updateEntries(now, c.targets.apply(revision, changes))
	c.updateOlder(now)
}

// updateEntries applies changes to the entries. An invalid entry replaces a valid one: the
// earlier target may be gone, and its address may belong to another process.
func (c *Catalog) updateEntries(now time.Time, changes []Change) {
	for _, ch := range changes {
		if ch.Gone {
			c.remove(now, ch.Name)
			continue
		}
		if e := c.newEntry(now, c.entries[ch.Name], ch.StoredObject); e != nil {
			c.setEntry(ch.Name, e)
		}
	}
}

// newEntry returns the entry for an object of the store that replaces old, which is nil if
// there is none. It returns old itself if the object is about an older incarnation.
func (c *Catalog) newEntry(now time.Time, old *entry, t message.StoredObject) *entry {
	known := c.departed[t.Name]
	if old != nil {
		known = Version{Born: old.born}
	}
	e := &entry{born: known.Born, entryTimes: noTimes}
	var err error
	e.target, err = c.codec.Target(t.Name, t.Value)
	// A few services and zones are named by thousands of targets.
	e.target.Service, e.target.Zone = unique.Make(e.target.Service).Value(), unique.Make(e.target.Zone).Value()
	e.target.Version = unique.Make(e.target.Version).Value()
	e.target.Revision = t.Revision
	version := Version{Born: e.target.Born, Writes: e.target.Writes, Revision: t.Revision}
	switch {
	case err != nil:
		e.invalid = true
		c.ignore(t.Name, t.Revision, err)
		return e
	case known.Newer(Version{Born: version.Born, Revision: version.Revision}) && !c.goesOn(now, t, version.Born):
		// A late write of an earlier process. The replica still holds it and forwards it
		// unchanged; other routers decide by what they know.
		c.ignore(t.Name, t.Revision, NewEntryError(FieldBorn, strconv.FormatInt(version.Born, 10)))
		return old
	default:
		e.born = version.Born
		if e.target.ColdLeft > 0 {
			// Errs on the late side, since the entry was written some time ago.
			e.own().coldUntil = now.Add(e.target.ColdLeft)
		}
		if old == nil && !version.WrittenAfter(known) {
			// The target had left, and this is not a later write, so it may not be back. If it
			// doesn't write the entry, the store removes it within entryTTL.
			e.own().unconfirmedUntil = now.Add(c.entryTTL)
		}
		delete(c.departed, t.Name)
		delete(c.older, t.Name)
		c.checkService(t, e.target.Service)
	}
	return e
}

// checkService reports a target whose service is not in the configuration to Ignored. The
// target gets no requests until a later configuration names the service.
func (c *Catalog) checkService(t message.StoredObject, service string) {
	if c.table == nil {
		return
	}
	if _, ok := c.table.Service(service); !ok {
		c.ignore(t.Name, t.Revision, NewEntryError(FieldService, service))
	}
}

// remove handles the removal of an entry from the store: the entry lapses in the unstable
// period, and else is dropped.
func (c *Catalog) remove(now time.Time, name string) {
	delete(c.older, name)
	e := c.entries[name]
	if e == nil || !e.lapsedAt.IsZero() {
		return
	}
	if now.Before(c.unstableUntil) && !e.target.Leaving && !e.invalid && e.unconfirmedUntil.IsZero() {
		// The entry lapses until the end of the unstable period, and not for maxLapse from now:
		// a target whose entry disappears late in the period has probably left, and would be
		// sent requests for up to 1.85 s more.
		times := e.own()
		times.lapsedAt, times.lapsedUntil = now, c.unstableUntil
		c.setEntry(name, e)
		return
	}
	c.drop(name, e)
}

// ExpireLapsed drops the lapsed entries whose time is over and returns their names, sorted. If
// most entries have lapsed, the store was unavailable, and all are kept until the unstable
// period ends. Otherwise an entry's own deadline counts, so that further trouble between this
// router and the store doesn't keep targets in use that have left.
func (c *Catalog) ExpireLapsed(now time.Time) []string {
	if c.mostLapsed() && now.Before(c.unstableUntil) {
		return nil
	}
	var expired []string
	for name := range c.lapsed {
		if e := c.entries[name]; !now.Before(e.lapsedUntil) {
			c.drop(name, e)
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	return expired
}

func (c *Catalog) mostLapsed() bool { return 2*c.Lapsed() > len(c.entries) }

// Lapsed returns the number of entries that have lapsed.
func (c *Catalog) Lapsed() int { return len(c.lapsed) }

// CountTargets returns the number of entries, unusable ones included.
func (c *Catalog) CountTargets() int { return len(c.entries) }

// Targets returns the targets that are listed or lapsed, sorted by id.
func (c *Catalog) Targets() []balance.Target {
	list := make([]balance.Target, 0, len(c.entries))
	for name := range c.entries {
		if t, ok := c.Target(name); ok {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, byID)
	return list
}

func byID(a, b balance.Target) int { return strings.Compare(a.ID, b.ID) }

// Target returns the target with an id, in its current state, or false if no such target is
// listed or lapsed.
func (c *Catalog) Target(id string) (balance.Target, bool) {
	e := c.entries[id]
	if e == nil || e.invalid {
		return balance.Target{}, false
	}
	t := e.target
	t.LapsedAt = e.lapsedAt
	if !c.mostLapsed() {
		// If most have lapsed, further trouble may extend their time.
		t.UsableUntil = e.lapsedUntil
	}
	t.ColdUntil = e.coldUntil
	t.Drained = c.zoneDrained(t.Zone)
	t.Leaving = t.Leaving || !e.unconfirmedUntil.IsZero()
	return t, true
}

// Copy returns what a router lacks that has the revisions in need.
func (c *Catalog) Copy(now time.Time, need message.NeedCopy) message.Copy {
	out := message.Copy{Packed: need.Packed, Rollouts: c.rollouts.since(need.Rollouts, need.DropsUnlisted)}
	out.Targets, out.Zones = c.targets.since(need.Targets, need.DropsUnlisted), c.zones.since(need.Zones, need.DropsUnlisted)
	if c.table != nil && c.Newest().ConfigNewerThan(need.Revisions) {
		out.ConfigRevision, out.Config = c.configRevision, c.config
	}
	if out.Targets.Revision > 0 || out.Zones.Revision > 0 {
		out.UnstableFor = c.unstableFor(now)
	}
	return out
}

// Merge merges another router's copy of the targets and drained zones. It returns false if that
// brought nothing new.
func (c *Catalog) Merge(now time.Time, m message.Copy) bool {
	if (c.targets.accepts(m.Targets) || c.zones.accepts(m.Zones)) && m.UnstableFor > c.unstableFor(now) {
		c.unstableUntil = now.Add(m.UnstableFor)
	}
	c.rollouts.merge(m.Rollouts)
	drained, _ := c.zones.merge(m.Zones)
	c.retain(now, drained)
	before := c.targets.revision
	changes, newer := c.targets.merge(m.Targets)
	c.restartUnconfirmed(now, before)
	c.updateEntries(now, changes)
	c.updateOlder(now)
	return newer || len(drained) > 0
}
