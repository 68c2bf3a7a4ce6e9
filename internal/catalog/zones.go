package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
)

// SetZones replaces the list of drained availability zones with the store's complete list as
// of a revision. An object's name is that of the zone, its content is ignored. It returns
// false if nothing changed.
func (c *Catalog) SetZones(now time.Time, revision int64, list []message.StoredObject) bool {
	c.zones.noteStoreList(revision)
	changes, newer := c.zones.replace(revision, list)
	c.retain(now, changes)
	return newer && len(changes) > 0
}

// retain keeps zones drained for a moment whose objects disappear in the unstable period: the
// store may have lost the objects, which are then written again.
func (c *Catalog) retain(now time.Time, changes []Change) {
	for _, ch := range changes {
		if ch.Gone && now.Before(c.unstableUntil) {
			c.retainedZones[ch.Name] = c.unstableUntil
		}
	}
}

// ApplyZones applies changes to the list of drained zones, which are complete up to revision. It
// returns false if nothing changed.
func (c *Catalog) ApplyZones(revision int64, changes []Change) bool {
	return len(c.zones.apply(revision, changes)) > 0
}

// DrainedZones returns the drained availability zones, sorted. Their targets get no requests.
func (c *Catalog) DrainedZones() []string {
	list := slices.AppendSeq(slices.Collect(maps.Keys(c.zones.objects)), maps.Keys(c.retainedZones))
	slices.Sort(list)
	return slices.Compact(list)
}

// zoneDrained reports whether a zone is drained.
func (c *Catalog) zoneDrained(zone string) bool {
	_, listed := c.zones.objects[zone]
	_, retained := c.retainedZones[zone]
	return listed || retained
}
