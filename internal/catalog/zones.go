package catalog

import (
	"maps"
	"slices"

	"github.com/stepcroft/stepcroft/internal/message"
)

// SetZones takes over the store's whole list of drained availability zones as of a revision;
// an object for each, by its name: what else stands in it does not matter. It returns false
// if that changes nothing.
func (c *Catalog) SetZones(revision int64, list []message.StoredObject) bool {
	c.zones.first(revision)
	changes, newer := c.zones.replace(revision, list)
	return newer && len(changes) > 0
}

// ApplyZones takes over changes to the list, complete up to revision. It returns false if
// they change nothing.
func (c *Catalog) ApplyZones(revision int64, changes []Change) bool {
	return len(c.zones.apply(revision, changes)) > 0
}

// Drained returns the availability zones to whose targets nothing is to be sent.
func (c *Catalog) Drained() []string { return slices.Sorted(maps.Keys(c.zones.objects)) }

// drained reports whether a zone is.
func (c *Catalog) drained(zone string) bool {
	_, ok := c.zones.objects[zone]
	return ok
}
