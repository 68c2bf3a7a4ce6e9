package catalog

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
)

// forget takes out an entry whose target has left, as far as this router knows.
func (c *Catalog) forget(name string, e *entry) {
	delete(c.entries, name)
	if e.bad {
		return
	}
	if len(c.left) >= leftMost {
		clear(c.left)
	}
	c.left[name] = Version{Born: e.target.Born, Writes: e.target.Writes}
}

// leftMost bounds the targets that are remembered as having left: those of some hours where
// all of a large fleet's are replaced each day, in about a megabyte.
const leftMost = 8192

// Settle ends what was held because of trouble with the store, and returns whether that
// changed anything: entries in doubt that are still there are written by their targets, and
// zones that count as drained are not if they were not drained again.
func (c *Catalog) Settle(now time.Time) bool {
	settled := false
	for _, e := range c.entries {
		if !e.doubtUntil.IsZero() && !now.Before(e.doubtUntil) {
			e.doubtUntil = time.Time{}
			settled = true
		}
	}
	for zone, until := range c.zonesHeld {
		if !now.Before(until) {
			delete(c.zonesHeld, zone)
			settled = true
		}
	}
	return settled
}

// doubtAgain makes entries in doubt stay so for the whole time again where the store came back
// from a copy since a revision: it takes them out that much later.
func (c *Catalog) doubtAgain(now time.Time, since int64) {
	if revision.Era(c.targets.revision) <= revision.Era(since) {
		return
	}
	for _, e := range c.entries {
		if !e.doubtUntil.IsZero() {
			e.doubtUntil = now.Add(c.silence)
		}
	}
}

// outdated reports whether an object is one that its target has written over since, as a
// store that came back from a copy holds them.
func (c *Catalog) outdated(known, said message.StoredObject) bool {
	a, err := c.codec.Target(known.Name, known.Value)
	if err != nil {
		return false
	}
	b, err := c.codec.Target(said.Name, said.Value)
	return err == nil && a.Born == b.Born && a.Writes > 0 && b.Writes > 0 && b.Writes < a.Writes
}
