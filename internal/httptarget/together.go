package httptarget

import (
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

const (
	// sameMoment is the longest time between the ends of connections that count as ended together. The kernel closes
	// those of a process that was killed within some milliseconds, and counts time in steps of at most maxTick.
	sameMoment = 30 * time.Millisecond
	maxTick    = 10 * time.Millisecond
	// sameInstant is the same for answers of a process that goes on, whose whole ones may end near one another by chance.
	sameInstant = 5 * time.Millisecond
	// endTTL is how long the end of a connection counts, and maxEnds bounds the ends that are kept for a process.
	endTTL  = time.Second
	maxEnds = 64
	// maxEndsApart bounds the answers of a process that end at other times within endTTL: where there are more,
	// whole ones end together by chance.
	maxEndsApart = 12
)

// end is a connection that its target has closed, and when: at is the latest time, about the kernel's own, and tick that of
// its clock. answer is set if the connection carried an answer without a length.
type end struct {
	*conn
	at, about time.Time
	tick      time.Duration
	answer    bool
}

// endOf returns the end of a connection if its target has closed it without a reset. The kernel of a process that was
// killed closes those on which it had read everything; a network that fails resets connections, or is silent.
func endOf(c *conn) (end, bool) {
	ago, ok := sockopt.RemoteClosedFor(c.Conn)
	now := clock.Now()
	e := end{conn: c, at: now.Add(-max(ago-maxTick, 0)), about: now.Add(-ago)}
	if ok {
		e.tick, ok = sockopt.RemoteClosedTick(c.Conn)
	}
	return e, ok
}

// with reports whether two connections ended in the same moment.
func (e end) with(other end) bool {
	return e.conn != other.conn && e.at.Sub(other.at).Abs() < sameMoment
}

// withAnswer reports whether two answers without a length ended in the same instant.
func (e end) withAnswer(other end) bool {
	return e.conn != other.conn && (e.tick-other.tick).Abs() <= sameInstant
}

// apartFrom reports whether two answers without a length ended near one another, but not in the same instant.
func (e end) apartFrom(other end) bool {
	apart := (e.tick - other.tick).Abs()
	return e.conn != other.conn && apart > sameInstant && apart < endTTL
}

// foretold reports whether the target has said that it would close the connection.
func (e end) foretold() bool {
	return e.closes.Load() || !e.idleSince.IsZero() && e.expired(e.at, maxIdleTime)
}

// noteEnd keeps the end of a connection that is about to be closed here before its time. The mutex must be held.
func (t *Transport) noteEnd(c *conn) {
	if e, ok := endOf(c); ok {
		t.addEnd(e)
	}
}

// noteUnframedEnd keeps the end of a connection that carried an answer without a length.
func (t *Transport) noteUnframedEnd(e end) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.answer = true
	t.addEnd(e)
}

// addEnd keeps an end, unless that connection's is kept already. The mutex must be held.
func (t *Transport) addEnd(e end) {
	list := t.ends[e.endpoint]
	if slices.ContainsFunc(list, func(other end) bool { return other.conn == e.conn }) {
		return
	}
	list = append(list, e)
	t.ends[e.endpoint] = list[max(len(list)-maxEnds, 0):]
}

// forgetEnds drops the ends that no longer count. The mutex must be held.
func (t *Transport) forgetEnds(now time.Time) {
	for e, list := range t.ends {
		if list = slices.DeleteFunc(list, func(e end) bool { return now.Sub(e.at) >= endTTL }); len(list) == 0 {
			delete(t.ends, e)
			continue
		}
		t.ends[e] = list
	}
}

// connsTo returns the connections to a process, unused or in use. The mutex must be held.
func (t *Transport) connsTo(e endpoint) []*conn {
	return slices.AppendSeq(slices.Clone(t.idle[e]), maps.Keys(t.inUse[e]))
}

// endsOf returns the ends of connections to a process that nothing had foretold. The mutex must be held.
func (t *Transport) endsOf(e endpoint) []end {
	list := slices.Clone(t.ends[e])
	for _, c := range t.connsTo(e) {
		ended, ok := endOf(c)
		if !ok || ended.foretold() || slices.ContainsFunc(list, func(other end) bool { return other.conn == c }) {
			continue
		}
		ended.answer = c.unframed.Load() && c.idleSince.IsZero()
		list = append(list, ended)
	}
	return list
}

// wasOpen reports whether a connection is open that was made before a time. Later ones may be to another process.
func wasOpen(c *conn, before time.Time) bool {
	_, ended := sockopt.Received(c.Conn)
	return !ended && c.madeAt.Before(before)
}

// endedTogether reports whether all other exchanges with the process of an answer that ended with its connection, or all
// other connections to it, at least one, have ended in the same moment. Whole answers without a length rarely do so by
// chance, and a caller that takes a cut one for whole is worse off than one that asks again.
//
// At busy processes they do, and each of two rules excepts what the other one does not. Where answers take long, others go
// on then (answersGoOn), however few have ended lately. Where they are short, it may be that none does, but many have
// ended at other times (maxEndsApart).
func (t *Transport) endedTogether(e end) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	answers, others, apart := false, false, 0
	for _, other := range t.endsOf(e.endpoint) {
		answers = answers || other.answer && e.withAnswer(other)
		others = others || !other.answer && e.with(other)
		if other.answer && e.apartFrom(other) {
			apart++
		}
	}
	return answers && apart <= maxEndsApart && !t.answersGoOn(e) || others && !t.connectionsGoOn(e)
}

// connectionsGoOn reports whether another connection to the process of one that has ended goes on. Those that have carried
// nothing but questions do not count, as spare ones do not. The mutex must be held.
func (t *Transport) connectionsGoOn(e end) bool {
	return slices.ContainsFunc(t.connsTo(e.endpoint), func(c *conn) bool { return c.carried && wasOpen(c, e.at) })
}

// answersGoOn reports whether an exchange with the process of a connection that has ended went on after that, on another
// one; questions do not count. The mutex must be held.
func (t *Transport) answersGoOn(e end) bool {
	open := slices.ContainsFunc(t.connsTo(e.endpoint), func(c *conn) bool {
		return c.carried && c.usedSince.Before(e.about) && (c.idleSince.IsZero() || c.idleSince.After(e.about)) && wasOpen(c, e.at)
	})
	return open || slices.ContainsFunc(t.endsOf(e.endpoint), func(other end) bool {
		return other.carried && other.usedSince.Before(e.about) && other.tick-e.tick > sameInstant
	})
}
