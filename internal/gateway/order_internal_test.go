package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// plainRollouts decodes roll-outs from JSON and records nothing.
type plainRollouts struct{}

func (plainRollouts) Decode(o message.StoredObject) (rollout.Order, error) {
	var order rollout.Order
	err := json.Unmarshal(o.Value, &order)
	order.Revision = o.Revision
	return order, err
}

func (plainRollouts) Record(rollout.Decision) bool { return true }

// newFollower returns a configured router that keeps all kinds of records.
func newFollower(t *testing.T) *Gateway {
	t.Helper()
	n := started.Add(1)
	g, err := New(context.Background(), Options{
		ID: fmt.Sprint("f", n), Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Incarnation: n, Codec: jsonCodec{},
		StreamStore: make(savedVersions, 100), RolloutStore: plainRollouts{}, Log: logr.Discard(), Metrics: counters.New(),
		Limits: balance.Limits{RetryWindow: 10 * time.Second, QuotaWindow: 4 * time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	g.SetConfig(7, []byte(`{"Version":1,"Services":[{"Name":"s"}]}`))
	waitReady(t, g, true)
	return g
}

// storedValue returns an object of the store.
func storedValue(t *testing.T, name string, revision int64, value any) message.StoredObject {
	t.Helper()
	b, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return message.StoredObject{Name: name, Revision: revision, Value: b}
}

// listOf returns a complete list of stored objects.
func listOf(revision int64, list ...message.StoredObject) message.StoredObjects {
	return message.StoredObjects{Revision: revision, List: list}
}

// believed is what a router believes of what messages say.
type believed func(g *Gateway, s *balance.State, now time.Time) string

// inOrders plays a message and a newer one in all orders in which they may arrive, also twice. What must be believed
// after each is what the newer one says.
func inOrders(t *testing.T, base []message.Message, older, newer message.Message, believes believed, want string) {
	t.Helper()
	for name, list := range map[string][]message.Message{
		"newer": {newer}, "newer twice": {newer, newer}, "older, newer": {older, newer}, "newer, older": {newer, older},
		"newer, older twice": {newer, older, older}, "older, newer, older": {older, newer, older}, "newer, older, newer": {newer, older, newer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newFollower(t)
			from := member.Member{ID: "other", Zone: "z", Peer: "127.0.0.1:1"}
			for _, m := range slices.Concat(base, list) {
				g.receive(from, m)
			}
			got := ""
			g.loop.PostAndWait(t.Context(), func(s *balance.State, now time.Time) { got = believes(g, s, now) })
			if got != want {
				t.Errorf("believed %q, want %q", got, want)
			}
		})
	}
}

// TestLateMessage guards against routers that go back to what was the case before, as an older message of another
// router arrives after a newer one, or a second time.
func TestLateMessage(t *testing.T) {
	target := balance.Target{ID: "e", Service: "s", Zone: "z", Slots: 1, Address: "127.0.0.1:1", Version: "v1", Born: 5}
	with := func(change func(t *balance.Target)) balance.Target {
		changed := target
		change(&changed)
		return changed
	}
	targets := func(revision int64, list ...balance.Target) message.Copy {
		out := message.StoredObjects{Revision: revision}
		for _, e := range list {
			out.List = append(out.List, storedValue(t, e.ID, revision, e))
		}
		return message.Copy{Targets: out}
	}
	order := func(revision int64, state rollout.State) message.Copy {
		o := rollout.Order{Service: "s", Version: "v2", Duration: time.Hour, State: state}
		return message.Copy{Rollouts: listOf(revision, storedValue(t, "s", revision, o))}
	}
	stored := func(at int64, versions ...string) message.StreamVersions {
		m := streamversion.Message{StoredAt: at}
		for _, v := range versions {
			m.Stored = append(m.Stored, streamversion.ServiceVersion{Service: "s", Version: v})
		}
		return message.StreamVersions{Message: m}
	}
	record := func(version string, corrections uint32) message.StreamVersions {
		r := streamversion.Record{Key: streamversion.KeyOf("k"), Version: version, Corrections: corrections}
		return message.StreamVersions{Message: streamversion.Message{Records: []streamversion.Record{r}}}
	}
	crash := func(cleared bool) message.Quarantine {
		r := quarantine.Record{Key: quarantine.KeyOf("o", "POST", "/x", nil), Organisation: "o", Crashes: []quarantine.Crash{{Target: "a", Cleared: cleared}, {Target: "b"}}}
		return message.Quarantine{Records: []quarantine.Record{r}}
	}
	router := func(version uint64, state message.RouterState, leaving bool) message.Ping {
		other := message.RouterRecord{ID: "third", Zone: "z", Peer: "127.0.0.1:2", Incarnation: 9, Version: version, State: state, Leaving: leaving}
		return message.Ping{Kind: message.PingNotice, Records: []message.RouterRecord{other}, From: message.RouterRecord{ID: "other", Zone: "z", Peer: "127.0.0.1:1", Incarnation: 1, Version: 1}}
	}
	restarted := func(incarnation, version uint64, leaving bool) message.Ping {
		m := router(version, message.Alive, leaving)
		m.Records[0].Incarnation = incarnation
		return m
	}
	unstored := func(_ *Gateway, s *balance.State, now time.Time) string {
		s.SetTargets(now, []balance.Target{targetOf("s", "v1"), targetOf("s", "v2")})
		if first, _ := s.UnstoredSince(); !first.IsZero() {
			return "not stored"
		}
		return "stored"
	}
	version := func(g *Gateway, _ *balance.State, now time.Time) string {
		got := "nothing"
		g.streams.Lookup(now, streamversion.KeyOf("k"), func(a streamversion.Answer) { got = a.Version })
		return got
	}
	// rest tells whether the rest of a stream may be sent to a version.
	rest := func(v string) believed {
		return func(_ *Gateway, s *balance.State, now time.Time) string {
			k := &balance.Ticket{
				ID: "r", Service: "s", Organisation: "o", Stream: true, StreamID: "r", Version: balance.OnlyVersion(v),
				Goal: time.Second, Arrived: now, Deadline: now.Add(time.Second), Decision: make(chan balance.Decision, 1),
			}
			s.Arrive(now, k)
			select {
			case d := <-k.Decision:
				if d.Target.ID != "" {
					return "sent"
				}
			default:
				s.Withdraw(k)
			}
			return "not sent"
		}
	}
	ended := func(incarnation, version string, writes, revision int64) message.TargetExits {
		return message.TargetExits{Ended: []message.TargetProcess{{Incarnation: incarnation, Version: version, Writes: writes, Revision: revision}}}
	}
	// afterEntry tells what is believed once the entry of v2 is read, if it has not been.
	afterEntry := func(revision, born, writes int64, b believed) believed {
		return func(g *Gateway, s *balance.State, now time.Time) string {
			e := with(func(t *balance.Target) { t.Born, t.Writes, t.Version = born, writes, "v2" })
			changed := g.catalog.SetTargets(now, revision, []message.StoredObject{storedValue(t, "e", revision, e)})
			g.targetsChanged(s, now, changed, sourceStore)
			return b(g, s, now)
		}
	}
	thirdRouter := func(g *Gateway, _ *balance.State, now time.Time) string {
		for r := range g.roster.Each(now) {
			if r.ID == "third" {
				return r.State.String()
			}
		}
		return "not listed"
	}
	const era = int64(1) << 40
	for name, c := range map[string]struct {
		base         []message.Message
		older, newer message.Message
		believes     believed
		want         string
	}{
		"record of a stream, corrected":   {older: record("v1", 0), newer: record(streamversion.Unknown, 1), believes: version, want: streamversion.Unknown},
		"record of a stream, known later": {older: record(streamversion.Unknown, 0), newer: record("v2", 1), believes: version, want: "v2"},
		"stored versions, one has left":   {older: stored(10, "v1", "v2"), newer: stored(11, "v1"), believes: unstored, want: "not stored"},
		"stored versions, one has come":   {older: stored(10, "v1"), newer: stored(11, "v1", "v2"), believes: unstored, want: "stored"},
		"stored versions, one has come, listed": {
			base:  []message.Message{targets(10, targetOf("s", "v1"), targetOf("s", "v2"))},
			older: stored(10, "v1"), newer: stored(11, "v1", "v2"), believes: unstored, want: "stored",
		},
		"stored versions, one has left and is back": {
			base:  []message.Message{targets(10, targetOf("s", "v1"), targetOf("s", "v2"))},
			older: stored(10, "v1", "v2"), newer: stored(11, "v1"), believes: unstored, want: "not stored",
		},
		"stored versions, of an older era": {older: stored(50, "v1", "v2"), newer: stored(era|3, "v1"), believes: unstored, want: "not stored"},
		"end of a process, before its next": {
			base: []message.Message{targets(10, target)}, older: ended("e@5", "v1", 0, 10),
			newer: targets(11, with(func(t *balance.Target) { t.Born, t.Version = 6, "v2" })), believes: rest("v2"), want: "sent",
		},
		"end of a process that does not tell its start, before its next": {
			base:  []message.Message{targets(10, with(func(t *balance.Target) { t.Born, t.Writes = 0, 3 }))},
			older: ended("e", "v1", 3, 10), newer: targets(11, with(func(t *balance.Target) { t.Born, t.Writes, t.Version = 0, 1, "v2" })),
			believes: rest("v2"), want: "sent",
		},
		"entry of a process, before its end": {
			base: []message.Message{targets(10, target)}, older: targets(11, with(func(t *balance.Target) { t.Born, t.Version = 6, "v2" })),
			newer: ended("e@6", "v2", 0, 11), believes: afterEntry(11, 6, 0, rest("v2")), want: "not sent",
		},
		"entry of a process that does not tell its start, before its end": {
			base:  []message.Message{targets(10, with(func(t *balance.Target) { t.Born, t.Writes = 0, 3 }))},
			older: targets(11, with(func(t *balance.Target) { t.Born, t.Writes, t.Version = 0, 1, "v2" })),
			newer: ended("e", "v2", 1, 11), believes: afterEntry(11, 0, 1, rest("v2")), want: "not sent",
		},
		"target, another process": {
			older: targets(10, target), newer: targets(11, with(func(t *balance.Target) { t.Born, t.Version = 6, "v2" })),
			believes: rest("v2"), want: "sent",
		},
		"target, leaving": {
			older: targets(10, target), newer: targets(11, with(func(t *balance.Target) { t.Leaving = true })), want: "1 of 1 leaving",
			believes: func(_ *Gateway, s *balance.State, _ time.Time) string {
				all, leaving := s.CountTargets()
				return fmt.Sprintf("%d of %d leaving", leaving, all)
			},
		},
		"target, removed": {
			older: targets(10, target), newer: targets(11), want: "0 targets",
			believes: func(_ *Gateway, s *balance.State, _ time.Time) string {
				all, _ := s.CountTargets()
				return fmt.Sprint(all, " targets")
			},
		},
		"drained zones": {
			older: message.Copy{Zones: listOf(10, storedValue(t, "y", 10, 0))}, newer: message.Copy{Zones: listOf(11, storedValue(t, "z", 11, 0))}, want: "[z]",
			believes: func(g *Gateway, _ *balance.State, _ time.Time) string { return fmt.Sprint(g.catalog.DrainedZones()) },
		},
		"drained zones, none any longer": {
			older: message.Copy{Zones: listOf(10, storedValue(t, "y", 10, 0))}, newer: message.Copy{Zones: listOf(11)}, want: "[]",
			believes: func(g *Gateway, _ *balance.State, _ time.Time) string { return fmt.Sprint(g.catalog.DrainedZones()) },
		},
		"roll-out, rolled back": {
			older: order(10, rollout.Serving), newer: order(11, rollout.RolledBack), want: string(rollout.RolledBack),
			believes: func(g *Gateway, _ *balance.State, _ time.Time) string { return string(g.rollouts.Phases()["s"]) },
		},
		"configuration": {
			older: message.Copy{ConfigRevision: 8, Config: []byte(`{"Version":2}`)}, newer: message.Copy{ConfigRevision: 9, Config: []byte(`{"Version":3}`)}, want: "3",
			believes: func(g *Gateway, _ *balance.State, _ time.Time) string { return fmt.Sprint(g.catalog.Table().Version()) },
		},
		"request held back, cleared of a crash": {
			older: crash(false), newer: crash(true), want: "1",
			believes: func(g *Gateway, _ *balance.State, _ time.Time) string {
				return fmt.Sprint(g.suspects.View().Crashes(quarantine.KeyOf("o", "POST", "/x", nil)))
			},
		},
		"router, leaving":               {older: router(1, message.Alive, false), newer: router(2, message.Alive, true), believes: thirdRouter, want: "not listed"},
		"router, suspicion refuted":     {older: router(1, message.Suspected, false), newer: router(2, message.Alive, false), believes: thirdRouter, want: "alive"},
		"router, suspected":             {older: router(1, message.Alive, false), newer: router(1, message.Suspected, false), believes: thirdRouter, want: "suspected"},
		"router, started again":         {older: restarted(9, 5, true), newer: restarted(10, 1, false), believes: thirdRouter, want: "alive"},
		"router, found gone, then back": {older: router(1, message.Gone, false), newer: router(2, message.Alive, false), believes: thirdRouter, want: "alive"},
	} {
		t.Run(name, func(t *testing.T) { inOrders(t, c.base, c.older, c.newer, c.believes, c.want) })
	}
}

// TestLateReportIsReplaced guards against what a late report of a router says that stays: reports have no order, so that
// an older one counts until the next, or until it is too old.
func TestLateReportIsReplaced(t *testing.T) {
	status := func(running int) message.Status {
		return message.Status{
			Loads:          []message.TargetLoad{{Target: "e", Running: running}},
			RolloutResults: []rollout.Results{{Service: "s", Version: "v2", New: rollout.Counts{Answers: running}}},
		}
	}
	load := func(running int) message.Loads { return message.Loads{Loads: status(running).Loads} }
	for name, c := range map[string]struct {
		list  []message.Message
		after time.Duration
		// running is the number of requests that are believed to run, and answered that of answers in a roll-out.
		running, answered int
	}{
		"reports":                  {list: []message.Message{status(7), status(5), status(9)}, running: 9, answered: 9},
		"twice":                    {list: []message.Message{status(9), status(9)}, running: 9, answered: 9},
		"loads between reports":    {list: []message.Message{status(7), load(8), load(5), status(9)}, running: 9, answered: 9},
		"loads of a later report":  {list: []message.Message{load(5), status(9)}, running: 9, answered: 9},
		"no report for a while":    {list: []message.Message{status(7), status(5)}, after: 2 * time.Second},
		"an older one, not yet":    {list: []message.Message{status(9), status(7)}, running: 7, answered: 7},
		"loads of an older report": {list: []message.Message{status(9), load(7)}, running: 7, answered: 9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newFollower(t)
			from := member.Member{ID: "other", Zone: "z", Peer: "127.0.0.1:1"}
			g.receive(from, message.Ping{Kind: message.PingNotice, From: message.RouterRecord{ID: from.ID, Zone: "z", Peer: from.Peer, Incarnation: 1, Version: 1}})
			for _, m := range c.list {
				g.receive(from, m)
			}
			var sum message.Status
			g.loop.PostAndWait(t.Context(), func(_ *balance.State, now time.Time) { sum = g.reports.Sum(now.Add(c.after)) })
			running, answered := 0, 0
			for _, l := range sum.Loads {
				running += l.Running
			}
			for _, r := range sum.RolloutResults {
				answered += r.New.Answers
			}
			if running != c.running || answered != c.answered {
				t.Errorf("%d running, %d answered, want %d and %d", running, answered, c.running, c.answered)
			}
		})
	}
}

// TestLookupAfterStandstill guards against a stream that goes on at a version that was corrected while this router's
// process stood still: the word of it waits in the kernel, beside the caller's request.
func TestLookupAfterStandstill(t *testing.T) {
	record := func(version string, corrections uint32) message.StreamVersions {
		r := streamversion.Record{Key: streamversion.KeyOf("k"), Version: version, Corrections: corrections}
		return message.StreamVersions{Message: streamversion.Message{Records: []streamversion.Record{r}}}
	}
	for name, c := range map[string]struct {
		// stands makes the router have stood still, told is what other routers told meanwhile.
		stands func(g *Gateway, s *balance.State, now time.Time)
		told   []message.StreamVersions
		want   streamversion.Answer
	}{
		"corrected meanwhile": {
			stands: func(g *Gateway, _ *balance.State, now time.Time) { g.nextTick = now.Add(-5 * time.Second) },
			told:   []message.StreamVersions{record(streamversion.Unknown, 1)}, want: streamversion.Answer{Confirmed: true},
		},
		"told once more, then corrected": {
			stands: func(g *Gateway, _ *balance.State, now time.Time) { g.nextTick = now.Add(-5 * time.Second) },
			told:   []message.StreamVersions{record("v1", 0), record(streamversion.Unknown, 1)}, want: streamversion.Answer{Confirmed: true},
		},
		"corrected while the box was suspended": {
			stands: func(g *Gateway, s *balance.State, now time.Time) { g.resume(s, now, 500*time.Millisecond) },
			told:   []message.StreamVersions{record(streamversion.Unknown, 1)}, want: streamversion.Answer{Confirmed: true},
		},
		"nothing told": {
			stands: func(g *Gateway, _ *balance.State, now time.Time) { g.nextTick = now.Add(-5 * time.Second) },
			want:   streamversion.Answer{Version: "v1", Known: true, Evidence: streamversion.EvidenceRecord},
		},
		"did not stand still": {
			stands: func(*Gateway, *balance.State, time.Time) {},
			want:   streamversion.Answer{Version: "v1", Known: true, Evidence: streamversion.EvidenceRecord},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newFollower(t)
			from := member.Member{ID: "other", Zone: "z", Peer: "127.0.0.1:1"}
			g.receive(from, record("v1", 0))
			answers := make(chan streamversion.Answer, 1)
			g.loop.PostAndWait(t.Context(), func(s *balance.State, now time.Time) {
				c.stands(g, s, now)
				g.records.LookUp(s, now, forward.TakeUp{Service: "s", Stream: "k"}, answers)
			})
			for _, m := range c.told {
				g.receive(from, m)
			}
			select {
			case got := <-answers:
				if got != c.want {
					t.Errorf("got %+v, want %+v", got, c.want)
				}
			case <-time.After(2 * time.Second):
				t.Error("no answer")
			}
		})
	}
}
