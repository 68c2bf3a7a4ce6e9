package catalog

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
)

const (
	// minHistory is the number of removed objects of a kind, and of changes, that are remembered
	// at least. A router that is further behind gets the complete list.
	minHistory = 512
	// historyPercent is the same in percent of the objects. A fleet replaces a part of its targets
	// in a short time, and its routers must not all ask for the complete list then.
	historyPercent = 100
)

// Change is a write or, if Gone is set, the removal of one of the store's objects.
type Change struct {
	message.StoredObject
	Gone bool
}

// replica is a copy of the store's objects of one kind that never goes back to an older state.
// It accepts complete lists and changes in any order, from the store and from other routers,
// and returns the difference for a router that is behind. Use newReplica to make one.
type replica struct {
	// revision is the store's revision as of which the copy is complete, changed the revision
	// of the newest known change.
	revision, changed int64
	objects           map[string]message.StoredObject
	// gone maps removed objects to revisions as of which they were gone. It has all removals
	// after the revision goneSince.
	gone      map[string]int64
	goneSince int64
	// gaps are the spans between two revisions of which nothing is known here but their ends, in
	// order.
	gaps []message.Gap
	// recent has the latest changes and removals, ordered by revision: all that were made after
	// the revision recentSince.
	recent      []recentChange
	recentSince int64
	// outdated reports whether an object received later is an earlier write than the known
	// one. If nil, none is.
	outdated func(known, received message.StoredObject) bool
}

// maxGaps bounds the gaps that are remembered.
const maxGaps = 8

// recentChange is the name of an object that was changed or removed, and the revision of that.
type recentChange struct {
	revision int64
	name     string
}

func newReplica() replica {
	return replica{objects: map[string]message.StoredObject{}, gone: map[string]int64{}}
}

// noteStoreList must be called before a complete list from the store is stored. The first such
// list doesn't tell which objects were removed before it, so its revision counts as a change,
// and routers with an older list request this one. Otherwise, if all routers that watch the
// store were killed when an object was removed, the others would never learn of the removal.
func (r *replica) noteStoreList(revision int64) {
	if r.revision == 0 {
		r.changed = max(r.changed, revision)
	}
}

// replace replaces the objects by a complete list as of a revision and returns the changes. It
// returns false if the list is older than the known one.
func (r *replica) replace(revision int64, list []message.StoredObject) ([]Change, bool) {
	if revision < r.revision {
		return nil, false
	}
	switch {
	case r.revision == 0:
		// The first list is no change to any other: whoever lacks it gets it as a whole.
		clear(r.gone)
		r.goneSince, r.recentSince = revision, revision
	case revision > r.revision:
		r.addGap(r.revision, revision)
	}
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[o.Name] = true
		if r.put(o) {
			changes = append(changes, Change{StoredObject: o})
		}
	}
	for name := range r.objects {
		if !listed[name] {
			r.remove(name, revision)
			changes = append(changes, Change{StoredObject: message.StoredObject{Name: name, Revision: revision}, Gone: true})
		}
	}
	r.revision = revision
	return changes, true
}

// addGap notes that a list as of one revision was replaced by one as of a later one, here or at a
// router whose changes are merged.
func (r *replica) addGap(after, before int64) {
	r.gaps = append(r.gaps, message.Gap{After: after, Before: before})
	if len(r.gaps) > maxGaps {
		// Whoever is as far behind as the oldest gap gets the whole list.
		r.goneSince = max(r.goneSince, r.gaps[0].Before)
		r.gaps = slices.Delete(r.gaps, 0, 1)
	}
}

// hear takes note of the newest change that another router knows. It reports whether this router now has news for
// others: a change that lies in a gap was never known here, so that whoever knows it lacks the list after the gap, even if
// that showed no change here.
func (r *replica) hear(changed int64) bool {
	gap, found := message.GapAt(r.gaps, changed)
	if !found || r.changed >= gap.Before {
		return false
	}
	r.changed = gap.Before
	return true
}

// apply applies changes, which are complete up to revision, and returns those that were new.
func (r *replica) apply(revision int64, changes []Change) []Change {
	var applied []Change
	for _, ch := range changes {
		old, known := r.objects[ch.Name]
		switch {
		case !known && ch.Revision <= r.revision:
			// The change is older than the list, which no longer has the object.
			continue
		case known && ch.Revision < old.Revision:
			continue
		case ch.Gone:
			r.remove(ch.Name, max(ch.Revision, revision))
		case !r.put(ch.StoredObject):
			continue
		}
		applied = append(applied, ch)
	}
	r.revision = max(r.revision, revision)
	return applied
}

// put stores an object if its revision is newer and reports whether its content is new. A store
// that came back from a copy may repeat the known content, or hold an earlier write: then the
// known content stays and only its revision is raised.
func (r *replica) put(o message.StoredObject) bool {
	old, known := r.objects[o.Name]
	if known && o.Revision <= old.Revision {
		return false
	}
	isNew := !known || !bytes.Equal(old.Value, o.Value)
	if known && isNew && r.outdated != nil && revision.Era(o.Revision) > revision.Era(old.Revision) && r.outdated(old, o) {
		o.Value, isNew = old.Value, false
	}
	r.objects[o.Name] = o
	delete(r.gone, o.Name)
	r.changed = max(r.changed, o.Revision)
	r.noteRecent(o.Revision, o.Name)
	return isNew
}

// historySize returns the number of removed objects and of changes to remember.
func (r *replica) historySize() int { return max(minHistory, len(r.objects)*historyPercent/100) }

// noteRecent adds a change to the recent ones. If there are too many, the older half is dropped.
func (r *replica) noteRecent(revision int64, name string) {
	if revision <= r.recentSince {
		return
	}
	i := r.firstAfter(revision)
	r.recent = slices.Insert(r.recent, i, recentChange{revision, name})
	if len(r.recent) <= r.historySize() {
		return
	}
	dropped := len(r.recent) / 2
	r.recentSince = r.recent[dropped-1].revision
	r.recent = slices.Clone(r.recent[r.firstAfter(r.recentSince):])
}

// firstAfter returns the index of the first recent change after a revision.
func (r *replica) firstAfter(revision int64) int {
	i, _ := slices.BinarySearchFunc(r.recent, revision, func(c recentChange, revision int64) int {
		if c.revision <= revision {
			return -1
		}
		return 1
	})
	return i
}

// changesAfter returns the objects that were changed after a revision and those that were
// removed. Its cost follows their number, unless the revision is too old.
func (r *replica) changesAfter(since int64) (changed, removed []message.StoredObject) {
	if since < r.recentSince {
		for _, o := range r.objects {
			if o.Revision > since {
				changed = append(changed, o)
			}
		}
		for name, revision := range r.gone {
			if revision > since {
				removed = append(removed, message.StoredObject{Name: name, Revision: revision})
			}
		}
		return changed, removed
	}
	for _, c := range r.recent[r.firstAfter(since):] {
		o, ok := r.objects[c.name]
		switch {
		case ok && o.Revision == c.revision:
			changed = append(changed, o)
		case !ok && r.gone[c.name] == c.revision:
			removed = append(removed, message.StoredObject{Name: c.name, Revision: c.revision})
		}
	}
	return changed, removed
}

// remove removes an object that was gone as of a revision.
func (r *replica) remove(name string, revision int64) {
	delete(r.objects, name)
	r.gone[name] = max(r.gone[name], revision)
	r.changed = max(r.changed, revision)
	r.noteRecent(r.gone[name], name)
	if len(r.gone) > r.historySize() {
		r.dropOldestGone()
	}
}

// dropOldestGone forgets the older half of the removed objects.
func (r *replica) dropOldestGone() {
	revisions := make([]int64, 0, len(r.gone))
	for _, revision := range r.gone {
		revisions = append(revisions, revision)
	}
	slices.SortFunc(revisions, cmp.Compare)
	r.goneSince = max(r.goneSince, revisions[len(revisions)/2])
	for name, revision := range r.gone {
		if revision <= r.goneSince {
			delete(r.gone, name)
		}
	}
}

// since returns what a router lacks whose list is complete as of the revision known. If that lies in a gap, it gets the
// changes since the beginning of the gap, and finds out itself what has gone, if it drops what is not listed. Others get the
// complete list.
func (r *replica) since(known int64, dropsUnlisted bool) message.StoredObjects {
	if r.changed <= known {
		return message.StoredObjects{}
	}
	out := message.StoredObjects{Revision: r.revision}
	if gap, found := message.GapAt(r.gaps, known); found {
		known = 0
		if dropsUnlisted {
			known = gap.After
		}
	}
	if known >= r.goneSince {
		out.Since = known
	}
	out.List, out.Removed = r.changesAfter(out.Since)
	if out.Since == 0 {
		out.Removed = nil
		return out
	}
	for _, g := range r.gaps {
		if g.Before > out.Since {
			out.Gaps = append(out.Gaps, g)
		}
	}
	return out
}

// accepts reports whether another router's objects are newer than the known ones, and leave no
// gap after them.
func (r *replica) accepts(m message.StoredObjects) bool {
	return m.Revision > r.revision && m.Since <= r.revision
}

// merge merges another router's objects and returns the changes. It returns false if nothing is
// new, or if accepts rejects them. What was changed here after the revision since which the other router tells the changes,
// and is not listed, has been removed, perhaps in a gap of that one, which never knew it then.
//
// The copy is complete afterwards only if it still is as of the revision for which the other router chose the changes. An
// earlier release doesn't tell its gaps, so that those after that revision would not be known here.
func (r *replica) merge(m message.StoredObjects) ([]Change, bool) {
	if !r.accepts(m) {
		return nil, false
	}
	if m.Since == 0 {
		return r.replace(m.Revision, m.List)
	}
	changes := make([]Change, 0, len(m.List)+len(m.Removed))
	told := make(map[string]bool, cap(changes))
	for _, o := range m.List {
		told[o.Name] = true
		changes = append(changes, Change{StoredObject: o})
	}
	own, _ := r.changesAfter(m.Since)
	for _, o := range own {
		if !told[o.Name] && o.Revision <= m.Revision {
			told[o.Name] = true
			changes = append(changes, Change{StoredObject: message.StoredObject{Name: o.Name, Revision: m.Revision}, Gone: true})
		}
	}
	for _, o := range m.Removed {
		if !told[o.Name] {
			changes = append(changes, Change{StoredObject: o, Gone: true})
		}
	}
	if _, found := message.GapAt(m.Gaps, r.revision); m.Since != r.revision && !found {
		return r.apply(r.revision, changes), len(changes) > 0
	}
	for _, g := range m.Gaps {
		if g.Before > r.revision {
			r.addGap(max(g.After, r.revision), g.Before)
		}
	}
	return r.apply(m.Revision, changes), len(changes) > 0
}
