package gateway

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// streamVersions implements forward.StreamVersions.
type streamVersions struct{ *Gateway }

// Lookup implements forward.StreamVersions. It waits for the history of entries to be read if that matters.
func (g streamVersions) Lookup(ctx context.Context, service, request string, regions routing.Regions) streamversion.Answer {
	a, answered := g.ask(ctx, service, request, regions)
	if answered && !a.Known && !a.Confirmed && g.waitPast(ctx, service, regions) {
		a, answered = g.ask(ctx, service, request, regions)
	}
	if answered {
		g.Metrics.CountStreamLookup(a)
	}
	return a
}

// ask looks a stream up and returns false if ctx is done before there is an answer.
func (g streamVersions) ask(ctx context.Context, service, request string, regions routing.Regions) (a streamversion.Answer, answered bool) {
	answers := make(chan streamversion.Answer, 1)
	g.loop.Post(func(s *balance.State, now time.Time) { g.lookUpStream(s, now, service, request, regions, answers) })
	select {
	case a = <-answers:
		return a, true
	case <-ctx.Done():
		return a, false
	}
}

// maxPastWait bounds the wait for the history of entries. The store answers in milliseconds unless it is slow.
const maxPastWait = 300 * time.Millisecond

// waitPast waits until the history of entries that matters for a stream of a service is read, and reports whether it is.
func (g streamVersions) waitPast(ctx context.Context, service string, regions routing.Regions) bool {
	var read <-chan struct{}
	if !g.loop.PostAndWait(ctx, func(s *balance.State, now time.Time) {
		if g.awaitsPast(s, now, service, regions) {
			read = g.streamStore.pastRead
		}
	}) || read == nil {
		return false
	}
	timer := time.NewTimer(maxPastWait)
	defer timer.Stop()
	select {
	case <-read:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// lookUpStream sends the version that began a stream to answers, which has room for it. A stream that
// nobody knows was begun by the only version that its service had.
func (g *Gateway) lookUpStream(s *balance.State, now time.Time, service, request string, regions routing.Regions, answers chan<- streamversion.Answer) {
	done := func(a streamversion.Answer) {
		if a.Known && a.Version == streamversion.Unknown {
			a = streamversion.Answer{Confirmed: true}
		} else if !a.Known && a.Confirmed {
			a.Version, a.Evidence = s.UnrecordedVersionIn(now, service, regions)
			a.Known = a.Evidence != ""
			a.Confirmed = a.Known || !s.AwaitsZoneDrains(now, service) && !g.awaitsPast(s, now, service, regions)
		}
		answers <- a
	}
	if request == "" {
		done(streamversion.Answer{Confirmed: true})
		return
	}
	g.noteStandstill(now)
	g.streams.Lookup(now, streamversion.KeyOf(service, request), done)
	g.sendStreamVersions(g.streams.Take())
	g.tickEarlier(now)
}

// maxTickDelay is how much later than due a tick may be without this router counting as one that has stood still.
const maxTickDelay = time.Second

// noteStandstill notes that this router's process has stood still, although its box went on.
func (g *Gateway) noteStandstill(now time.Time) {
	if !g.nextTick.IsZero() && now.Sub(g.nextTick) > maxTickDelay {
		g.streams.Resume(now)
	}
}

// streamBegun records which version began a stream.
func (g *Gateway) streamBegun(now time.Time, b balance.Stream, shared bool) {
	g.recordStreams(now, []balance.Stream{b}, shared)
}

// shareStreams tells other routers of the running streams of services that have just got a second
// version.
func (g *Gateway) shareStreams(s *balance.State, now time.Time) {
	g.recordStreams(now, s.TakeNewlyMixed(), true)
}

func (g *Gateway) recordStreams(now time.Time, list []balance.Stream, shared bool) {
	if len(list) == 0 {
		return
	}
	for _, b := range list {
		k := streamversion.KeyOf(b.Service, b.ID)
		if b.Corrected {
			g.streams.Correct(now, k, b.Version)
			continue
		}
		g.streams.Begin(now, streamversion.Record{Key: k, Version: b.Version}, shared)
	}
	g.sendStreamVersions(g.streams.TakePrompt())
	g.storeRecords(now)
	g.tickEarlier(now)
}

// handleStreamVersions handles another router's message about versions of streams.
func (g *Gateway) handleStreamVersions(s *balance.State, now time.Time, from member.Member, m message.StreamVersions) {
	if len(m.Stored) > 0 || m.StoredAt > 0 {
		g.setStoredVersions(s, now, m.StoredAt, m.Stored)
	}
	g.streams.Receive(now, from.Peer, m.Message)
	if len(m.Asked) > 0 {
		g.sendStreamVersions(g.streams.Take())
	}
	g.storeRecords(now)
	g.tickEarlier(now)
}

// tickStreams ends lookups in time, sends what has come together since the last tick, and stores what is
// to outlive all routers.
func (g *Gateway) tickStreams(s *balance.State, now time.Time) {
	g.noteStandstill(now)
	g.streams.Tick(now)
	g.sendStreamVersions(g.streams.Take())
	g.readZoneDrains(s, now)
	g.storeStreams(s, now)
}

func (g *Gateway) sendStreamVersions(list []streamversion.Outgoing) {
	for _, o := range list {
		g.sendTo(member.Member{Peer: o.To}, message.StreamVersions{Message: o.Message})
	}
}
