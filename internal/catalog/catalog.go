// Package catalog holds a router's copy of what the store says: the
// configuration, the list of targets and that of drained availability zones, each as of a
// revision of the store.
// It takes them from the store and from other routers, whichever is newer,
// and never goes back, nor does it where the store comes back from an older copy: what that
// holds counts only where its writers have written it since. It is driven by one goroutine.
package catalog

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
)

const (
	// backTime is about how long after the store is back the entries of live
	// targets are: the platform says two seconds.
	backTime = 2 * time.Second
	// drainReserve is what is left, of the time that a leaving target serves, for
	// a list of targets and a request on their way.
	drainReserve = 200 * time.Millisecond
)

// Codec decodes what the store holds. Target returns an *EntryError for an entry that
// names no target to use.
type Codec interface {
	Table(value []byte) (*routing.Table, error)
	Target(name string, value []byte) (balance.Target, error)
}

// entry is a target's entry.
type entry struct {
	target balance.Target
	// bad is set where the entry names no target to use.
	bad bool
	// born is that of the newest incarnation that the entry told of.
	born int64
	// lapsed is when the entry went while the store was in trouble; zero for
	// one that is there. until is until when it may come back.
	lapsed, until time.Time
	// coldUntil is until when the entry says that the target is cold.
	coldUntil time.Time
	// doubtUntil is until when the entry may be one that its target has left since; zero
	// for one that is not in doubt.
	doubtUntil time.Time
}

// Catalog is one router's copy. Use New to make one.
type Catalog struct {
	codec Codec
	// lapse is for how long after the store's trouble a target is still used
	// whose entry went meanwhile.
	lapse time.Duration
	// silence is after how long the store takes out the entry of a target that writes no
	// more.
	silence        time.Duration
	configRevision int64
	config         []byte
	table          *routing.Table
	targets        replica
	zones          replica
	// entries are the targets listed or lapsed.
	entries map[string]*entry
	// unstableUntil is until when entries that go count as lapsed.
	unstableUntil time.Time
	// left has the last entries of targets that have left.
	left map[string]Version
	// zonesHeld has until when zones count as drained whose objects went while the store
	// was in trouble.
	zonesHeld map[string]time.Time
	// ignored has entries that name no target to use, for Ignored, and ignoredBy
	// their number by field.
	ignored   []Ignored
	ignoredBy map[string]int
}

// New returns an empty catalog. A target that leaves serves on for drain: those
// whose entries went while the store was in trouble are used for less. The store takes out
// the entry of a target that writes no more after silence.
func New(codec Codec, drain, silence time.Duration) *Catalog {
	c := &Catalog{
		codec: codec, lapse: max(min(backTime, drain-drainReserve), 0), silence: silence,
		targets: newReplica(), zones: newReplica(), entries: map[string]*entry{}, ignoredBy: map[string]int{},
		left: map[string]Version{}, zonesHeld: map[string]time.Time{},
	}
	c.targets.outdated = c.outdated
	return c
}

// Table returns the configuration in force, nil before the first.
func (c *Catalog) Table() *routing.Table { return c.table }

// ConfigRevision returns the store's revision of the configuration in force.
func (c *Catalog) ConfigRevision() int64 { return c.configRevision }

// Revision returns the store's revision as of which the targets are known.
func (c *Catalog) Revision() int64 { return c.targets.revision }

// Changed returns the store's revision of the newest known change to the
// targets. Who knows the targets as of it, or later, lacks nothing known here.
func (c *Catalog) Changed() int64 { return c.targets.changed }

// Newest returns the revisions of what was last changed. Who knows all as of them, or later,
// lacks nothing known here.
func (c *Catalog) Newest() message.Revisions {
	return message.Revisions{Config: c.configRevision, Version: c.version(), Targets: c.targets.changed, Zones: c.zones.changed}
}

// Complete returns the revisions as of which all is known.
func (c *Catalog) Complete() message.Revisions {
	return message.Revisions{Config: c.configRevision, Version: c.version(), Targets: c.targets.revision, Zones: c.zones.revision}
}

// Unstable notes that the store is in trouble: entries that go until a moment
// from now may belong to targets that are well.
func (c *Catalog) Unstable(now time.Time) { c.unstableUntil = now.Add(c.lapse) }

// unstable returns for how much longer that holds.
func (c *Catalog) unstable(now time.Time) time.Duration { return max(c.unstableUntil.Sub(now), 0) }

// version returns the version that the configuration in force names, 0 if it names none.
func (c *Catalog) version() int64 {
	if c.table == nil {
		return 0
	}
	return c.table.Version()
}

// SetConfig takes over a configuration. It returns false if it is no newer
// than the one in force. One that cannot be decoded leaves the last good one
// in force.
func (c *Catalog) SetConfig(revision int64, value []byte) (bool, error) {
	if c.table != nil && bytes.Equal(value, c.config) {
		c.configRevision = max(c.configRevision, revision)
		return false, nil
	}
	t, err := c.codec.Table(value)
	if err != nil {
		return false, errors.Wrapf(err, "configuration of revision %d", revision)
	}
	said := message.Revisions{Config: revision, Version: t.Version()}
	if !said.ConfigNewerThan(c.Newest()) {
		return false, nil
	}
	invariant.Check(t.Version() == 0 || t.Version() >= c.version(), invariant.NeverReverts)
	c.configRevision, c.config, c.table = revision, value, t
	return true, nil
}

// Differs reports whether a configuration is another than the one in force.
func (c *Catalog) Differs(config []byte) bool {
	return c.table != nil && !bytes.Equal(config, c.config)
}

// SetTargets takes over the store's whole list of targets as of a revision. It
// returns false if the list is older than what is known. Entries that name no target
// to use are told by Ignored.
func (c *Catalog) SetTargets(now time.Time, revision int64, list []message.StoredObject) bool {
	c.targets.first(revision)
	before := c.targets.revision
	changes, newer := c.targets.replace(revision, list)
	c.doubtAgain(now, before)
	c.change(now, changes)
	return newer
}

// Apply takes over changes to the list, complete up to revision.
func (c *Catalog) Apply(now time.Time, revision int64, changes []Change) {
	c.change(now, c.targets.apply(revision, changes))
}

// change keeps the entries up with changes. An entry that names no target to use replaces a
// good one: the target that this one named may be gone, and its address somebody else's.
func (c *Catalog) change(now time.Time, changes []Change) {
	for _, ch := range changes {
		if ch.Gone {
			c.remove(now, ch.Name)
			continue
		}
		if e := c.judge(now, c.entries[ch.Name], ch.StoredObject); e != nil {
			c.entries[ch.Name] = e
		}
	}
}

// judge returns the entry that t makes of the one known before, nil if there is none.
func (c *Catalog) judge(now time.Time, old *entry, t message.StoredObject) *entry {
	known := c.left[t.Name]
	if old != nil {
		known = Version{Born: old.born}
	}
	e := &entry{born: known.Born}
	var err error
	e.target, err = c.codec.Target(t.Name, t.Value)
	said := Version{Born: e.target.Born, Writes: e.target.Writes, Revision: t.Revision}
	switch {
	case err != nil:
		e.bad = true
		c.ignore(t.Name, t.Revision, err)
		return e
	case known.Newer(Version{Born: said.Born, Revision: said.Revision}):
		// A write of the process before was done late. Other routers are told of it
		// as it stands, and judge it by what they know.
		c.ignore(t.Name, t.Revision, NewEntryError(FieldBorn, strconv.FormatInt(said.Born, 10)))
		return old
	default:
		e.born = said.Born
		if e.target.ColdLeft > 0 {
			// It was written some time ago: the target is warm sooner than that.
			e.coldUntil = now.Add(e.target.ColdLeft)
		}
		if old == nil && !said.WrittenAfter(known) {
			// It left, and nothing says that it is back. If it does not write, its entry goes.
			e.doubtUntil = now.Add(c.silence)
		}
		delete(c.left, t.Name)
		c.checkService(t, e.target.Service)
	}
	return e
}

// checkService tells of a target whose service the configuration does not name. No
// request gets there; a later configuration may name it.
func (c *Catalog) checkService(t message.StoredObject, service string) {
	if c.table == nil {
		return
	}
	if _, ok := c.table.Service(service); !ok {
		c.ignore(t.Name, t.Revision, NewEntryError(FieldService, service))
	}
}

// remove takes out an entry that went.
func (c *Catalog) remove(now time.Time, name string) {
	e := c.entries[name]
	if e == nil || !e.lapsed.IsZero() {
		return
	}
	if now.Before(c.unstableUntil) && !e.target.Leaving && !e.bad && e.doubtUntil.IsZero() {
		// Not for a time from now on: what goes late in that time has probably
		// left, and was served up to 1.85 s more.
		e.lapsed, e.until = now, c.unstableUntil
		return
	}
	c.forget(name, e)
}

// Expire forgets lapsed entries that have not come back and returns their names.
// Where most entries have lapsed, the store was away, and all are used until it has
// been back for a while; where few have, new trouble of this router's own with the
// store does not keep targets in use that left.
func (c *Catalog) Expire(now time.Time) []string {
	if c.mostLapsed() && now.Before(c.unstableUntil) {
		return nil
	}
	var expired []string
	for name, e := range c.entries {
		if !e.lapsed.IsZero() && !now.Before(e.until) {
			c.forget(name, e)
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	return expired
}

func (c *Catalog) mostLapsed() bool { return 2*c.Lapsed() > len(c.entries) }

// Lapsed returns the number of entries that have lapsed.
func (c *Catalog) Lapsed() int {
	lapsed := 0
	for _, e := range c.entries {
		if !e.lapsed.IsZero() {
			lapsed++
		}
	}
	return lapsed
}

// Targets returns the targets that are listed or lapsed, by id.
func (c *Catalog) Targets() []balance.Target {
	list := make([]balance.Target, 0, len(c.entries))
	// Where most have lapsed, new trouble may make the time longer.
	fixed := !c.mostLapsed()
	for _, e := range c.entries {
		if e.bad {
			continue
		}
		t := c.target(e)
		if fixed {
			t.Until = e.until
		}
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b balance.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Target returns the target with an id, or false if none is listed or lapsed.
func (c *Catalog) Target(id string) (balance.Target, bool) {
	e := c.entries[id]
	if e == nil || e.bad {
		return balance.Target{}, false
	}
	return c.target(e), true
}

// target returns the target that an entry names, as it is now.
func (c *Catalog) target(e *entry) balance.Target {
	t := e.target
	t.Lapsed = e.lapsed
	t.ColdUntil = e.coldUntil
	t.Drained = c.drained(t.Zone)
	t.Leaving = t.Leaving || !e.doubtUntil.IsZero()
	return t
}

// Copy returns what is newer than a router that is behind has.
func (c *Catalog) Copy(now time.Time, need message.NeedCopy) message.Copy {
	out := message.Copy{Targets: c.targets.since(need.Targets), Zones: c.zones.since(need.Zones)}
	if c.table != nil && c.Newest().ConfigNewerThan(message.Revisions(need)) {
		out.ConfigRevision, out.Config = c.configRevision, c.config
	}
	if out.Targets.Revision > 0 || out.Zones.Revision > 0 {
		out.UnstableFor = c.unstable(now)
	}
	return out
}

// Take takes over another router's copy of the targets and drained zones. It returns false
// if that changed nothing.
func (c *Catalog) Take(now time.Time, m message.Copy) bool {
	if (c.targets.lacks(m.Targets) || c.zones.lacks(m.Zones)) && m.UnstableFor > c.unstable(now) {
		c.unstableUntil = now.Add(m.UnstableFor)
	}
	drained, _ := c.zones.take(m.Zones)
	c.hold(now, drained)
	before := c.targets.revision
	changes, newer := c.targets.take(m.Targets)
	c.doubtAgain(now, before)
	c.change(now, changes)
	return newer || len(drained) > 0
}
