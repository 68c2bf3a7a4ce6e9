package catalog

// Version orders what is said of one target, in whatever order it arrives: an engine
// that starts again under its id begins a new incarnation, and what is said of an older one
// is old however late it comes. In one incarnation the store's revision decides.
//
// The zero value is older than all others.
type Version struct {
	// Born is when the target's process started, in Unix milliseconds; 0 where the
	// target does not say, which is one incarnation without a number.
	Born int64
	// Writes is how often the process had written its entry; 0 where it does not say.
	Writes int64
	// Revision is the store's number of the entry's last change.
	Revision int64
}

// Newer reports whether v is newer than another version of the same target.
func (v Version) Newer(than Version) bool {
	if v.Born != than.Born {
		return v.Born > than.Born
	}
	return v.Revision > than.Revision
}

// WrittenAfter reports whether v was written after another version of the same target was:
// by another process, or by the same one, which counts its writes. Where it does not say how
// many there were, v counts as written later.
func (v Version) WrittenAfter(other Version) bool {
	if v.Born != other.Born {
		return v.Born > other.Born
	}
	return v.Writes == 0 || other.Writes == 0 || v.Writes > other.Writes
}
