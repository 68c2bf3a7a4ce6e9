package roster

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
)

// Tick returns the messages that are due. Call it every few tens of milliseconds.
func (r *Roster) Tick(now time.Time) []Send {
	out := r.askAgain(now)
	r.bury(now)
	if now.Sub(r.pinged) >= r.period() {
		r.pinged = now
		out = append(out, r.pingNext(now)...)
	}
	if len(r.news) > 0 {
		out = append(out, r.Spread(now)...)
	}
	return out
}

// period returns the time between pings.
func (r *Roster) period() time.Duration {
	if len(r.suspects) > 0 {
		return hastyPeriod
	}
	return pingPeriod
}

// Spread passes what is new on to a few other routers, and with it which revisions
// this one has.
func (r *Roster) Spread(now time.Time) []Send {
	var records []message.RouterRecord
	for _, id := range r.news {
		if e := r.others[id]; e != nil {
			records = append(records, e.RouterRecord)
		}
	}
	r.news = r.news[:0]
	parts := chunks(records)
	if len(parts) == 0 {
		// Each message has the router's own record.
		parts = append(parts, nil)
	}
	var out []Send
	for _, to := range r.some(now, len(parts) > 1) {
		for _, part := range parts {
			m := r.ping(message.PingNotice, false)
			m.Records = part
			out = append(out, Send{Peer: to, Ping: m})
		}
	}
	return out
}

// Few returns the Peer addresses of a few other routers, drawn at random, to which
// news are passed on.
func (r *Roster) Few(now time.Time) []string { return r.some(now, false) }

// some returns the Peer addresses of a few other routers, drawn at random, fewer if
// there is much to tell; of the seeds where nobody is known.
func (r *Roster) some(now time.Time, much bool) []string {
	var near, far []string
	for _, e := range r.list {
		switch {
		case !r.believed(now, e):
		case e.Zone == r.self.Zone:
			near = append(near, e.Peer)
		default:
			far = append(far, e.Peer)
		}
	}
	if len(near)+len(far) == 0 {
		return r.seeds
	}
	wantNear, wantFar := nearFanout, farFanout
	if much {
		wantNear, wantFar = wantNear/manyPart, wantFar/manyPart
	}
	// What one side lacks the other has more of.
	fromNear := min(len(near), wantNear+max(wantFar-len(far), 0))
	fromFar := min(len(far), wantFar+max(wantNear-len(near), 0))
	return append(r.draw(near, fromNear), r.draw(far, fromFar)...)
}

// draw returns n of a list, which it reorders.
func (r *Roster) draw(list []string, n int) []string {
	for i := range n {
		j := i + r.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// askAgain pings anew who has not answered, or suspects it.
func (r *Roster) askAgain(now time.Time) []Send {
	var out []Send
	waiting := r.waiting
	r.waiting = nil
	for _, id := range waiting {
		e := r.others[id]
		switch {
		case e == nil || e.asked.IsZero():
		case now.Sub(e.asked) < answerTime:
			r.waiting = append(r.waiting, id)
		case e.missed+1 < tries:
			e.missed++
			out = append(out, r.ask(now, e))
		default:
			r.suspect(now, e)
		}
	}
	return out
}

// suspect notes that a router has not answered. Who hears nobody is cut off itself
// and suspects nobody.
func (r *Roster) suspect(now time.Time, e *entry) {
	e.asked, e.missed = time.Time{}, 0
	if !e.known() || e.State != message.Alive || r.cutOff(now) {
		return
	}
	n := e.RouterRecord
	n.State = message.Suspected
	r.hold(now, e, n)
}

// bury takes suspects that have not denied it for gone, and forgets those that have
// been gone for long.
func (r *Roster) bury(now time.Time) {
	suspects := r.suspects
	r.suspects = nil
	for _, id := range suspects {
		e := r.others[id]
		switch {
		case e == nil || e.State != message.Suspected:
		case r.cutOff(now):
			// Nothing of what was noted meanwhile tells more than that.
			e.State = message.Alive
		case now.Sub(e.since) < suspicionTime || now.Sub(e.heard) < suspicionTime && !e.heard.IsZero():
			r.suspects = append(r.suspects, id)
		default:
			n := e.RouterRecord
			n.State = message.Gone
			r.hold(now, e, n)
		}
	}
}

// cutOff reports whether no other router has been heard for a while.
func (r *Roster) cutOff(now time.Time) bool { return now.Sub(r.heard) >= silentTime }

// pingNext pings the next router in turn. Seeds are pinged now and then where no
// router is known there, since some may have found only one another, and all the
// time where nobody is heard: those that are known may be gone for good.
func (r *Roster) pingNext(now time.Time) []Send {
	r.forget(now)
	r.pings++
	var out []Send
	e := r.next(now)
	if e != nil {
		out = append(out, r.ask(now, e))
	}
	if e != nil && r.pings%lostEvery != 0 && !r.cutOff(now) {
		return out
	}
	for _, peer := range r.seeds {
		if !r.believedAt(now, peer) {
			out = append(out, Send{Peer: peer, Ping: r.ping(message.PingRequest, false)})
		}
	}
	return out
}

// believedAt reports whether a router with a Peer address is taken to be running;
// one that hears nobody cannot tell.
func (r *Roster) believedAt(now time.Time, peer string) bool {
	return !r.cutOff(now) && slices.ContainsFunc(r.list, func(e *entry) bool {
		return e.Peer == peer && r.believed(now, e)
	})
}

func (r *Roster) ask(now time.Time, e *entry) Send {
	e.asked = now
	r.waiting = append(r.waiting, e.ID)
	m := r.ping(message.PingRequest, false)
	if e.State != message.Alive {
		// It must hear of that to deny it.
		m.Records = []message.RouterRecord{e.RouterRecord}
	}
	return Send{Peer: e.Peer, Ping: m}
}

// next returns the router to be pinged now, nil if there is none.
func (r *Roster) next(now time.Time) *entry {
	near := func(e *entry) bool { return r.believed(now, e) && e.Zone == r.self.Zone }
	far := func(e *entry) bool { return r.believed(now, e) && e.Zone != r.self.Zone }
	if r.pings%lostEvery == 0 {
		if e := r.lost(now); e != nil {
			return e
		}
	}
	first, second := &r.near, &r.far
	firstKeep, secondKeep := near, far
	every := farEvery
	if len(r.suspects) > 0 {
		every = farHasty
	}
	if r.pings%every == 0 {
		first, second, firstKeep, secondKeep = second, first, secondKeep, firstKeep
	}
	if e := first.next(r, firstKeep); e != nil {
		return e
	}
	if e := second.next(r, secondKeep); e != nil {
		return e
	}
	return r.lost(now)
}

// lost returns some router that is not believed to be alive, nil if there is none.
func (r *Roster) lost(now time.Time) *entry {
	var lost []*entry
	for _, e := range r.list {
		if !r.believed(now, e) {
			lost = append(lost, e)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return lost[r.random.IntN(len(lost))]
}

// forget drops routers that are gone and not listed.
func (r *Roster) forget(now time.Time) {
	r.list = slices.DeleteFunc(r.list, func(e *entry) bool {
		old := !e.listed && !r.believed(now, e) && now.Sub(e.since) >= forgetTime
		if old {
			delete(r.others, e.ID)
		}
		return old
	})
}

// side is a part of the fleet.
type side struct {
	// left are those still to be pinged in this round. The order is drawn anew
	// for each round, so that each is pinged once in it.
	left []*entry
	// differing is how many messages in a row showed another digest.
	differing int
}

// next returns the next router to be pinged of those that keep says, nil if there
// are none.
func (s *side) next(r *Roster, keep func(*entry) bool) *entry {
	for range 2 {
		for len(s.left) > 0 {
			e := s.left[0]
			s.left = s.left[1:]
			if keep(e) {
				return e
			}
		}
		for _, e := range r.list {
			if keep(e) {
				s.left = append(s.left, e)
			}
		}
		r.random.Shuffle(len(s.left), func(i, j int) { s.left[i], s.left[j] = s.left[j], s.left[i] })
	}
	return nil
}
