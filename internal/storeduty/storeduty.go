// Package storeduty tells what a router should read from the platform's store, whether it should watch it, and how recent
// its copy is, for logs and metrics.
package storeduty

import (
	"iter"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/freshness"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/storewatch"
)

// Catalog has this router's copy of the store. It is implemented by catalog.Catalog.
type Catalog interface {
	// Table returns the configuration in force, nil if there is none.
	Table() *routing.Table
	TargetsRevision() int64
	Complete() message.Revisions
}

// Fleet has the routers of the fleet.
type Fleet interface {
	// Running returns the routers that are running and not leaving, this one included.
	Running(now time.Time) iter.Seq[message.RouterRecord]
	LastHeard() time.Time
	// Leaving reports whether this router is leaving.
	Leaving() bool
}

// Options are what a monitor is made of.
type Options struct {
	Catalog Catalog
	Copies  *freshness.Tracker
	Watch   *storewatch.Watch
	Fleet   Fleet
	Log     logr.Logger
}

// Monitor tells a router's duty and logs the state of its copy. Use New to make one. It belongs to the control goroutine.
type Monitor struct {
	Options
	// oldSince has the times since when the copies of the kinds have been too old, as logged last, zero for those that
	// are not, and watching is whether this router watches the store.
	oldSince [message.StoreKindCount]time.Time
	watching bool
}

// New returns a monitor of a router that does not watch the store yet.
func New(o Options) *Monitor { return &Monitor{Options: o} }

// ShouldWatch reports whether this router should watch the store: it ranks among the first
// of the running routers, or of those that reach the store. A router that knows no other running
// one ranks first.
func (m *Monitor) ShouldWatch(now time.Time) bool {
	uninformed := m.Catalog.Table() == nil || m.Catalog.TargetsRevision() == 0
	return m.Watch.Should(now, m.Fleet.Running(now), uninformed, m.Fleet.Leaving())
}

// Duty returns what this router should read from the store.
func (m *Monitor) Duty(now time.Time) freshness.Duty {
	watch := m.ShouldWatch(now)
	rank := m.Watch.LastRank()
	duty := freshness.Duty{Watch: watch, Phase: rank.Phase(), Few: rank.Running < storewatch.WatcherCount}
	if m.Catalog.Table() == nil {
		return duty
	}
	for kind := range message.StoreKindCount {
		due, ok := m.readDue(now, kind, duty.Watch)
		duty.Read[kind] = ok && !now.Before(due)
	}
	return duty
}

// readDue returns when this router should read a kind from the store unless its copy is confirmed
// before, or false if it never should.
func (m *Monitor) readDue(now time.Time, kind message.StoreKind, watches bool) (time.Time, bool) {
	return m.Copies.ReadDue(kind, m.Catalog.Complete(), freshness.Position{
		Rank: m.Watch.Rank(now, m.Fleet.Running(now)).Zone, LastHeard: m.Fleet.LastHeard(), Watches: watches,
	})
}

// NextRead returns when the next kind is due to be read after now, or latest if that is earlier.
func (m *Monitor) NextRead(now, latest time.Time) time.Time {
	for kind := range message.StoreKindCount {
		if read, ok := m.readDue(now, kind, m.watching); ok && read.After(now) && read.Before(latest) {
			latest = read
		}
	}
	return latest
}

// Tick logs what has changed, and returns this router's duty.
func (m *Monitor) Tick(now time.Time) freshness.Duty {
	duty := m.Duty(now)
	m.logWatch(now, duty.Watch)
	m.logCopies(now)
	return duty
}

// logCopies logs which copies have become too old, and which are recent again.
func (m *Monitor) logCopies(now time.Time) {
	for kind := range message.StoreKindCount {
		age, source := m.Copies.Age(now, kind)
		oldSince := &m.oldSince[kind]
		old := m.Copies.Follows(kind) && age > m.Copies.Limit(kind)
		if old == !oldSince.IsZero() {
			continue
		}
		at := m.Catalog.Complete().OfKind(kind)
		if old {
			*oldSince = now
			m.Log.Info("copy of the store is old", "what", kind.String(), "age_ms", age.Milliseconds(), "confirmed_by", source,
				"era", revision.Era(at), "revision", revision.Store(at), "watches", m.watching)
			continue
		}
		m.Log.Info("copy of the store is recent", "what", kind.String(), "age_ms", age.Milliseconds(), "confirmed_by", source,
			"era", revision.Era(at), "revision", revision.Store(at), "after_ms", now.Sub(*oldSince).Milliseconds())
		*oldSince = time.Time{}
	}
}

// logWatch logs whether this router watches the store if that has changed.
func (m *Monitor) logWatch(now time.Time, watches bool) {
	if watches == m.watching {
		return
	}
	m.watching = watches
	what := "watch of the store begins"
	if !watches {
		what = "watch of the store ends"
	}
	age, source := m.Copies.Age(now, message.StoreConfig)
	m.Log.Info(what, "rank", m.Watch.LastRank().Live, "rank_reaching", m.Watch.LastRank().Reaching,
		"reaches_it", m.Watch.Reaches(now), "routers", m.Watch.LastRank().Running, "config_age_ms", age.Milliseconds(), "confirmed_by", source)
}

// Metrics describes the copy of one kind.
type Metrics struct {
	Era         int64  `json:"era"`
	Revision    int64  `json:"revision"`
	AgeMS       int64  `json:"age_ms"`
	ConfirmedBy string `json:"confirmed_by"`
}

// Metrics returns the metrics of the copies of all kinds that the router follows.
func (m *Monitor) Metrics(now time.Time) map[string]Metrics {
	out := map[string]Metrics{}
	for kind := range message.StoreKindCount {
		if !m.Copies.Follows(kind) {
			continue
		}
		age, source := m.Copies.Age(now, kind)
		at := m.Catalog.Complete().OfKind(kind)
		out[kind.String()] = Metrics{Era: revision.Era(at), Revision: revision.Store(at), AgeMS: age.Milliseconds(), ConfirmedBy: source}
	}
	return out
}
