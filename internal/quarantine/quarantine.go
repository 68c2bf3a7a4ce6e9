package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashesToReject is the number of crashes from which a request is rejected for a while
	// and no longer retried by routers on their own. One engine may crash by chance while the
	// request runs there. The same request at two crashes is seldom chance, and a third
	// attempt costs all other requests that run at an engine.
	minCrashesToReject = 2
	// minCrashesToHold is the number of crashes from which a request is held back: it is sent
	// on trial only, by one router at a time. Three more sends are allowed after the third
	// crash.
	minCrashesToHold = 3
	// suspectTTL is how long a crash is remembered, and heldTTL how long a held-back request
	// is, both from when the request last arrived. Callers that retry do so within seconds,
	// and most of them stop within an hour.
	suspectTTL = 10 * time.Minute
	heldTTL    = time.Hour
	// seenResolution is the resolution of the time at which a held-back request last arrived.
	seenResolution = time.Minute
	// brokenTTL is how long requests whose answers broke off are kept, in case their engine
	// turns out to have exited: within some seconds an engine is back or its entry is gone.
	// maxBroken bounds their number.
	brokenTTL = 5 * time.Second
	maxBroken = 512
	// maxEntries bounds the number of suspected requests, which take a tenth of a megabyte.
	// maxEntriesPerOrganisation bounds those of one organisation, so that a caller that
	// changes its request each time displaces only its own organisation's.
	maxEntries                = 1024
	maxEntriesPerOrganisation = 256
	// MaxCrashes bounds the crashes recorded for one request. A request is no longer sent
	// after six; the others are for operators who hold and release it.
	MaxCrashes = 32
)

// trialDelays are the delays from the last crash to the next trial, by the number of trials
// under which engines have crashed. Trials clear requests that only ran beside the cause, such
// as one that many callers send in the same words and that therefore runs at many engines at
// once. The first trial comes when the crashed engines are back, after some seconds; the others
// when callers that retry for minutes have stopped. After three there is none.
var trialDelays = [...]time.Duration{3 * time.Second, 30 * time.Second, 5 * time.Minute}

const (
	// turnLength is the time from a trial to that of the next request that ran at the same crashed
	// targets: most targets that crash do so within it. maxTurns bounds the turns.
	turnLength = time.Second
	maxTurns   = 4
)

// brokenRequest is a request whose answer broke off.
type brokenRequest struct {
	key Key
	// part is the part of the prompt that the key identifies; empty if it is the content.
	part         string
	organisation string
	crash        Crash
	at           time.Time
}

// State holds one router's records of requests under which targets crashed. A request is
// suspected from its first crash on, rejected for a while from the second on, and held back, so
// that it is sent on trial only, from the third on. It is cleared when it completes at any
// engine, and expires with time. A part of prompts is not rejected from the second crash on, as it may
// be one that most requests share. It is cleared when a request with it completes that was sent after
// the crashes. A State is a plain state machine: it gets the time as an
// argument, and one goroutine drives it. Use New to create one.
type State struct {
	entries   map[Key]*entry
	entriesOf map[string]int
	broken    []brokenRequest
	exits     exits
	credits   credits
	digest    uint64
	// now is the latest time that was passed in.
	now time.Time
	// undecided holds the requests that have reached minCrashesToReject crashes and for which it
	// is not yet decided whether all routers need to know of them: if the targets exited at the
	// same time, an outage may have been the cause.
	undecided map[Key]bool
	// deferring is set while other routers decide whether two targets that exited at the same
	// time implicate a request.
	deferring bool
	// updated holds the requests whose records changed since the last call of Updates.
	updated map[Key]bool
	view    *View
}

// New returns a state that suspects nothing.
func New() *State {
	return &State{entries: map[Key]*entry{}, entriesOf: map[string]int{}, exits: exits{}, undecided: map[Key]bool{}, updated: map[Key]bool{}}
}

// RecordBreak records that a target broke off its answer to a request, and returns the number
// of crashes that count against the request. The broken answer counts as a crash only once the
// target is known to have exited, which may be before this call or later. trial is set if other
// targets were known to have crashed under the request when it was sent.
func (s *State) RecordBreak(now time.Time, k Key, organisation, target string, trial bool) int {
	return s.recordBreak(now, brokenRequest{key: k, organisation: organisation, crash: Crash{Target: target, Trial: trial}, at: now})
}

func (s *State) recordBreak(now time.Time, b brokenRequest) int {
	s.expireBroken(now)
	if s.exits.recent(now, b.crash.Target) {
		s.addCrash(now, b)
	} else if len(s.broken) < maxBroken {
		s.broken = append(s.broken, b)
	}
	return s.crashesOf(b.key)
}

// RecordExit records that a target's process has exited without notice: it crashed under one
// of the requests whose answers broke off there.
func (s *State) RecordExit(now time.Time, target string) {
	s.expireBroken(now)
	s.exits.add(now, target)
	s.view = nil
	s.broken = slices.DeleteFunc(s.broken, func(b brokenRequest) bool {
		if b.crash.Target == target {
			s.addCrash(now, b)
		}
		return b.crash.Target == target
	})
}

// expireBroken removes broken requests and exits that are too old. Before it removes exits, it
// clears the crashes that turned out not to implicate their requests.
func (s *State) expireBroken(now time.Time) {
	s.now = latest(s.now, now)
	s.broken = slices.DeleteFunc(s.broken, func(b brokenRequest) bool { return now.Sub(b.at) > brokenTTL })
	if due := s.exits.takeDue(now); len(due) > 0 {
		s.clearUnrelated(due)
	}
	s.exits.expire(now)
}

// clearUnrelated clears the crashes of requests at the given targets whose exits do not implicate
// the request.
func (s *State) clearUnrelated(due []string) {
	for k, e := range s.entries {
		for _, target := range due {
			if c, ran := e.crashes[target]; ran && !c.Cleared && !e.decided() && !s.exits.implicates(e, target) {
				c.Cleared = true
				s.storeCrash(k, e, c)
			}
		}
	}
}

// Known reports whether there is a record of a request.
func (s *State) Known(k Key) bool { return s.entries[k] != nil }

// crashesOf returns the number of crashes that count against a request.
func (s *State) crashesOf(k Key) int {
	if e := s.entries[k]; e != nil {
		return s.countedCrashes(e)
	}
	return 0
}

// addCrash records that a target crashed under a request whose answer broke off there.
func (s *State) addCrash(now time.Time, b brokenRequest) {
	e := s.ensureEntry(now, b.key, b.part, b.organisation)
	if _, known := e.crashes[b.crash.Target]; known || len(e.crashes) >= MaxCrashes {
		return
	}
	e.crashedBy[b.crash.Target] = now
	s.updateCrash(b.key, e, b.crash)
	e.lastCrash, e.lastSeen = now, now
}

// ensureEntry returns the entry of a request, creating it if there is none.
func (s *State) ensureEntry(now time.Time, k Key, part, organisation string) *entry {
	e := s.entries[k]
	if e != nil {
		return e
	}
	if s.entriesOf[organisation] >= maxEntriesPerOrganisation {
		s.remove(s.leastSuspected(func(e *entry) bool { return e.organisation == organisation }))
	} else if len(s.entries) >= maxEntries {
		s.remove(s.leastSuspected(func(*entry) bool { return true }))
	}
	e = &entry{part: part, organisation: organisation, crashes: map[string]Crash{}, crashedBy: map[string]time.Time{}, lastCrash: now, lastSeen: now}
	s.entries[k] = e
	s.entriesOf[organisation]++
	return e
}

// leastSuspected returns the matching request with the fewest uncleared crashes, and among
// those the one that was last seen the longest time ago.
func (s *State) leastSuspected(match func(e *entry) bool) Key {
	var least Key
	var found *entry
	for k, e := range s.entries {
		if !match(e) {
			continue
		}
		if found == nil || e.uncleared() < found.uncleared() || e.uncleared() == found.uncleared() && e.lastSeen.Before(found.lastSeen) {
			least, found = k, e
		}
	}
	return least
}

func (s *State) remove(k Key) {
	e := s.entries[k]
	s.digest ^= e.digest(k)
	if s.entriesOf[e.organisation]--; s.entriesOf[e.organisation] == 0 {
		delete(s.entriesOf, e.organisation)
	}
	delete(s.entries, k)
	delete(s.updated, k)
	s.view = nil
}

// updateCrash stores a crash and marks the request as updated.
func (s *State) updateCrash(k Key, e *entry, c Crash) {
	s.storeCrash(k, e, c)
	s.updated[k] = true
	if len(e.crashes) == minCrashesToReject && !e.shared {
		s.undecided[k] = true
	}
}

// storeCrash stores a crash without marking the request as updated.
func (s *State) storeCrash(k Key, e *entry, c Crash) {
	s.digest ^= e.digest(k)
	e.crashes[c.Target] = c
	s.digest ^= e.digest(k)
	s.view = nil
}

// Clear records that a request has completed, so that the crashes recorded before had another
// cause.
func (s *State) Clear(k Key) {
	e := s.entries[k]
	if e == nil {
		return
	}
	for _, c := range e.crashes {
		if !c.Cleared {
			c.Cleared = true
			s.updateCrash(k, e, c)
		}
	}
}

// Hold holds a request back as if targets had crashed under it in trials, so that it gets no
// further trial, until it is cleared or has not arrived for a while. operator names who requested
// that. It returns false if the request has been held too often.
func (s *State) Hold(now time.Time, k Key, organisation, operator string) bool {
	e := s.ensureEntry(now, k, "", organisation)
	if len(e.crashes)+minCrashesToHold > MaxCrashes {
		return false
	}
	for range minCrashesToHold {
		// The number distinguishes holds of the same millisecond, since a crash that was
		// cleared once stays cleared.
		name := fmt.Sprintf("%s, %d, %d", operator, now.UnixMilli(), len(e.crashes))
		e.crashedBy[name] = now
		s.updateCrash(k, e, Crash{Target: name, Trial: true})
	}
	e.lastCrash, e.lastSeen = now, now
	return true
}

// RecordSeen records that a held-back request has arrived again, which keeps it from expiring.
func (s *State) RecordSeen(now time.Time, k Key) {
	if e := s.entries[k]; e != nil && now.Sub(e.lastSeen) >= seenResolution {
		e.lastSeen = now
		s.view = nil
	}
}

// Merge merges another router's records. It also records the exits of the targets named there.
func (s *State) Merge(now time.Time, list []Record) {
	s.now = latest(s.now, now)
	for _, r := range list {
		if r.SinceSeen < 0 || r.SinceCrash < 0 || r.SinceSeen >= suspectTTL && r.Uncleared() < minCrashesToHold || r.SinceSeen >= heldTTL {
			continue
		}
		s.merge(now, r)
	}
}

func (s *State) merge(now time.Time, r Record) {
	for _, c := range r.Crashes {
		if c.Target == "" {
			continue
		}
		e := s.ensureEntry(now, r.Key, r.Part, r.Organisation)
		if len(e.crashes) == 0 {
			e.lastCrash, e.lastSeen = now.Add(-r.SinceCrash), now.Add(-r.SinceSeen)
		}
		old, known := e.crashes[c.Target]
		if old.Cleared || known && !c.Cleared || !known && len(e.crashes) >= MaxCrashes {
			continue
		}
		e.crashedBy[c.Target] = now.Add(-r.SinceCrash)
		s.updateCrash(r.Key, e, c)
		if !c.Cleared && r.SinceCrash < brokenTTL {
			s.RecordExit(now.Add(-r.SinceCrash), c.Target)
		}
	}
	if e := s.entries[r.Key]; e != nil {
		if !e.shared && len(r.Crashes) >= minCrashesToReject {
			s.share(r.Key, e)
		}
		if at := now.Add(-r.SinceShared); e.shared && at.Before(e.sharedAt) {
			e.sharedAt = at
			s.view = nil
		}
		e.lastCrash = latest(e.lastCrash, now.Add(-r.SinceCrash))
		e.lastSeen = latest(e.lastSeen, now.Add(-r.SinceSeen))
		s.clearCredited(now, r.Key, e)
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Expire removes the records that are too old and returns them.
func (s *State) Expire(now time.Time) []Record {
	var list []Record
	for k, e := range s.entries {
		if !now.Before(e.expires()) {
			list = append(list, e.record(now, k))
			s.remove(k)
		}
	}
	return sorted(list)
}

// Updates returns the records that changed since the last call.
func (s *State) Updates(now time.Time) []Record {
	s.resolveUndecided(now)
	list := make([]Record, 0, len(s.updated))
	for k := range s.updated {
		list = append(list, s.entries[k].record(now, k))
	}
	clear(s.updated)
	return sorted(list)
}

// All returns all records.
func (s *State) All(now time.Time) []Record {
	return s.records(now, func(*entry) bool { return true })
}

// AllShared returns the records that all routers need to know of.
func (s *State) AllShared(now time.Time) []Record {
	return s.records(now, func(e *entry) bool { return e.shared })
}

func (s *State) records(now time.Time, match func(*entry) bool) []Record {
	list := make([]Record, 0, len(s.entries))
	for k, e := range s.entries {
		if match(e) {
			list = append(list, e.record(now, k))
		}
	}
	return sorted(list)
}

func sorted(list []Record) []Record {
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(string(a.Key[:]), string(b.Key[:])) })
	return list
}

// Digest returns a hash of all crashes that all routers need to know of, which does not depend
// on their order. Routers with different digests have different records.
func (s *State) Digest() uint64 { return s.digest }
