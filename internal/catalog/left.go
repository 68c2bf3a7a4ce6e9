package catalog

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
)

// drop removes an entry and remembers its target as departed.
func (c *Catalog) drop(name string, e *entry) {
	c.setEntry(name, nil)
	if e.invalid {
		return
	}
	if len(c.departed) >= maxDeparted {
		clear(c.departed)
	}
	c.departed[name] = Version{Born: e.target.Born, Writes: e.target.Writes}
}

// olderWrites are writes of a process that seems to have started before another one that is known: the time of the first and
// the revision of the last one.
type olderWrites struct {
	born, last int64
	since      time.Time
}

// goesOn notes a write of a process that seems to have started before the known one, and reports whether such writes alone
// have come for entryTTL. The store would have removed the entry of a process that ended before that, so this one runs, and
// started by a clock that was set back.
func (c *Catalog) goesOn(now time.Time, o message.StoredObject, born int64) bool {
	w, known := c.older[o.Name]
	if !known || w.born != born || revision.Era(w.last) != revision.Era(o.Revision) {
		if len(c.older) >= maxDeparted {
			clear(c.older)
		}
		w = olderWrites{born: born, since: now}
	}
	w.last = o.Revision
	c.older[o.Name] = w
	return now.Sub(w.since) >= c.entryTTL
}

// updateOlder looks at the targets of which an earlier process seems to write the entry, if that was written again. What is
// written need not have changed.
func (c *Catalog) updateOlder(now time.Time) {
	for name, w := range c.older {
		if o := c.targets.objects[name]; o.Revision > w.last {
			c.updateEntries(now, []Change{{StoredObject: o}})
		}
	}
}

// maxDeparted bounds the targets that are remembered as departed. It suffices for some hours in
// a large fleet that replaces all its targets each day, and takes about a megabyte.
const maxDeparted = 8192

// Settle resolves what was uncertain because of trouble with the store, and reports whether that
// changed anything: an unconfirmed entry that the store still holds after entryTTL counts as
// written by its target, and a retained zone that was not drained again is no longer drained.
func (c *Catalog) Settle(now time.Time) bool {
	settled := false
	for name := range c.unconfirmed {
		if e := c.entries[name]; !now.Before(e.unconfirmedUntil) {
			e.own().unconfirmedUntil = time.Time{}
			c.setEntry(name, e)
			settled = true
		}
	}
	for zone, until := range c.retainedZones {
		if !now.Before(until) {
			delete(c.retainedZones, zone)
			settled = true
		}
	}
	return settled
}

// restartUnconfirmed gives unconfirmed entries the full entryTTL again if a new era of the store
// has begun since a revision: the store itself has then also restarted their TTL.
func (c *Catalog) restartUnconfirmed(now time.Time, since int64) {
	if revision.Era(c.targets.revision) <= revision.Era(since) {
		return
	}
	for name := range c.unconfirmed {
		c.entries[name].own().unconfirmedUntil = now.Add(c.entryTTL)
	}
}

// outdated reports whether the later received object is an earlier write of the same process
// than the known one, as in a store that came back from a copy.
func (c *Catalog) outdated(known, received message.StoredObject) bool {
	a, err := c.codec.Target(known.Name, known.Value)
	if err != nil {
		return false
	}
	b, err := c.codec.Target(received.Name, received.Value)
	return err == nil && a.Born == b.Born && a.Writes > 0 && b.Writes > 0 && b.Writes < a.Writes
}
