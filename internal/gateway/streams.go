package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// streamVersions implements forward.StreamVersions.
type streamVersions struct{ *Gateway }

// Lookup implements forward.StreamVersions. It waits for the history of entries to be read if that matters.
func (g streamVersions) Lookup(ctx context.Context, t forward.TakeUp) streamversion.Answer {
	a, answered := g.ask(ctx, t)
	if answered && !a.Known && !a.Confirmed && g.waitPast(ctx, t) {
		a, answered = g.ask(ctx, t)
	}
	if answered {
		g.Metrics.CountStreamLookup(a)
	}
	return a
}

// ask looks a stream up and returns false if ctx is done before there is an answer.
func (g streamVersions) ask(ctx context.Context, t forward.TakeUp) (a streamversion.Answer, answered bool) {
	answers := make(chan streamversion.Answer, 1)
	g.loop.Post(func(s *balance.State, now time.Time) { g.lookUpStream(s, now, t, answers) })
	select {
	case a = <-answers:
		return a, true
	case <-ctx.Done():
		return a, false
	}
}

// maxPastWait bounds the wait for the history of entries. The store answers in milliseconds unless it is slow.
const maxPastWait = 300 * time.Millisecond

// waitPast waits until the history of entries or configurations that matters for a stream is read, and reports whether it
// is.
func (g streamVersions) waitPast(ctx context.Context, t forward.TakeUp) bool {
	var read <-chan struct{}
	if !g.loop.PostAndWait(ctx, func(s *balance.State, now time.Time) {
		read = g.streamStore.AwaitPast(s, now, t)
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
// nobody knows was begun by the only version that the services had at which it may have begun.
func (g *Gateway) lookUpStream(s *balance.State, now time.Time, t forward.TakeUp, answers chan<- streamversion.Answer) {
	done := func(a streamversion.Answer) {
		if a.Known && a.Version == streamversion.Unknown {
			a = streamversion.Answer{Confirmed: true}
		} else if !a.Known && a.Confirmed {
			if g.routes.Known(now) {
				a.Version, a.Evidence = s.UnrecordedVersionAmong(now, g.servicesOf(now, t), t.Regions)
			}
			a.Known = a.Evidence != ""
			a.Confirmed = a.Known || !g.awaitsZoneDrains(s, now, t) && g.streamStore.AwaitPast(s, now, t) == nil
		}
		answers <- a
	}
	if t.Stream == "" {
		done(streamversion.Answer{Confirmed: true})
		return
	}
	g.noteStandstill(now)
	g.streams.Lookup(now, streamversion.KeyOf(t.Stream), done)
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

// servicesOf returns the services at which a stream may have begun.
func (g *Gateway) servicesOf(now time.Time, t forward.TakeUp) []string {
	return g.routes.Services(now, t.Host, t.Path, t.Stream, t.Service)
}

// awaitsZoneDrains reports whether the version of a stream without a record may be told once the ends of zones' drains
// are known.
func (g *Gateway) awaitsZoneDrains(s *balance.State, now time.Time, t forward.TakeUp) bool {
	return slices.ContainsFunc(g.servicesOf(now, t), func(service string) bool { return s.AwaitsZoneDrains(now, service) })
}

// shareStreams tells other routers of the running streams that need records since a service has got another version, or
// routes have changed, and returns their number.
func (g *Gateway) shareStreams(s *balance.State, now time.Time) int {
	list := s.TakeNewlyMixed(now)
	g.recordStreams(now, list, true)
	return len(list)
}

func (g *Gateway) recordStreams(now time.Time, list []balance.Stream, shared bool) {
	if len(list) == 0 {
		return
	}
	for _, b := range list {
		g.logBeginning(b)
		k := streamversion.KeyOf(b.ID)
		if b.Corrected {
			g.streams.Correct(now, k, b.Version)
			continue
		}
		g.streams.Begin(now, streamversion.Record{Key: k, Version: b.Version}, shared)
	}
	g.sendStreamVersions(g.streams.TakePrompt())
	g.streamStore.StoreRecords(now)
	g.tickEarlier(now)
}

// logBeginning writes a line of a stream that has begun here and needs a record. That of its answer comes too late if this
// router is lost.
func (g *Gateway) logBeginning(b balance.Stream) {
	if !b.Begins || g.LogFull != nil && g.LogFull() {
		return
	}
	version := b.Version
	if version == streamversion.Unknown {
		version = ""
	}
	g.Log.Info("stream began", "id", b.ID, "version", version, "service", b.Service)
}

// handleStreamVersions handles another router's message about versions of streams.
func (g *Gateway) handleStreamVersions(s *balance.State, now time.Time, from member.Member, m message.StreamVersions) {
	if len(m.Stored) > 0 || m.StoredAt > 0 {
		g.streamStore.SetStored(s, now, m.StoredAt, m.Stored)
	}
	g.streams.Receive(now, from.Peer, m.Message)
	if len(m.Asked) > 0 {
		g.sendStreamVersions(g.streams.Take())
	}
	g.streamStore.StoreRecords(now)
	g.tickEarlier(now)
}

// tickStreams ends lookups in time, sends what has come together since the last tick, and stores what is
// to outlive all routers.
func (g *Gateway) tickStreams(s *balance.State, now time.Time) {
	g.noteStandstill(now)
	g.streams.Tick(now)
	g.sendStreamVersions(g.streams.Take())
	g.streamStore.Tick(s, now)
}

func (g *Gateway) sendStreamVersions(list []streamversion.Outgoing) {
	for _, o := range list {
		g.sendTo(member.Member{Peer: o.To}, message.StreamVersions{Message: o.Message})
	}
}
