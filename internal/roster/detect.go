package roster

import (
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
)

// Tick returns the messages that are due: retries and periodic pings, and queued updates. It
// also advances suspicions. Call it every few tens of milliseconds.
func (r *Roster) Tick(now time.Time) []Outgoing {
	out := r.retryPings(now)
	r.expireSuspects(now)
	if now.Sub(r.lastPing) >= r.period() {
		r.lastPing = now
		out = append(out, r.pingNext(now)...)
	}
	if len(r.updates) > 0 {
		out = append(out, r.Forward(now, false)...)
	}
	return out
}

// NextDue returns when Tick is due next. Receiving a message may make it due earlier.
func (r *Roster) NextDue(now time.Time) time.Time {
	if len(r.updates)+len(r.suspects) > 0 {
		return now
	}
	due := r.lastPing.Add(r.period())
	for _, id := range r.unanswered {
		if e := r.peers[id]; e != nil && !e.pingedAt.IsZero() {
			if timeout := e.pingedAt.Add(pingTimeout); timeout.Before(due) {
				due = timeout
			}
		}
	}
	return due
}

// period returns the current time between pings.
func (r *Roster) period() time.Duration {
	n := time.Duration(len(r.peerList))
	if len(r.suspects) > 0 {
		return min(max(n*suspectPingPeriodPerRouter, suspectPingPeriod), maxPeriodGrowth*suspectPingPeriod)
	}
	return min(max(n*pingPeriodPerRouter, pingPeriod), maxPeriodGrowth*pingPeriod)
}

// Gossip returns messages that forward the queued updates, and this router's revisions, to
// a few random routers. It is for news that arose at this router; Forward is for those of others.
func (r *Roster) Gossip(now time.Time) []Outgoing {
	r.origin = true
	return r.Forward(now, false)
}

// Forward is Gossip for news that came from another router. In a large fleet few of the messages go
// to other availability zones. If further news will follow soon, it is enough to tell a few.
func (r *Roster) Forward(now time.Time, moreFollows bool) []Outgoing {
	return r.forward(now, moreFollows, farForwards)
}

// ForwardConfirmation is Forward for messages that only confirm what the others have. They enter other
// availability zones less often, unless there are updates to be forwarded.
func (r *Roster) ForwardConfirmation(now time.Time) []Outgoing {
	if len(r.updates) > 0 {
		return r.forward(now, false, farForwards)
	}
	return r.forward(now, false, farConfirmations)
}

// forward returns the messages of Forward; about farForwarders routers of the whole fleet send some
// to other availability zones.
func (r *Roster) forward(now time.Time, moreFollows bool, farForwarders int) []Outgoing {
	var records []message.RouterRecord
	for _, id := range r.updates {
		if e := r.peers[id]; e != nil {
			records = append(records, e.RouterRecord)
		}
	}
	r.updates = r.updates[:0]
	parts := chunks(records)
	if len(parts) == 0 {
		// Without updates, a message still carries this router's own record.
		parts = append(parts, nil)
	}
	var out []Outgoing
	if r.origin {
		farForwarders = math.MaxInt
	}
	peers := r.gossipPeers(now, moreFollows || len(parts) > 1, farForwarders)
	r.origin = false
	for _, to := range peers {
		for _, part := range parts {
			m := r.ping(message.PingNotice, false)
			m.Records = part
			out = append(out, Outgoing{Peer: to, Ping: m})
		}
	}
	return out
}

// RandomPeers returns the Peer addresses of a few other routers, drawn at random, to forward an
// update to.
func (r *Roster) RandomPeers(now time.Time) []string { return r.gossipPeers(now, false, math.MaxInt) }

// gossipPeers returns the Peer addresses of a few running routers, drawn at random: fewer of them if
// there are several messages for each, and fewer in other zones if more than farForwarders routers
// run. If no other router is known to run, it returns the seeds.
func (r *Roster) gossipPeers(now time.Time, severalMessages bool, farForwarders int) []string {
	var near, far []string
	for _, e := range r.peerList {
		switch {
		case !r.countsAsRunning(now, e):
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
	if severalMessages {
		wantNear, wantFar = wantNear/fanoutDivisor, wantFar/fanoutDivisor
	}
	if running := len(near) + len(far); running > farForwarders {
		wantFar = r.round(float64(wantFar) * float64(farForwarders) / float64(running))
	}
	// If one group is too small, more are taken from the other.
	fromNear := min(len(near), wantNear+max(wantFar-len(far), 0))
	fromFar := min(len(far), wantFar+max(wantNear-len(near), 0))
	return append(r.draw(near, fromNear), r.draw(far, fromFar)...)
}

// round rounds up or down at random, so that the mean is kept.
func (r *Roster) round(x float64) int {
	n := int(x)
	if r.random.Float64() < x-float64(n) {
		n++
	}
	return n
}

// draw returns n random elements of a list, which it reorders.
func (r *Roster) draw(list []string, n int) []string {
	for i := range n {
		j := i + r.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// retryPings handles pings that timed out: it pings the router again, or suspects it after
// pingAttempts.
func (r *Roster) retryPings(now time.Time) []Outgoing {
	var out []Outgoing
	unanswered := r.unanswered
	r.unanswered = nil
	for _, id := range unanswered {
		e := r.peers[id]
		switch {
		case e == nil || e.pingedAt.IsZero():
		case now.Sub(e.pingedAt) < pingTimeout:
			r.unanswered = append(r.unanswered, id)
		case e.missedPings+1 < pingAttempts:
			e.missedPings++
			out = append(out, r.pingPeer(now, e))
		default:
			r.suspect(now, e)
		}
	}
	return out
}

// suspect marks a router that has not answered as suspected, unless this router is isolated:
// then the missing answers say nothing about the other one.
func (r *Roster) suspect(now time.Time, e *entry) {
	e.pingedAt, e.missedPings = time.Time{}, 0
	if !e.hasRecord() || e.State != message.Alive || r.isolated(now) {
		return
	}
	n := e.RouterRecord
	n.State = message.Suspected
	r.origin = true
	r.store(now, e, n)
}

// expireSuspects marks suspected routers as gone if they have not refuted the suspicion in time.
func (r *Roster) expireSuspects(now time.Time) {
	suspects := r.suspects
	r.suspects = nil
	for _, id := range suspects {
		e := r.peers[id]
		switch {
		case e == nil || e.State != message.Suspected:
		case r.isolated(now):
			// Missing messages during isolation say nothing about the suspected router.
			e.State = message.Alive
		case now.Sub(e.stateSince) < suspicionTimeout || now.Sub(e.lastHeard) < suspicionTimeout && !e.lastHeard.IsZero():
			r.suspects = append(r.suspects, id)
		default:
			n := e.RouterRecord
			n.State = message.Gone
			r.store(now, e, n)
		}
	}
}

// isolated reports whether no message from any other router has arrived for a while.
func (r *Roster) isolated(now time.Time) bool { return now.Sub(r.lastHeard) >= isolationTimeout }

// pingNext pings the next router in turn. Every downPingEvery-th time it also pings the seeds
// at whose addresses no running router is known, to join separate groups of routers that know
// only one another. If it knows no router to ping, or this router is isolated, it pings the seeds
// every time, since all the routers that it knows may be gone for good.
func (r *Roster) pingNext(now time.Time) []Outgoing {
	r.forget(now)
	r.pingCount++
	var out []Outgoing
	e := r.next(now)
	if e != nil {
		out = append(out, r.pingPeer(now, e))
	}
	if e != nil && r.pingCount%downPingEvery != 0 && !r.isolated(now) {
		return out
	}
	for _, peer := range r.seeds {
		if !r.runsAt(now, peer) {
			out = append(out, Outgoing{Peer: peer, Ping: r.ping(message.PingRequest, false)})
		}
	}
	return out
}

// runsAt reports whether a router with a Peer address counts as running. It is false while
// this router is isolated.
func (r *Roster) runsAt(now time.Time, peer string) bool {
	return !r.isolated(now) && slices.ContainsFunc(r.peerList, func(e *entry) bool {
		return e.Peer == peer && r.countsAsRunning(now, e)
	})
}

func (r *Roster) pingPeer(now time.Time, e *entry) Outgoing {
	e.pingedAt = now
	if e.askedAt.IsZero() {
		e.askedAt = now
	}
	r.unanswered = append(r.unanswered, e.ID)
	m := r.ping(message.PingRequest, false)
	if e.State != message.Alive {
		// Tells the router that it is suspected or gone, so that it can refute this.
		m.Records = []message.RouterRecord{e.RouterRecord}
	}
	return Outgoing{Peer: e.Peer, Ping: m}
}

// next returns the router to ping next, nil if there is none.
func (r *Roster) next(now time.Time) *entry {
	near := func(e *entry) bool { return r.countsAsRunning(now, e) && e.Zone == r.self.Zone }
	far := func(e *entry) bool { return r.countsAsRunning(now, e) && e.Zone != r.self.Zone }
	if r.pingCount%downPingEvery == 0 {
		if e := r.randomDown(now); e != nil {
			return e
		}
	}
	first, second := &r.near, &r.far
	firstKeep, secondKeep := near, far
	every := farPingEvery
	if len(r.suspects) > 0 {
		every = suspectFarPingEvery
	}
	if r.pingCount%every == 0 {
		first, second, firstKeep, secondKeep = second, first, secondKeep, firstKeep
	}
	if e := first.next(r, firstKeep); e != nil {
		return e
	}
	if e := second.next(r, secondKeep); e != nil {
		return e
	}
	return r.randomDown(now)
}

// randomDown returns a random router that does not count as running, nil if there is none.
func (r *Roster) randomDown(now time.Time) *entry {
	var down []*entry
	for _, e := range r.peerList {
		if !r.countsAsRunning(now, e) {
			down = append(down, e)
		}
	}
	if len(down) == 0 {
		return nil
	}
	return down[r.random.IntN(len(down))]
}

// forget removes routers that have been gone for goneTTL and are not listed.
func (r *Roster) forget(now time.Time) {
	r.peerList = slices.DeleteFunc(r.peerList, func(e *entry) bool {
		old := !e.listed && !r.countsAsRunning(now, e) && now.Sub(e.stateSince) >= goneTTL
		if old {
			delete(r.peers, e.ID)
		}
		return old
	})
}

// group is the part of the fleet in the local availability zone, or that in all others.
type group struct {
	// unpinged holds the routers still to be pinged in this round. Each round pings every
	// router of the group once, in a new random order.
	unpinged []*entry
	// mismatches is the number of consecutive messages of the group with a different
	// digest.
	mismatches int
}

// next returns the next router to ping of those for which keep returns true, nil if there are
// none.
func (g *group) next(r *Roster, keep func(*entry) bool) *entry {
	for range 2 {
		for len(g.unpinged) > 0 {
			e := g.unpinged[0]
			g.unpinged = g.unpinged[1:]
			if keep(e) {
				return e
			}
		}
		for _, e := range r.peerList {
			if keep(e) {
				g.unpinged = append(g.unpinged, e)
			}
		}
		r.random.Shuffle(len(g.unpinged), func(i, j int) { g.unpinged[i], g.unpinged[j] = g.unpinged[j], g.unpinged[i] })
	}
	return nil
}
