package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// pausedFrom is the number of engines that ended under a request from which its
	// callers are sent away for a while, and routers do not send it again by themselves.
	// One engine may end by chance; that the same request was beside two is seldom
	// chance, and a third try costs all else that runs at an engine.
	pausedFrom = 2
	// heldFrom is the number from which it is held back and sent on trial only, by one
	// router at a time. After the third end the users allow three sends more.
	heldFrom = 3
	// suspectTime is for how long a crash is remembered, and heldTime for how long a
	// request that is held back is, from when it last came. Callers that repeat do so
	// within seconds; an hour is more than most of them go on for.
	suspectTime = 10 * time.Minute
	heldTime    = time.Hour
	// seenGrain is how exactly it is known when a request that is held back last came.
	seenGrain = time.Minute
	// brokenTime is for how long requests whose answers broke off are kept in case it
	// turns out that their engine has ended: an engine is back, or its entry gone, within
	// some seconds. brokenMost bounds them.
	brokenTime = 5 * time.Second
	brokenMost = 512
	// entriesMost bounds the requests suspected, a tenth of a megabyte, and partMost
	// those of one organisation: one that changes its request each time pushes out its
	// own only.
	entriesMost = 1024
	partMost    = 256
	// CrashesMost bounds the crashes known of one request. Its own end after six; the rest
	// is for operators who hold and release it.
	CrashesMost = 32
)

// trialPauses are the times from the last crash until a request is tried again, by the
// number of trials that have ended engines. Trials find out who only ran beside another
// request, as what many callers ask in the same words runs at many engines at once. The
// first comes when engines that ended are back, some seconds after; the others when callers
// that repeat for minutes have given up. After three there is none.
var trialPauses = [...]time.Duration{3 * time.Second, 30 * time.Second, 5 * time.Minute}

// broken is a request whose answer broke off.
type broken struct {
	key          Key
	organisation string
	crash        Crash
	at           time.Time
}

// State is what one router knows of such requests. A request is suspected from its first
// crash on, sent away for a while from the second and held back from the third; it is
// cleared when it ends well at any engine, and forgotten with time. A State is a plain
// state machine: time comes in through arguments and one goroutine drives it. Use New to
// make one.
type State struct {
	entries map[Key]*entry
	parts   map[string]int
	broken  []broken
	ended   ends
	digest  uint64
	// now is the latest time that came in.
	now time.Time
	// settling has the requests under which two targets ended together, of which all
	// routers may have to know.
	settling map[Key]bool
	// defers is set where other routers decide whether two targets that ended together
	// accuse a request.
	defers bool
	// news are the requests of which something new is known since News was called.
	news map[Key]bool
	view *View
}

// New returns a state that suspects nothing.
func New() *State {
	return &State{entries: map[Key]*entry{}, parts: map[string]int{}, ended: ends{}, settling: map[Key]bool{}, news: map[Key]bool{}}
}

// Broke notes that a target broke off its answer to a request, and returns the number of
// targets that are known to have ended under it. That the process ended may be known
// before or turn out later; until then a broken answer is none of them.
// trial says that others were known to have ended under it when it was sent.
func (s *State) Broke(now time.Time, k Key, organisation, target string, trial bool) int {
	s.forgetBroken(now)
	b := broken{key: k, organisation: organisation, crash: Crash{Target: target, Trial: trial}, at: now}
	if s.ended.fresh(now, target) {
		s.crash(now, b)
	} else if len(s.broken) < brokenMost {
		s.broken = append(s.broken, b)
	}
	return s.standing(k)
}

// Ended notes that a target's process has ended unannounced: it crashed under one of the
// requests whose answers broke off there.
func (s *State) Ended(now time.Time, target string) {
	s.forgetBroken(now)
	s.ended.note(now, target)
	s.view = nil
	s.broken = slices.DeleteFunc(s.broken, func(b broken) bool {
		if b.crash.Target == target {
			s.crash(now, b)
		}
		return b.crash.Target == target
	})
}

// forgetBroken forgets what is too old. Before that the ends that accuse nobody are told
// apart: their requests are cleared of them.
func (s *State) forgetBroken(now time.Time) {
	s.now = latest(s.now, now)
	s.broken = slices.DeleteFunc(s.broken, func(b broken) bool { return now.Sub(b.at) > brokenTime })
	if judged := s.ended.judge(now); len(judged) > 0 {
		s.acquit(judged)
	}
	s.ended.forget(now)
}

// acquit clears requests of ends that they do not account for.
func (s *State) acquit(judged []string) {
	for k, e := range s.entries {
		for _, target := range judged {
			if c, ran := e.crashes[target]; ran && !c.Cleared && !s.ended.accountsFor(e, target) {
				c.Cleared = true
				s.put(k, e, c)
			}
		}
	}
}

// Known reports whether anything is known of a request.
func (s *State) Known(k Key) bool { return s.entries[k] != nil }

func (s *State) standing(k Key) int {
	if e := s.entries[k]; e != nil {
		return s.counted(e)
	}
	return 0
}

// crash notes that a target ended under a request that broke off there.
func (s *State) crash(now time.Time, b broken) {
	e := s.entry(now, b.key, b.organisation)
	if _, known := e.crashes[b.crash.Target]; known || len(e.crashes) >= CrashesMost {
		return
	}
	s.set(b.key, e, b.crash)
	e.crashed, e.seen = now, now
}

// entry returns the entry of a request, a new one if there is none.
func (s *State) entry(now time.Time, k Key, organisation string) *entry {
	e := s.entries[k]
	if e != nil {
		return e
	}
	if s.parts[organisation] >= partMost {
		s.drop(s.least(func(e *entry) bool { return e.organisation == organisation }))
	} else if len(s.entries) >= entriesMost {
		s.drop(s.least(func(*entry) bool { return true }))
	}
	e = &entry{organisation: organisation, crashes: map[string]Crash{}, crashed: now, seen: now}
	s.entries[k] = e
	s.parts[organisation]++
	return e
}

// least returns the request of those meant that is suspected least, and of these came
// first.
func (s *State) least(meant func(e *entry) bool) Key {
	var least Key
	var found *entry
	for k, e := range s.entries {
		if !meant(e) {
			continue
		}
		if found == nil || e.standing() < found.standing() || e.standing() == found.standing() && e.seen.Before(found.seen) {
			least, found = k, e
		}
	}
	return least
}

func (s *State) drop(k Key) {
	e := s.entries[k]
	s.digest ^= e.weight(k)
	if s.parts[e.organisation]--; s.parts[e.organisation] == 0 {
		delete(s.parts, e.organisation)
	}
	delete(s.entries, k)
	delete(s.news, k)
	s.view = nil
}

// set notes a crash, or that it is cleared, as news.
func (s *State) set(k Key, e *entry, c Crash) {
	s.put(k, e, c)
	s.news[k] = true
	if len(e.crashes) == pausedFrom && !e.common {
		s.settling[k] = true
	}
}

// put notes the same without anybody being told.
func (s *State) put(k Key, e *entry, c Crash) {
	s.digest ^= e.weight(k)
	e.crashes[c.Target] = c
	s.digest ^= e.weight(k)
	s.view = nil
}

// Clear notes that a request has ended well: the targets that ended before did so for
// another reason.
func (s *State) Clear(k Key) {
	e := s.entries[k]
	if e == nil {
		return
	}
	for _, c := range e.crashes {
		if !c.Cleared {
			c.Cleared = true
			s.set(k, e, c)
		}
	}
}

// Try reports whether a request that is held back may be sent on trial, and notes that it
// is: its time has come, and none is under way. One router of a fleet asks for each
// request, so that one trial is under way at a time.
func (s *State) Try(now time.Time, k Key, until time.Time) bool {
	e := s.entries[k]
	if e == nil || now.Before(s.until(e)) || now.Before(e.trying) {
		return false
	}
	e.trying = until
	return true
}

// Tried notes that a trial is over, however it ended.
func (s *State) Tried(k Key) {
	if e := s.entries[k]; e != nil {
		e.trying = time.Time{}
	}
}

// Hold holds a request back as if targets had ended under it, without a trial, until it is
// cleared or has not come for a while. By whom names who wants that. It returns false if
// that was done too often.
func (s *State) Hold(now time.Time, k Key, organisation, byWhom string) bool {
	e := s.entry(now, k, organisation)
	if len(e.crashes)+heldFrom > CrashesMost {
		return false
	}
	for range heldFrom {
		// The number tells holds of the same millisecond apart: what was released once
		// stays so.
		s.set(k, e, Crash{Target: fmt.Sprintf("%s, %d, %d", byWhom, now.UnixMilli(), len(e.crashes)), Trial: true})
	}
	e.crashed, e.seen = now, now
	return true
}

// Seen notes that a request that is held back has come again: it is not forgotten as long
// as it does.
func (s *State) Seen(now time.Time, k Key) {
	if e := s.entries[k]; e != nil && now.Sub(e.seen) >= seenGrain {
		e.seen = now
		s.view = nil
	}
}

// Merge takes over what another router knows. A target that ended there has ended here,
// too.
func (s *State) Merge(now time.Time, list []Record) {
	s.now = latest(s.now, now)
	for _, r := range list {
		if r.SinceSeen < 0 || r.SinceCrash < 0 || r.SinceSeen >= suspectTime && r.Standing() < heldFrom || r.SinceSeen >= heldTime {
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
		e := s.entry(now, r.Key, r.Organisation)
		if len(e.crashes) == 0 {
			e.crashed, e.seen = now.Add(-r.SinceCrash), now.Add(-r.SinceSeen)
		}
		old, known := e.crashes[c.Target]
		if old.Cleared || known && !c.Cleared || !known && len(e.crashes) >= CrashesMost {
			continue
		}
		s.set(r.Key, e, c)
		if !c.Cleared && r.SinceCrash < brokenTime {
			s.Ended(now.Add(-r.SinceCrash), c.Target)
		}
	}
	if e := s.entries[r.Key]; e != nil {
		if !e.common && len(r.Crashes) >= pausedFrom {
			s.share(r.Key, e)
		}
		e.crashed = latest(e.crashed, now.Add(-r.SinceCrash))
		e.seen = latest(e.seen, now.Add(-r.SinceSeen))
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Expire forgets what is too old and returns it.
func (s *State) Expire(now time.Time) []Record {
	var list []Record
	for k, e := range s.entries {
		if !now.Before(e.expires()) {
			list = append(list, e.record(now, k))
			s.drop(k)
		}
	}
	return sorted(list)
}

// News returns the requests of which something new is known since the last call.
func (s *State) News(now time.Time) []Record {
	s.settle(now)
	list := make([]Record, 0, len(s.news))
	for k := range s.news {
		list = append(list, s.entries[k].record(now, k))
	}
	clear(s.news)
	return sorted(list)
}

// All returns all that is known.
func (s *State) All(now time.Time) []Record {
	return s.records(now, func(*entry) bool { return true })
}

// AllCommon returns what all routers are to know.
func (s *State) AllCommon(now time.Time) []Record {
	return s.records(now, func(e *entry) bool { return e.common })
}

func (s *State) records(now time.Time, meant func(*entry) bool) []Record {
	list := make([]Record, 0, len(s.entries))
	for k, e := range s.entries {
		if meant(e) {
			list = append(list, e.record(now, k))
		}
	}
	return sorted(list)
}

func sorted(list []Record) []Record {
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(string(a.Key[:]), string(b.Key[:])) })
	return list
}

// Digest returns a hash over all crashes that all routers are to know, in any order: who has
// another one knows something else.
func (s *State) Digest() uint64 { return s.digest }
