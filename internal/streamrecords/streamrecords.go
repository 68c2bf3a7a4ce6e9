// Package streamrecords keeps the records of which version of a service began each stream: it makes them, shares them
// with other routers, and looks a stream up that a caller takes up.
package streamrecords

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// Store keeps records for the time after all routers. It is implemented by streamstore.Keeper.
type Store interface {
	// AwaitPast returns a channel that is closed once what the version of a stream without a record depends on has been
	// read, nil if there is nothing to be read.
	AwaitPast(s *balance.State, now time.Time, t forward.TakeUp) <-chan struct{}
	SetStored(s *balance.State, now time.Time, at int64, list []streamversion.ServiceVersion)
	StoreRecords(now time.Time)
	Tick(s *balance.State, now time.Time)
}

// Metrics counts lookups by their answers. It is implemented by counters.Registry.
type Metrics interface{ CountStreamLookup(a streamversion.Answer) }

// Options are what an exchange is made of.
type Options struct {
	Loop    *balance.Loop
	Streams *streamversion.Directory
	Routes  *routehistory.History
	Store   Store
	Metrics Metrics
	// Send sends a message to another router.
	Send func(to member.Member, m message.Message)
	// Wake has Tick called soon, StoodStill reports whether the last call is overdue by so much that this router's process
	// has stood still.
	Wake       func(now time.Time)
	StoodStill func(now time.Time) bool
	// LogFull reports whether a log line about a request would be dropped; nil means never.
	LogFull func() bool
	Log     logr.Logger
}

// Exchange makes records, tells other routers of them and has theirs. Use New to make one. It belongs to the control
// goroutine; any goroutine may call Lookup.
type Exchange struct{ Options }

// New returns an exchange of the records in the directory.
func New(o Options) *Exchange { return &Exchange{Options: o} }

// Lookup implements forward.StreamVersions. It waits for the history of entries to be read if that matters.
func (e *Exchange) Lookup(ctx context.Context, t forward.TakeUp) streamversion.Answer {
	a, answered := e.ask(ctx, t)
	if answered && !a.Known && !a.Confirmed && e.waitPast(ctx, t) {
		a, answered = e.ask(ctx, t)
	}
	if answered {
		e.Metrics.CountStreamLookup(a)
	}
	return a
}

// ask looks a stream up and returns false if ctx is done before there is an answer.
func (e *Exchange) ask(ctx context.Context, t forward.TakeUp) (a streamversion.Answer, answered bool) {
	answers := make(chan streamversion.Answer, 1)
	e.Loop.Post(func(s *balance.State, now time.Time) { e.LookUp(s, now, t, answers) })
	select {
	case a = <-answers:
		return a, true
	case <-ctx.Done():
		return a, false
	}
}

// MaxPastWait bounds the wait for the history of entries. The store answers in milliseconds unless it is slow.
const MaxPastWait = 300 * time.Millisecond

// waitPast waits until the history of entries or configurations that matters for a stream is read, and reports whether it
// is.
func (e *Exchange) waitPast(ctx context.Context, t forward.TakeUp) bool {
	var read <-chan struct{}
	if !e.Loop.PostAndWait(ctx, func(s *balance.State, now time.Time) {
		read = e.Store.AwaitPast(s, now, t)
	}) || read == nil {
		return false
	}
	timer := time.NewTimer(MaxPastWait)
	defer timer.Stop()
	select {
	case <-read:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// LookUp sends the version that began a stream to answers, which has room for it. A stream that
// nobody knows was begun by the only version that the services had at which it may have begun.
func (e *Exchange) LookUp(s *balance.State, now time.Time, t forward.TakeUp, answers chan<- streamversion.Answer) {
	done := func(a streamversion.Answer) {
		if a.Known && a.Version == streamversion.Unknown {
			a = streamversion.Answer{Confirmed: true}
		} else if !a.Known && a.Confirmed {
			if e.Routes.Known(now) {
				a.Version, a.Evidence = s.UnrecordedVersionAmong(now, e.servicesOf(now, t), t.Regions)
			}
			a.Known = a.Evidence != ""
			a.Confirmed = a.Known || !e.awaitsZoneDrains(s, now, t) && e.Store.AwaitPast(s, now, t) == nil
		}
		answers <- a
	}
	if t.Stream == "" {
		done(streamversion.Answer{Confirmed: true})
		return
	}
	e.noteStandstill(now)
	e.Streams.Lookup(now, streamversion.KeyOf(t.Stream), done)
	e.send(e.Streams.Take())
	e.Wake(now)
}

// noteStandstill notes that this router's process has stood still, although its box went on.
func (e *Exchange) noteStandstill(now time.Time) {
	if e.StoodStill(now) {
		e.Streams.Resume(now)
	}
}

// Begun records which version began a stream.
func (e *Exchange) Begun(now time.Time, b balance.Stream, shared bool) {
	e.record(now, []balance.Stream{b}, shared)
}

// servicesOf returns the services at which a stream may have begun.
func (e *Exchange) servicesOf(now time.Time, t forward.TakeUp) []string {
	return e.Routes.Services(now, t.Host, t.Path, t.Stream, t.Service)
}

// awaitsZoneDrains reports whether the version of a stream without a record may be told once the ends of zones' drains
// are known.
func (e *Exchange) awaitsZoneDrains(s *balance.State, now time.Time, t forward.TakeUp) bool {
	return slices.ContainsFunc(e.servicesOf(now, t), func(service string) bool { return s.AwaitsZoneDrains(now, service) })
}

// Share tells other routers of the running streams that need records since a service has got another version, or
// routes have changed, and returns their number.
func (e *Exchange) Share(s *balance.State, now time.Time) int {
	list := s.TakeNewlyMixed(now)
	e.record(now, list, true)
	return len(list)
}

func (e *Exchange) record(now time.Time, list []balance.Stream, shared bool) {
	if len(list) == 0 {
		return
	}
	for _, b := range list {
		e.logBeginning(b)
		k := streamversion.KeyOf(b.ID)
		if b.Corrected {
			e.Streams.Correct(now, k, b.Version)
			continue
		}
		e.Streams.Begin(now, streamversion.Record{Key: k, Version: b.Version}, shared)
	}
	e.send(e.Streams.TakePrompt())
	e.Store.StoreRecords(now)
	e.Wake(now)
}

// logBeginning writes a line of a stream that has begun here and needs a record. That of its answer comes too late if this
// router is lost.
func (e *Exchange) logBeginning(b balance.Stream) {
	if !b.Begins || e.LogFull != nil && e.LogFull() {
		return
	}
	version := b.Version
	if version == streamversion.Unknown {
		version = ""
	}
	e.Log.Info("stream began", "id", b.ID, "version", version, "service", b.Service)
}

// Receive handles another router's message about versions of streams.
func (e *Exchange) Receive(s *balance.State, now time.Time, from member.Member, m message.StreamVersions) {
	if len(m.Stored) > 0 || m.StoredAt > 0 {
		e.Store.SetStored(s, now, m.StoredAt, m.Stored)
	}
	e.Streams.Receive(now, from.Peer, m.Message)
	if len(m.Asked) > 0 {
		e.send(e.Streams.Take())
	}
	e.Store.StoreRecords(now)
	e.Wake(now)
}

// Tick ends lookups in time, sends what has come together since the last tick, and stores what is
// to outlive all routers.
func (e *Exchange) Tick(s *balance.State, now time.Time) {
	e.noteStandstill(now)
	e.Streams.Tick(now)
	e.send(e.Streams.Take())
	e.Store.Tick(s, now)
}

func (e *Exchange) send(list []streamversion.Outgoing) {
	for _, o := range list {
		e.Send(member.Member{Peer: o.To}, message.StreamVersions{Message: o.Message})
	}
}
