package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// copyRequestInterval is the minimum interval between requests to other routers for newer
	// contents of the store.
	copyRequestInterval = 60 * time.Millisecond
	// If at least minNearSources other routers run in its zone, a router that learns from another
	// zone that there is something newer waits for a copy from its own. It waits for a random time
	// such that about one router of the zone asks in each farCopyStep, and for maxFarCopyDelay at
	// most: the first one that has asked tells most of the others within some milliseconds.
	minNearSources  = 8
	farCopyStep     = 25 * time.Millisecond
	maxFarCopyDelay = 400 * time.Millisecond
	// maxDatagramTargets is the number of targets above which a copy certainly needs a stream.
	maxDatagramTargets = 512
	// newsIntervalPerRouter times the number of routers, up to maxNewsInterval, is the least interval
	// between two messages of a router about changed targets, if that is more than tickInterval.
	// While many targets change, their changes are passed on together; a single one is passed on
	// at once.
	newsIntervalPerRouter = 500 * time.Microsecond
	maxNewsInterval       = 400 * time.Millisecond
)

// requestNewer requests a copy of the store's contents from a router that has newer revisions, and tells others if that
// one lacks a list that showed no change here. A
// router of another availability zone is asked only if nobody in this zone has sent a copy soon,
// since traffic between zones is paid for.
func (g *Gateway) requestNewer(now time.Time, from member.Member, theirs message.Revisions) {
	if g.catalog.Hear(theirs) {
		g.newsFrom(now, sourceStore)
	}
	known := g.catalog.Complete()
	if !theirs.NewerThan(known) {
		return
	}
	if zone := g.roster.Zone(from.ID); zone != "" && zone != g.self.Zone && g.storeWatch.LastRank().Near >= minNearSources {
		if g.farSource.due.IsZero() {
			rank := rand.Float64() * float64(g.storeWatch.LastRank().Near)
			delay := min(time.Duration(rank*float64(farCopyStep)), maxFarCopyDelay)
			g.farSource = farSource{router: from, revisions: theirs, due: now.Add(delay)}
		}
		return
	}
	g.requestCopy(now, from, known)
}

// requestCopy requests what is newer than the known revisions from another router.
func (g *Gateway) requestCopy(now time.Time, from member.Member, known message.Revisions) {
	if now.Sub(g.lastCopyRequest) >= max(copyRequestInterval, g.newsInterval()/2) {
		g.lastCopyRequest = now
		g.sendTo(from, message.NeedCopy{Revisions: known, Packed: true, DropsUnlisted: true})
	}
}

// farSource is a router of another availability zone that has newer revisions than this one.
type farSource struct {
	router    member.Member
	revisions message.Revisions
	// due is when to ask it for a copy; zero if there is no such router.
	due time.Time
}

// requestFromFar requests a copy from another zone if this zone still lacks what was seen there.
func (g *Gateway) requestFromFar(now time.Time) {
	far := g.farSource
	if far.due.IsZero() || now.Before(far.due) {
		return
	}
	g.farSource = farSource{}
	if known := g.catalog.Complete(); far.revisions.NewerThan(known) {
		g.requestCopy(now, far.router, known)
	}
}

// sendCopy sends another router what it lacks.
func (g *Gateway) sendCopy(now time.Time, to member.Member, need message.NeedCopy) {
	c := g.catalog.Copy(now, need)
	g.Metrics.CountCopy(to.Zone == g.self.Zone)
	if !need.Packed || len(c.Targets.List) > maxDatagramTargets {
		g.peers.Send(to, c)
		return
	}
	g.sendTo(to, c)
}

// newsInterval returns the least interval between two messages about changed targets.
func (g *Gateway) newsInterval() time.Duration {
	return max(tickInterval, min(newsIntervalPerRouter*time.Duration(g.storeWatch.LastRank().Running), maxNewsInterval))
}

// newsFrom passes on news of the store, at most once in newsInterval. What the store itself told
// goes to other availability zones as well.
func (g *Gateway) newsFrom(now time.Time, from string) {
	g.newsFromStore = g.newsFromStore || from == sourceStore
	if now.Sub(g.lastGossip) >= g.newsInterval() {
		g.forwardNews(now, false)
		return
	}
	g.gossipPending = true
}

// forwardNews sends this router's revisions to some other routers, to fewer if more news will follow
// soon.
func (g *Gateway) forwardNews(now time.Time, moreFollows bool) {
	if g.newsFromStore {
		g.gossip(now)
		return
	}
	g.lastGossip, g.gossipPending = now, false
	g.updateSelf()
	g.sendPings(now, g.roster.Forward(now, moreFollows))
}
