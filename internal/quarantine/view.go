package quarantine

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// View is an immutable snapshot of a State, for the goroutines that serve requests. A nil View
// suspects nothing.
type View struct {
	marks map[Key]mark
	// cleared has the attributes of which nothing counts any more.
	cleared map[Key]struct{}
}

// mark tells how to treat a suspected request.
type mark struct {
	// heldFrom is when a part of prompts begins to be held back.
	heldFrom, rejectedUntil, lastSeen time.Time
	// crashes is the number of crashes that count against the request.
	crashes int
}

// View returns the suspected requests, nil if there are none.
func (s *State) View() *View {
	if s.view == nil {
		s.view = &View{marks: make(map[Key]mark, len(s.entries)), cleared: map[Key]struct{}{}}
		for k, e := range s.entries {
			if n := s.countedCrashes(e); n > 0 {
				s.view.marks[k] = mark{heldFrom: s.heldFrom(e), rejectedUntil: s.rejectedUntil(e), lastSeen: e.lastSeen, crashes: n}
			} else {
				s.view.cleared[k] = struct{}{}
			}
		}
	}
	if len(s.view.marks) == 0 {
		return nil
	}
	return s.view
}

// Knows reports whether there is a record of an attribute.
func (v *View) Knows(k Key) bool {
	if v == nil {
		return false
	}
	_, marked := v.marks[k]
	_, cleared := v.cleared[k]
	return marked || cleared
}

// RejectedFor returns how much longer a request must not be sent, 0 if it may be.
func (v *View) RejectedFor(now time.Time, k Key) time.Duration {
	if v == nil || now.Before(v.marks[k].heldFrom) {
		return 0
	}
	return max(v.marks[k].rejectedUntil.Sub(now), 0)
}

// HoldsBack reports whether requests with an attribute are sent on trial only.
func (v *View) HoldsBack(now time.Time, k Key) bool {
	return HeldBack(v.Crashes(k)) && !now.Before(v.marks[k].heldFrom)
}

// WasRejected reports whether a request that may be sent now was rejected for a while, so that it is on
// trial. Before it is decided whether an outage was the cause of its crashes, it is not.
func (v *View) WasRejected(now time.Time, k Key) bool {
	if v == nil {
		return false
	}
	until := v.marks[k].rejectedUntil
	return !until.IsZero() && !now.Before(until)
}

// DueFor returns for how long a held-back attribute could have been on trial.
func (v *View) DueFor(now time.Time, k Key) time.Duration { return now.Sub(v.marks[k].rejectedUntil) }

// Crashes returns the number of crashes that count against a request.
func (v *View) Crashes(k Key) int {
	if v == nil {
		return 0
	}
	return v.marks[k].crashes
}

// LastSeenStale reports whether State.RecordSeen should be called for a held-back request that
// has arrived again.
func (v *View) LastSeenStale(now time.Time, k Key) bool {
	return now.Sub(v.marks[k].lastSeen) >= seenResolution
}

// HeldBack reports whether a request is held back after this number of crashes: it may be sent
// on trial only, see State.StartTrial.
func HeldBack(crashes int) bool { return crashes >= minCrashesToHold }

// MayRetry reports whether a router may retry a request at another target on its own after this
// number of crashes.
func MayRetry(crashes int) bool { return crashes < minCrashesToReject }

// crashDigest returns what a crash adds to the State's digest.
func crashDigest(k Key, c Crash) uint64 {
	name := string(k[:]) + c.Target
	if c.Cleared {
		name += " cleared"
	}
	return rendezvous.Hash(name)
}
