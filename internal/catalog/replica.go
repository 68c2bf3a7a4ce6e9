package catalog

import (
	"bytes"

	"github.com/stepcroft/stepcroft/internal/message"
)

// maxGone bounds the objects of a kind that are remembered as gone. A router that is
// further behind gets the whole list.
const maxGone = 512

// Change is one change to a list of the store's objects.
type Change struct {
	message.StoredObject
	Gone bool
}

// replica is a copy of the store's objects of one kind that never goes back. It takes whole
// lists and changes in any order, from the store and from other routers, and says what a
// router that is behind lacks. Use newReplica to make one.
type replica struct {
	// revision is the store's revision as of which the copy is complete, changed that of
	// the newest known change.
	revision, changed int64
	objects           map[string]message.StoredObject
	// gone has the revisions by which objects had gone, complete from revision
	// goneSince on.
	gone      map[string]int64
	goneSince int64
	// outdated reports whether an object said later is an older writing than the one known;
	// nil where none is.
	outdated func(known, said message.StoredObject) bool
}

func newReplica() replica {
	return replica{objects: map[string]message.StoredObject{}, gone: map[string]int64{}}
}

// first notes that a whole list came from the store. Where it is the first, it does not say
// what went before it: routers with an older one must ask for this one. Where all that watched
// were killed as an object went, the others would go on as if it were there.
func (r *replica) first(revision int64) {
	if r.revision == 0 {
		r.changed = max(r.changed, revision)
	}
}

// replace takes over a whole list as of a revision and returns what changed. It returns
// false if the list is older than what is known.
func (r *replica) replace(revision int64, list []message.StoredObject) ([]Change, bool) {
	if revision < r.revision {
		return nil, false
	}
	if revision > r.revision {
		// Objects may have come and gone meanwhile that were never known here.
		clear(r.gone)
		r.goneSince = revision
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

// apply takes over changes to the list, complete up to revision, and returns those that
// were new.
func (r *replica) apply(revision int64, changes []Change) []Change {
	var applied []Change
	for _, ch := range changes {
		old, known := r.objects[ch.Name]
		switch {
		case !known && ch.Revision <= r.revision:
			// A change from before the list that lacks it.
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

// put takes over an object and reports whether it says something new. One that a store which
// came back from a copy says again, or holds an older writing of, is as new as that.
func (r *replica) put(o message.StoredObject) bool {
	old, known := r.objects[o.Name]
	if known && o.Revision <= old.Revision {
		return false
	}
	news := !known || !bytes.Equal(old.Value, o.Value)
	if known && news && r.outdated != nil && r.outdated(old, o) {
		o.Value, news = old.Value, false
	}
	r.objects[o.Name] = o
	delete(r.gone, o.Name)
	r.changed = max(r.changed, o.Revision)
	return news
}

// remove takes out an object that had gone by a revision.
func (r *replica) remove(name string, revision int64) {
	delete(r.objects, name)
	if len(r.gone) >= maxGone {
		clear(r.gone)
		r.goneSince = max(r.revision, revision)
	}
	r.gone[name] = max(r.gone[name], revision)
	r.changed = max(r.changed, revision)
}

// since returns what a router lacks that knows the list as of a revision.
func (r *replica) since(known int64) message.StoredObjects {
	if r.changed <= known {
		return message.StoredObjects{}
	}
	out := message.StoredObjects{Revision: r.revision}
	if known > 0 && known >= r.goneSince {
		out.Since = known
	}
	for _, o := range r.objects {
		if o.Revision > out.Since {
			out.List = append(out.List, o)
		}
	}
	for name, revision := range r.gone {
		if out.Since > 0 && revision > out.Since {
			out.Removed = append(out.Removed, message.StoredObject{Name: name, Revision: revision})
		}
	}
	return out
}

// lacks reports whether what another router said is newer than what is known and follows on
// it.
func (r *replica) lacks(m message.StoredObjects) bool {
	return m.Revision > r.revision && m.Since <= r.revision
}

// take takes over what another router said is missing here, and returns what changed. It
// returns false if that is not newer, or does not follow on what is known.
func (r *replica) take(m message.StoredObjects) ([]Change, bool) {
	if !r.lacks(m) {
		return nil, false
	}
	if m.Since == 0 {
		return r.replace(m.Revision, m.List)
	}
	changes := make([]Change, 0, len(m.List)+len(m.Removed))
	for _, o := range m.List {
		changes = append(changes, Change{StoredObject: o})
	}
	for _, o := range m.Removed {
		changes = append(changes, Change{StoredObject: o, Gone: true})
	}
	return r.apply(m.Revision, changes), len(changes) > 0
}
