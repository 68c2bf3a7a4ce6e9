package catalog

// Version orders the entries of one target, in whatever order they arrive: a target that
// restarts under its id begins a new incarnation, and entries of older incarnations are old
// however late they arrive. Within one incarnation the store's revision decides.
//
// The zero value is older than all others.
type Version struct {
	// Born is when the target's process started, in Unix milliseconds. It is 0 if the target
	// doesn't report it; all such entries count as one incarnation.
	Born int64
	// Writes is the number of times that the process had written its entry, 0 if the target
	// doesn't report it.
	Writes int64
	// Revision is the store's revision of the entry's last change.
	Revision int64
}

// Newer reports whether v is newer than another version of the same target.
func (v Version) Newer(than Version) bool {
	if v.Born != than.Born {
		return v.Born > than.Born
	}
	return v.Revision > than.Revision
}

// WrittenAfter reports whether v was written after another version of the same target, by a
// later process or by the same one with a higher count of writes. Without a count v is taken
// to be the later one.
func (v Version) WrittenAfter(other Version) bool {
	if v.Born != other.Born {
		return v.Born > other.Born
	}
	return v.Writes == 0 || other.Writes == 0 || v.Writes > other.Writes
}
