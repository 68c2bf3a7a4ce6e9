// Package configsync keeps a router's configuration equal to the platform's
// objects. It applies each object's versions in order and never goes back to
// an older one; while the platform is out, what is known stays in force.
//
// A few routers of each availability zone watch the platform and pass changes
// on to the others there. A router that hears of a newer revision than its
// own and does not get it asks whoever has it; so does one that starts while
// the platform is out, or that meets an object it cannot use.
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
	// watchersPerZone is the number of routers of a zone that watch.
	watchersPerZone = 2
	// watchKey ranks the routers for watching.
	watchKey = "configuration watch"
	// watchWait is how long one watch waits for a change.
	watchWait = 20 * time.Second
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 200 * time.Millisecond
	maxRetry = 10 * time.Second
	// behind is for how long a router that heard of a newer revision waits
	// for it before it asks, and between two questions.
	behind = time.Second
	// check is how often roles are worked out.
	check = 500 * time.Millisecond
	// batch is the most objects in one message.
	batch = 200
	// mailbox is the number of events that may wait.
	mailbox = 256
)

// Options are the parts a Syncer is made of.
type Options struct {
	Platform port.Platform
	Self     member.Member
	// Apply is called with each newer configuration.
	Apply func(config.Snapshot)
	// Live returns the routers alive, this one included.
	Live func() []member.Member
	// Send sends a message to another router.
	Send func(to member.Member, m message.Message)
	Log  logr.Logger
}

// Syncer follows the configuration. Use New to make one.
type Syncer struct {
	options  Options
	events   chan func(now time.Time)
	snapshot config.Snapshot
	// applied is set once a configuration has been applied.
	applied  bool
	watching atomic.Bool
	revision atomic.Uint64
	// heard is the newest revision heard of, and since when it is newer.
	heard      uint64
	heardSince time.Time
	asked      time.Time
	// lacking is set while an object is missing: the platform's version of it
	// cannot be used, and this router holds no earlier one.
	lacking  atomic.Bool
	invalid  atomic.Int64
	failures atomic.Int64
	passedOn atomic.Int64
}

// New returns a syncer.
func New(o Options) *Syncer {
	s := &Syncer{options: o, events: make(chan func(time.Time), mailbox)}
	s.watching.Store(true)
	return s
}

// Run follows changes until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	g := group.New(ctx)
	defer g.Stop()
	g.GoContext(s.watch)
	ticker := time.NewTicker(check)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			e(clock.Now())
		case now := <-ticker.C:
			s.assume(now)
		}
	}
}

// do queues an event; when too many wait it is dropped, since what is heard
// once is heard again.
func (s *Syncer) do(e func(now time.Time)) {
	select {
	case s.events <- e:
	default:
	}
}

// Receive takes in a message from another router.
func (s *Syncer) Receive(from member.Member, m message.Message) {
	switch m := m.(type) {
	case message.Objects:
		s.do(func(time.Time) { s.objects(m) })
	case message.Want:
		s.do(func(time.Time) { s.answer(from, m.Since) })
	case message.Report:
		if m.Revision > s.revision.Load() || s.lacking.Load() {
			s.do(func(now time.Time) { s.hear(from, m.Revision, now) })
		}
	}
}

// assume works out whether this router watches. It does while it has no
// configuration, and while it is the only one it knows of.
func (s *Syncer) assume(time.Time) {
	watchers := member.TopInZone(watchersPerZone, watchKey, s.options.Self.Zone, s.options.Live())
	s.watching.Store(!s.applied || len(watchers) == 0 || has(watchers, s.options.Self.ID))
}

func has(members []member.Member, id message.RouterID) bool {
	return slices.ContainsFunc(members, func(m member.Member) bool { return m.ID == id })
}

// watch calls the platform while it is this router's turn.
func (s *Syncer) watch(ctx context.Context) {
	pause := minRetry
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if !s.watching.Load() {
			s.sleep(ctx, check)
			continue
		}
		since := s.revision.Load()
		changes, err := s.options.Platform.Changes(ctx, since, wait)
		if err == nil {
			s.took(ctx, since, changes)
			pause, wait = minRetry, watchWait
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.failures.Add(1)
		s.options.Log.V(1).Info("platform does not answer", "cause", err.Error())
		s.sleep(ctx, pause)
		pause = min(2*pause, maxRetry)
	}
}

// took hands changes to the syncer's goroutine and waits for it, so that the
// next watch begins after them.
func (s *Syncer) took(ctx context.Context, since uint64, changes port.Changes) {
	done := make(chan struct{})
	select {
	case <-ctx.Done():
		return
	case s.events <- func(time.Time) {
		s.take(since, changes)
		s.passOn(since, changes)
		close(done)
	}:
	}
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// sleep pauses for between half of d and d, so that routers that lost the
// platform together do not come back to it together.
func (s *Syncer) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// take applies objects that are complete from revision since on.
func (s *Syncer) take(since uint64, changes port.Changes) {
	s.lacking.Store(false)
	next := s.snapshot.WithAll(changes.Objects, func(o port.Object, err error) {
		s.invalid.Add(1)
		if !s.snapshot.Has(o.Kind, o.Name) {
			s.lacking.Store(true)
		}
		s.options.Log.Error(err, "object left out; the last good one stays in force")
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

// passOn sends changes to the routers of the zone that do not watch.
func (s *Syncer) passOn(since uint64, changes port.Changes) {
	if len(changes.Objects) == 0 || since == 0 {
		return
	}
	live := s.options.Live()
	watchers := member.TopInZone(watchersPerZone, watchKey, s.options.Self.Zone, live)
	for _, m := range live {
		if m.ID == s.options.Self.ID || m.Zone != s.options.Self.Zone || has(watchers, m.ID) {
			continue
		}
		s.passedOn.Add(1)
		s.send(m, since, s.snapshot.Since(since))
	}
}

// send sends objects in batches; only the last one completes the revision.
func (s *Syncer) send(to member.Member, since uint64, objects []port.Object) {
	for {
		n := min(len(objects), batch)
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

// objects takes in what another router sent.
func (s *Syncer) objects(m message.Objects) {
	changes := port.Changes{Revision: m.Revision}
	for _, body := range m.Objects {
		var o port.Object
		if err := json.Unmarshal(body, &o); err != nil {
			s.invalid.Add(1)
			continue
		}
		changes.Objects = append(changes.Objects, o)
	}
	s.take(m.Since, changes)
}

func (s *Syncer) answer(to member.Member, since uint64) {
	if s.applied {
		s.send(to, since, s.snapshot.Since(since))
	}
}

// hear notes that another router has a newer revision, and asks it after a
// while. A router without a configuration, or lacking a part of it, asks at once
// and for everything.
func (s *Syncer) hear(from member.Member, revision uint64, now time.Time) {
	all := !s.applied || s.lacking.Load()
	if !all && revision <= s.snapshot.Revision {
		return
	}
	if revision > s.heard {
		s.heard, s.heardSince = revision, now
	}
	if now.Sub(s.asked) < behind || !all && now.Sub(s.heardSince) < behind {
		return
	}
	s.asked = now
	since := s.snapshot.Revision
	if all {
		since = 0
	}
	s.options.Send(from, message.Want{Since: since})
}

// Stats are running totals.
type Stats struct {
	// Invalid is the number of objects left out because they were invalid.
	Invalid int64 `json:"invalid"`
	// Failures is the number of calls that the platform did not answer.
	Failures int64 `json:"failures"`
	// PassedOn is the number of times changes were sent to another router.
	PassedOn int64 `json:"passed_on"`
	// Watching is set while this router watches the platform.
	Watching bool `json:"watching"`
}

// Stats returns the totals since the start.
func (s *Syncer) Stats() Stats {
	return Stats{
		Invalid: s.invalid.Load(), Failures: s.failures.Load(),
		PassedOn: s.passedOn.Load(), Watching: s.watching.Load(),
	}
}
