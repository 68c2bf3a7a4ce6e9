// Package configsync keeps a router's configuration in sync with the platform's objects. It
// never replaces a version of an object by an older one. While the platform is unavailable, the
// last known configuration stays in force.
//
// A few routers of each availability zone watch the platform and forward changes to the other
// routers of the zone. A router requests the missing objects from a peer if the peer reports a
// newer revision that does not arrive, if it starts while the platform is unavailable, or if it
// received an invalid object and has no earlier version of it.
package configsync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/port"
)

const (
	// watchersPerZone is the number of routers of a zone that watch the platform.
	watchersPerZone = 2
	// watchKey is the rendezvous hashing key by which a zone's watchers are selected.
	watchKey = "configuration watch"
	// watchWait is how long the platform keeps one watch request waiting for a change.
	watchWait = 20 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls to the platform.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 10 * time.Second
	// catchUpDelay is how long a router waits for a newer revision to arrive before it requests
	// the missing objects from a peer, and the minimum interval between two such requests.
	catchUpDelay = time.Second
	// roleCheckInterval is how often a router decides whether it is a watcher.
	roleCheckInterval = 500 * time.Millisecond
	// maxObjectsPerMessage bounds the objects in one message to a peer.
	maxObjectsPerMessage = 200
	// eventQueueSize is the capacity of the syncer's event queue; further events are dropped.
	eventQueueSize = 256
)

// Options are the dependencies of a Syncer.
type Options struct {
	Platform port.Platform
	Self     member.Member
	// Apply is called with the configuration after each change.
	Apply func(config.Snapshot)
	// Live returns the routers that are alive, including this one.
	Live func() []member.Member
	// Send sends a message to another router.
	Send func(to member.Member, m message.Message)
	Log  logr.Logger
}

// Syncer keeps the configuration in sync. Create one with New. A single goroutine, in Run, owns
// the fields that are not atomic; other goroutines send it events.
type Syncer struct {
	options  Options
	events   chan func(now time.Time)
	snapshot config.Snapshot
	// applied is set once a configuration has been applied.
	applied  bool
	watching atomic.Bool
	revision atomic.Uint64
	// announced is the newest revision that a peer has reported, first seen at announcedAt.
	announced   uint64
	announcedAt time.Time
	lastWant    time.Time
	// incomplete is set while an object is missing because its only known version is invalid.
	incomplete atomic.Bool
	invalid    atomic.Int64
	failures   atomic.Int64
	forwarded  atomic.Int64
}

// New returns a syncer; Run starts it.
func New(o Options) *Syncer {
	s := &Syncer{options: o, events: make(chan func(time.Time), eventQueueSize)}
	s.watching.Store(true)
	return s
}

// Run applies changes until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	g := group.New(ctx)
	defer g.Stop()
	g.GoContext(s.watch)
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			e(clock.Now())
		case now := <-ticker.C:
			s.updateRole(now)
		}
	}
}

// enqueue queues an event for Run. If the queue is full it drops the event: peers repeat their
// reports, so a missed revision is noticed again.
func (s *Syncer) enqueue(e func(now time.Time)) {
	select {
	case s.events <- e:
	default:
	}
}

// Receive handles a message from another router. It may be called from any goroutine.
func (s *Syncer) Receive(from member.Member, m message.Message) {
	switch m := m.(type) {
	case message.Objects:
		s.enqueue(func(time.Time) { s.receiveObjects(m) })
	case message.Want:
		s.enqueue(func(time.Time) { s.sendSince(from, m.Since) })
	case message.Report:
		if m.Revision > s.revision.Load() || s.incomplete.Load() {
			s.enqueue(func(now time.Time) { s.noteRevision(from, m.Revision, now) })
		}
	}
}

// updateRole decides whether this router watches the platform: if it is one of its zone's
// watchers, has no configuration yet, or knows no live router in its zone.
func (s *Syncer) updateRole(time.Time) {
	watchers := member.TopInZone(watchersPerZone, watchKey, s.options.Self.Zone, s.options.Live())
	s.watching.Store(!s.applied || len(watchers) == 0 || containsRouter(watchers, s.options.Self.ID))
}

func containsRouter(members []member.Member, id message.RouterID) bool {
	return slices.ContainsFunc(members, func(m member.Member) bool { return m.ID == id })
}

// watch long-polls the platform for changes while this router is a watcher.
func (s *Syncer) watch(ctx context.Context) {
	delay := minRetryDelay
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if !s.watching.Load() {
			s.sleep(ctx, roleCheckInterval)
			continue
		}
		since := s.revision.Load()
		changes, err := s.options.Platform.Changes(ctx, since, wait)
		if err == nil {
			s.submit(ctx, since, changes)
			delay, wait = minRetryDelay, watchWait
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.failures.Add(1)
		s.options.Log.V(1).Info("platform does not answer", "cause", err.Error())
		s.sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// submit passes changes to the goroutine of Run and waits until they are applied, so that the
// next watch request starts from the new revision.
func (s *Syncer) submit(ctx context.Context, since uint64, changes port.Changes) {
	done := make(chan struct{})
	select {
	case <-ctx.Done():
		return
	case s.events <- func(time.Time) {
		s.apply(since, changes)
		s.forward(since, changes)
		close(done)
	}:
	}
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// sleep waits for a random time between d/2 and d, so that routers that lost the platform at the
// same time do not all retry at the same time.
func (s *Syncer) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// apply applies changes that are complete for the revisions after since. The snapshot's revision
// advances only if there is no gap between it and since.
func (s *Syncer) apply(since uint64, changes port.Changes) {
	s.incomplete.Store(false)
	next := s.snapshot.WithObjects(changes.Objects, func(o port.Object, err error) {
		s.invalid.Add(1)
		if !s.snapshot.HasObject(o.Kind, o.Name) {
			s.incomplete.Store(true)
		}
		s.options.Log.Error(err, "invalid object ignored; its last valid version stays in force")
	})
	if since <= next.Revision {
		next = next.WithRevision(changes.Revision)
	}
	invariant.Check(next.Revision >= s.snapshot.Revision, invariant.NeverReverts)
	s.snapshot = next
	s.revision.Store(next.Revision)
	s.applied = true
	s.options.Apply(next)
}

// forward sends changes to the routers of the zone that do not watch.
func (s *Syncer) forward(since uint64, changes port.Changes) {
	if len(changes.Objects) == 0 || since == 0 {
		return
	}
	live := s.options.Live()
	watchers := member.TopInZone(watchersPerZone, watchKey, s.options.Self.Zone, live)
	for _, m := range live {
		if m.ID == s.options.Self.ID || m.Zone != s.options.Self.Zone || containsRouter(watchers, m.ID) {
			continue
		}
		s.forwarded.Add(1)
		s.send(m, since, s.snapshot.ObjectsSince(since))
	}
}

// send sends objects in batches. Only the last batch carries the new revision, so that the
// receiver does not take an incomplete set for complete.
func (s *Syncer) send(to member.Member, since uint64, objects []port.Object) {
	for {
		n := min(len(objects), maxObjectsPerMessage)
		m := message.Objects{Since: since, Revision: s.snapshot.Revision}
		for _, o := range objects[:n] {
			if body, err := json.Marshal(o); err == nil {
				m.Objects = append(m.Objects, body)
			}
		}
		objects = objects[n:]
		if len(objects) > 0 {
			m.Revision = since
		}
		s.options.Send(to, m)
		if len(objects) == 0 {
			return
		}
	}
}

// receiveObjects applies objects from another router.
func (s *Syncer) receiveObjects(m message.Objects) {
	changes := port.Changes{Revision: m.Revision}
	for _, body := range m.Objects {
		var o port.Object
		if err := json.Unmarshal(body, &o); err != nil {
			s.invalid.Add(1)
			continue
		}
		changes.Objects = append(changes.Objects, o)
	}
	s.apply(m.Since, changes)
}

// sendSince answers a peer's request for the objects after a revision.
func (s *Syncer) sendSince(to member.Member, since uint64) {
	if s.applied {
		s.send(to, since, s.snapshot.ObjectsSince(since))
	}
}

// noteRevision records the revision that a peer reported, and requests the missing objects from
// it if they have not arrived within catchUpDelay. A router without a configuration, or with an
// incomplete one, requests all objects immediately.
func (s *Syncer) noteRevision(from member.Member, revision uint64, now time.Time) {
	wantAll := !s.applied || s.incomplete.Load()
	if !wantAll && revision <= s.snapshot.Revision {
		return
	}
	if revision > s.announced {
		s.announced, s.announcedAt = revision, now
	}
	if now.Sub(s.lastWant) < catchUpDelay || !wantAll && now.Sub(s.announcedAt) < catchUpDelay {
		return
	}
	s.lastWant = now
	since := s.snapshot.Revision
	if wantAll {
		since = 0
	}
	s.options.Send(from, message.Want{Since: since})
}

// Stats are counters since the start, and the router's current role.
type Stats struct {
	// Invalid is the number of objects ignored because they were invalid.
	Invalid int64 `json:"invalid"`
	// Failures is the number of calls to the platform that failed.
	Failures int64 `json:"failures"`
	// Forwarded is the number of times changes were forwarded to another router.
	Forwarded int64 `json:"passed_on"`
	// Watching is true while this router watches the platform.
	Watching bool `json:"watching"`
}

// Stats returns the counters since the start.
func (s *Syncer) Stats() Stats {
	return Stats{
		Invalid: s.invalid.Load(), Failures: s.failures.Load(),
		Forwarded: s.forwarded.Load(), Watching: s.watching.Load(),
	}
}
