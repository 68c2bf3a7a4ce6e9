package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// exitTTL is how long the entry of a process that has ended is in doubt: longer than another process takes to
// write its own and routers to read it. It is bounded since a sound target may refuse a connection, and since
// no newer entry comes while the store is unavailable.
const exitTTL = 10 * time.Second

// exit is what is known of the end of a target's process.
type exit struct {
	// at is when this router got to know of it.
	at time.Time
	// refusedAt is when it refused a connection of this router, which may only mean that it has closed its listener;
	// the zero time if the end is known by something else.
	refusedAt time.Time
	// told is set if another router has told it and this one has not tried to connect.
	told bool
	// process is the process that has ended.
	process Process
}

// Process identifies a target's process by the version, count of writes and revision of an entry that it wrote: where
// entries do not tell when their process started, an incarnation may be several processes, one after the other.
type Process struct {
	Incarnation, Version string
	Writes, Revision     int64
}

// Process returns the process that wrote the target's entry.
func (t Target) Process() Process {
	return Process{Incarnation: t.Incarnation(), Version: t.Version, Writes: t.Writes, Revision: t.Revision}
}

// isLater reports whether p is a later process than another one of the same incarnation.
func (p Process) isLater(than Process) bool {
	if p.Revision > 0 && than.Revision > 0 && p.Revision <= than.Revision {
		return false
	}
	return p.Version != than.Version || p.Writes < than.Writes
}

// spares reports whether t's answer arrives on a connection that was made before nobody listened at its target's
// address.
func (e exit) spares(t *Ticket) bool {
	connected := t.ConnectedAt.Load()
	return connected != 0 && t.Arrived.Add(time.Duration(connected)).Before(e.refusedAt)
}

// RecordExit records that the process of a target has ended, and reports whether that is new. refusedAt is when
// a connection was attempted that was refused, the zero time if the end is known by something else. Another
// process, of another version, may listen at the target's address before its entry says so. Which process sends a
// stream, and so of which version it is, is told by the following, the first that applies:
//
//  1. This router was refused a connection, and the stream arrives on one made before: it is that of the process
//     of the entry, which has only closed its listener if the stream goes on, whatever listens there and whatever entry
//     is read since. A connection stays with the process that accepted it.
//  2. The connection was made after the end was known: it is that of a later process, of unknown version until its
//     entry is read, and of that version then.
//  3. Another router was refused, or the process says that it started later than its entry tells, and the stream
//     goes on for exitMargin: either process may send it, and its version stays unknown. As refused connections
//     are told without a time, this router tries to connect itself at once where streams run; if it is refused,
//     too, 1 applies to the connections made before it was told.
//  4. The entry of another process is read, and no end is known, or since less than that: either may send it if it goes
//     on, see checkReplaced.
//  5. No end is known: it is that of the process of the entry.
//
// Until a newer entry is read, for exitTTL at most, the target is not sent the rest of any stream, as that may reach
// another process, and streams that may be continued begin there only if no other target can take them. That the
// target's unused connections are open, or that its entry is listed or says that it is leaving, does not count.
func (s *State) RecordExit(now time.Time, t Target, refusedAt time.Time) bool {
	listed := s.targets[t.ID]
	if listed == nil || listed.Born != t.Born || listed.Version != t.Version || s.inDoubt(now, listed) {
		return false
	}
	s.exits[listed.incarnation] = exit{at: now, refusedAt: refusedAt, process: listed.Process()}
	return true
}

// maxEarlyExits bounds the processes that have ended before their entries are read.
const maxEarlyExits = 1024

// RecordExitOf records that another router has told of the end of a process, and reports whether that is new and the
// process is listed. The word may come before the entry of the process, which is in doubt then, or after that of a
// later one, which is not.
func (s *State) RecordExitOf(now time.Time, p Process) bool {
	t := s.findIncarnation(p.Incarnation)
	if t == nil {
		s.recordEarlyExit(now, p)
		return false
	}
	listed := t.Process()
	if p.Version == "" {
		p = listed
	}
	if p.Revision > 0 && listed.isLater(p) {
		return false
	}
	e, known := s.exits[p.Incarnation]
	if known && s.inDoubt(now, t) {
		if !p.isLater(e.process) {
			return false
		}
		// The process after the one whose end is known has ended, too.
		e.process = p
		s.exits[p.Incarnation] = e
		return true
	}
	s.exits[p.Incarnation] = exit{at: now, told: true, process: p}
	return true
}

// recordEarlyExit records the end of a process that is not listed, unless a later one is.
func (s *State) recordEarlyExit(now time.Time, p Process) {
	if id, born, ok := cutIncarnation(p.Incarnation); ok {
		if listed := s.targets[id]; listed != nil && listed.Born >= born {
			return
		}
	}
	if e, known := s.exits[p.Incarnation]; known && now.Sub(e.at) < exitTTL || len(s.exits) >= maxEarlyExits {
		return
	}
	s.exits[p.Incarnation] = exit{at: now, told: true, process: p}
}

// EndedProcess returns the process of an incarnation that is known to have ended.
func (s *State) EndedProcess(incarnation string) (Process, bool) {
	e, known := s.exits[incarnation]
	return e.process, known
}

// StreamsAt returns the target of an incarnation if streams that may be continued run there.
func (s *State) StreamsAt(incarnation string) (Target, bool) {
	t := s.findIncarnation(incarnation)
	if t == nil || t.activity == noActivity {
		return Target{}, false
	}
	for k := range t.running {
		if k.StreamID != "" {
			return t.Target, true
		}
	}
	return Target{}, false
}

// ConfirmRefusal records that a process whose end another router has told refuses connections of this one, too. It
// returns when that was told, and whether this is new.
func (s *State) ConfirmRefusal(incarnation string, refusedAt time.Time) (told time.Time, isNew bool) {
	e, ok := s.exits[incarnation]
	if !ok || !e.told {
		return time.Time{}, false
	}
	if e.at.Before(refusedAt) {
		refusedAt = e.at
	}
	s.exits[incarnation] = exit{at: e.at, refusedAt: refusedAt, process: e.process}
	return e.at, true
}

// inDoubt reports whether a target's process has ended and its entry may not be that of the process that
// listens at its address now.
func (s *State) inDoubt(now time.Time, t *target) bool {
	if len(s.exits) == 0 {
		return false
	}
	e, ended := s.exits[t.incarnation]
	return ended && now.Sub(e.at) < exitTTL
}

// confirm ends the doubt about a target whose entry was written by a later process. Where entries tell when
// their process started, that process is another incarnation.
func (s *State) confirm(t Target) {
	if e, ended := s.exits[t.Incarnation()]; ended && t.Process().isLater(e.process) {
		delete(s.exits, t.Incarnation())
	}
}

// exitMargin is how long after a process is known to have ended what it sent may still be read.
const exitMargin = 100 * time.Millisecond

// isBefore reports whether a request may run, or runs, at the process after the one that ended.
func (e exit) isBefore(t *Ticket) bool {
	if e.spares(t) {
		return false
	}
	return !t.sentAt.Before(e.at) || t.Arrived.Add(time.Duration(t.LastReceived.Load())).After(e.at.Add(exitMargin))
}

// versionOf returns the version of a request that goes on after the end, if a process of a version is the next one.
func (e exit) versionOf(t *Ticket, next string) string {
	connected := t.ConnectedAt.Load()
	if connected != 0 && t.Arrived.Add(time.Duration(connected)).Before(e.at) && t.target.Version != next {
		return streamversion.Unknown
	}
	return next
}

// replacedTTL is how long a process that is not known to have ended, and that sent something lately, has to send
// more after the entry of another one has taken the place of its own.
const replacedTTL = 300 * time.Millisecond

// replaced is a target whose entry is that of another process, of a version, since a time.
type replaced struct {
	*target
	version string
	at      time.Time
	exit    exit
	// undecided are the requests of which either process may send the answer.
	undecided []*Ticket
}

// passRunning handles the requests that were sent to a target whose entry is now that of another process. They are
// aborted, except those that are known to run there: a stream that began there is of its version. Those whose
// process may go on are left to checkReplaced.
func (s *State) passRunning(now time.Time, old *target, next Target) {
	e, ended := s.exits[old.incarnation]
	var undecided []*Ticket
	for t := range old.running {
		switch {
		case ended && e.isBefore(t):
			s.correctVersion(now, t, old, e.versionOf(t, next.Version))
		case t.receivedSince(now.Add(-replacedTTL)):
			// Where an end is known, it may be too early to tell whether the stream goes on after it.
			undecided = append(undecided, t)
		default:
			t.abort()
		}
	}
	if len(undecided) > 0 {
		s.replaced = append(s.replaced, replaced{old, next.Version, now, e, undecided})
	}
}

// receivedSince reports whether a part of the answer has arrived after a time.
func (t *Ticket) receivedSince(at time.Time) bool {
	received := time.Duration(t.LastReceived.Load())
	return received > 0 && t.Arrived.Add(received).After(at)
}

// checkReplaced aborts requests whose process has sent nothing since the entry of another one was read. Which of the
// two sends the others is known only if their connections were made before the earlier one refused some.
func (s *State) checkReplaced(now time.Time) {
	s.replaced = slices.DeleteFunc(s.replaced, func(r replaced) bool {
		if now.Sub(r.at) < replacedTTL {
			return false
		}
		for _, t := range r.undecided {
			_, runs := r.running[t]
			switch {
			case !runs:
			case !t.receivedSince(r.at):
				t.abort()
			case r.target.Version != r.version && !r.exit.spares(t):
				s.correctVersion(now, t, r.target, streamversion.Unknown)
			}
		}
		return true
	})
}

// correctVersion records another version for a stream that began at a target.
func (s *State) correctVersion(now time.Time, t *Ticket, at *target, version string) {
	if t.beganAt != at || t.Version.Allows(version) {
		return
	}
	t.setVersion(version)
	if t.StreamID != "" && s.onStreamBegun != nil {
		s.onStreamBegun(now, Stream{Service: t.Service, ID: t.StreamID, Version: version, Corrected: true, Begins: !t.Continues}, true)
	}
}

// checkExits records that the versions of streams are unknown that turn out to run at processes after those that
// have ended, and forgets exits that no longer matter.
func (s *State) checkExits(now time.Time) {
	for name, e := range s.exits {
		at := s.findIncarnation(name)
		if at == nil {
			continue
		}
		for t := range at.running {
			if e.isBefore(t) {
				s.correctVersion(now, t, at, streamversion.Unknown)
			}
		}
	}
	maps.DeleteFunc(s.exits, func(_ string, e exit) bool { return now.Sub(e.at) >= exitTTL })
}

// InDoubt returns the number of targets whose process is known to have ended and whose entry is not that of a
// later one.
func (s *State) InDoubt() int { return len(s.exits) }
