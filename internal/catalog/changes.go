package catalog

import (
	"slices"

	"github.com/stepcroft/stepcroft/internal/balance"
)

// TargetChanges says how the list of targets differs from an earlier one.
type TargetChanges struct {
	// Changed holds the targets that were added or changed, sorted by id.
	Changed []balance.Target
	// Removed holds the ids of the targets that were removed, sorted.
	Removed []string
}

// Empty reports whether there is no difference.
func (c TargetChanges) Empty() bool { return len(c.Changed)+len(c.Removed) == 0 }

// TakeChanges returns how the list that Targets returns differs from the one at the last call.
// Its cost follows the number of changes, not that of the targets.
func (c *Catalog) TakeChanges() TargetChanges {
	// If most entries have lapsed, further trouble may extend the time of all of them.
	if fixed := !c.mostLapsed(); fixed != c.lapseEndsFixed {
		c.lapseEndsFixed = fixed
		for name := range c.lapsed {
			c.mark(name)
		}
	}
	if zones := c.DrainedZones(); !slices.Equal(zones, c.takenZones) {
		for name, e := range c.entries {
			if slices.Contains(zones, e.target.Zone) != slices.Contains(c.takenZones, e.target.Zone) {
				c.mark(name)
			}
		}
		c.takenZones = zones
	}
	var out TargetChanges
	for name := range c.changed {
		if t, ok := c.Target(name); ok {
			out.Changed = append(out.Changed, t)
			continue
		}
		out.Removed = append(out.Removed, name)
	}
	clear(c.changed)
	slices.SortFunc(out.Changed, byID)
	slices.Sort(out.Removed)
	return out
}

// RaiseRevisions raises the revisions of targets whose entries were written after one with the content that they had: they
// may have been gone, or another's, meanwhile. They count as changed.
func (c *Catalog) RaiseRevisions(after int64) {
	for name, e := range c.entries {
		if written := c.targets.objects[name].Revision; written > after && e.target.Revision <= after {
			e.target.Revision = written
			c.mark(name)
		}
	}
}

// mark notes that a target has changed since the last call of TakeChanges.
func (c *Catalog) mark(name string) { c.changed[name] = struct{}{} }

// setEntry replaces the entry of a target; nil removes it.
func (c *Catalog) setEntry(name string, e *entry) {
	c.mark(name)
	c.trackUncertain(name, e)
	if e == nil {
		delete(c.entries, name)
		return
	}
	c.entries[name] = e
}

// trackUncertain notes whether an entry has lapsed or is unconfirmed, so that only such entries
// need be looked at as time passes.
func (c *Catalog) trackUncertain(name string, e *entry) {
	delete(c.lapsed, name)
	delete(c.unconfirmed, name)
	if e == nil {
		return
	}
	if !e.lapsedAt.IsZero() {
		c.lapsed[name] = struct{}{}
	}
	if !e.unconfirmedUntil.IsZero() {
		c.unconfirmed[name] = struct{}{}
	}
}
