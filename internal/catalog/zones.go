package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
)

// SetZones takes over the store's whole list of drained availability zones as of a revision;
// an object for each, by its name: what else stands in it does not matter. It returns false
// if that changes nothing.
func (c *Catalog) SetZones(now time.Time, revision int64, list []message.StoredObject) bool {
	c.zones.first(revision)
	changes, newer := c.zones.replace(revision, list)
	c.hold(now, changes)
	return newer && len(changes) > 0
}

// hold keeps zones drained for a moment that are missing while the store is in trouble: it may
// have lost that they were drained, which is then written again.
func (c *Catalog) hold(now time.Time, changes []Change) {
	for _, ch := range changes {
		if ch.Gone && now.Before(c.unstableUntil) {
			c.zonesHeld[ch.Name] = c.unstableUntil
		}
	}
}

// ApplyZones takes over changes to the list, complete up to revision. It returns false if
// they change nothing.
func (c *Catalog) ApplyZones(revision int64, changes []Change) bool {
	return len(c.zones.apply(revision, changes)) > 0
}

// Drained returns the availability zones to whose targets nothing is to be sent.
func (c *Catalog) Drained() []string {
	list := slices.AppendSeq(slices.Collect(maps.Keys(c.zones.objects)), maps.Keys(c.zonesHeld))
	slices.Sort(list)
	return slices.Compact(list)
}

// drained reports whether a zone is.
func (c *Catalog) drained(zone string) bool {
	_, listed := c.zones.objects[zone]
	_, held := c.zonesHeld[zone]
	return listed || held
}
