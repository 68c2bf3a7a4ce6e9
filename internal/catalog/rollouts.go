package catalog

import (
	"cmp"
	"slices"

	"github.com/stepcroft/stepcroft/internal/message"
)

// SetRollouts replaces the roll-outs with the store's complete list as of a revision. It returns
// false if nothing changed.
func (c *Catalog) SetRollouts(revision int64, list []message.StoredObject) bool {
	c.rollouts.noteStoreList(revision)
	changes, newer := c.rollouts.replace(revision, list)
	return newer && len(changes) > 0
}

// ApplyRollouts applies changes to the roll-outs, which are complete up to revision. It returns
// false if nothing changed.
func (c *Catalog) ApplyRollouts(revision int64, changes []Change) bool {
	return len(c.rollouts.apply(revision, changes)) > 0
}

// Rollouts returns the store's objects of all roll-outs, sorted by name.
func (c *Catalog) Rollouts() []message.StoredObject {
	list := make([]message.StoredObject, 0, len(c.rollouts.objects))
	for _, o := range c.rollouts.objects {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b message.StoredObject) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
