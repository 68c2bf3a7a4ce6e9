package changes

import (
	"slices"
	"sort"
	"time"
)

// window is the time around a change; it includes both ends.
type window struct{ from, to time.Time }

// windows holds times around changes that do not overlap, the earliest one first.
type windows []window

// newWindows returns the times from each change's start until a time after it had reached the last router.
func newWindows(list []Change, after time.Duration) windows {
	all := make(windows, 0, len(list))
	for _, c := range list {
		all = append(all, window{c.First, c.Last.Add(after)})
	}
	slices.SortFunc(all, func(a, b window) int { return a.from.Compare(b.from) })
	var out windows
	for _, w := range all {
		if n := len(out); n > 0 && !w.from.After(out[n-1].to) {
			if w.to.After(out[n-1].to) {
				out[n-1].to = w.to
			}
			continue
		}
		out = append(out, w)
	}
	return out
}

// contains reports whether a time is at most margin away from one of the windows.
func (w windows) contains(t time.Time, margin time.Duration) bool {
	t = t.Add(-margin)
	i := sort.Search(len(w), func(i int) bool { return !w[i].to.Before(t) })
	return i < len(w) && !w[i].from.After(t.Add(2*margin))
}
