package news

import (
	"math/rand/v2"
	"time"

	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// requestInterval is the minimum interval between requests to other routers for newer
	// contents of the store.
	requestInterval = 60 * time.Millisecond
	// If at least minNearSources other routers run in its zone, a router that learns from another
	// zone that there is something newer waits for a copy from its own. It waits for a random time
	// such that about one router of the zone asks in each farStep, and for maxFarDelay at
	// most: the first one that has asked tells most of the others within some milliseconds.
	minNearSources = 8
	farStep        = 25 * time.Millisecond
	maxFarDelay    = 400 * time.Millisecond
	// maxDatagramTargets is the number of targets above which a copy certainly needs a stream.
	maxDatagramTargets = 512
)

// farSource is a router of another availability zone that has newer revisions than this one.
type farSource struct {
	router    member.Member
	revisions message.Revisions
	// due is when to ask it for a copy; zero if there is no such router.
	due time.Time
}

// requestNewer requests a copy of the store's contents from a router that has newer revisions, and tells others if that
// one lacks a list that showed no change here. A
// router of another availability zone is asked only if nobody in this zone has sent a copy soon,
// since traffic between zones is paid for.
func (e *Exchange) requestNewer(now time.Time, from member.Member, theirs message.Revisions) {
	if e.Catalog.Hear(theirs) {
		e.Note(now, FromStore)
	}
	known := e.Catalog.Complete()
	if !theirs.NewerThan(known) {
		return
	}
	if zone := e.Roster.Zone(from.ID); zone != "" && zone != e.Zone && e.Rank().Near >= minNearSources {
		if e.far.due.IsZero() {
			rank := rand.Float64() * float64(e.Rank().Near)
			delay := min(time.Duration(rank*float64(farStep)), maxFarDelay)
			e.far = farSource{router: from, revisions: theirs, due: now.Add(delay)}
		}
		return
	}
	e.request(now, from, known)
}

// request requests what is newer than the known revisions from another router.
func (e *Exchange) request(now time.Time, from member.Member, known message.Revisions) {
	if now.Sub(e.lastRequest) >= max(requestInterval, e.interval()/2) {
		e.lastRequest = now
		e.Sender.Send(from, message.NeedCopy{Revisions: known, Packed: true, DropsUnlisted: true})
	}
}

// requestFromFar requests a copy from another zone if this zone still lacks what was seen there.
func (e *Exchange) requestFromFar(now time.Time) {
	far := e.far
	if far.due.IsZero() || now.Before(far.due) {
		return
	}
	e.far = farSource{}
	if known := e.Catalog.Complete(); far.revisions.NewerThan(known) {
		e.request(now, far.router, known)
	}
}

// SendCopy sends another router what it lacks.
func (e *Exchange) SendCopy(now time.Time, to member.Member, need message.NeedCopy) {
	c := e.Catalog.Copy(now, need)
	e.Metrics.CountCopy(to.Zone == e.Zone)
	if !need.Packed || len(c.Targets.List) > maxDatagramTargets {
		e.Sender.SendOnStream(to, c)
		return
	}
	e.Sender.Send(to, c)
}
