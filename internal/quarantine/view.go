package quarantine

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// View is what a State held at some time, for goroutines that serve requests. It does not
// change. A nil View suspects nothing.
type View struct {
	marks map[Key]mark
}

// mark is what is to be done with a suspected request.
type mark struct {
	until, seen time.Time
	// crashes is the number of targets that ended under the request.
	crashes int
}

// View returns the suspected requests, nil if there are none.
func (s *State) View() *View {
	if s.view == nil {
		s.view = &View{marks: make(map[Key]mark, len(s.entries))}
		for k, e := range s.entries {
			if n := s.counted(e); n > 0 {
				s.view.marks[k] = mark{until: s.until(e), seen: e.seen, crashes: n}
			}
		}
	}
	if len(s.view.marks) == 0 {
		return nil
	}
	return s.view
}

// Held returns for how much longer a request must not be sent; 0 if it may.
func (v *View) Held(now time.Time, k Key) time.Duration {
	if v == nil {
		return 0
	}
	return max(v.marks[k].until.Sub(now), 0)
}

// Crashes returns the number of targets that ended under a request.
func (v *View) Crashes(k Key) int {
	if v == nil {
		return 0
	}
	return v.marks[k].crashes
}

// Stale reports whether the State should hear that a request which is held has come.
func (v *View) Stale(now time.Time, k Key) bool { return now.Sub(v.marks[k].seen) >= seenGrain }

// Holds reports whether a request is held back after so many crashes: it may be sent on
// trial only, see State.Try.
func Holds(crashes int) bool { return crashes >= heldFrom }

// MayRepeat reports whether a router may send a request to another target by itself after
// so many have ended under it.
func MayRepeat(crashes int) bool { return crashes < pausedFrom }

// weight is what a crash adds to the digest.
func weight(k Key, c Crash) uint64 {
	name := string(k[:]) + c.Target
	if c.Cleared {
		name += " cleared"
	}
	return rendezvous.Hash(name)
}
