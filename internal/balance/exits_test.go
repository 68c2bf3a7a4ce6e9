package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// TestEntryOfEndedProcess guards against streams that are joined from two versions as the entry of a process that
// has ended is taken for that of the one that listens at its address now.
func TestEntryOfEndedProcess(t *testing.T) {
	start := time.Unix(1000, 0)
	target := func(id, version string, born, writes int64) balance.Target {
		return balance.Target{ID: id, Service: "llm", Address: "a:1", Zone: "z", Slots: 8, Version: version, Born: born, Writes: writes}
	}
	for name, c := range map[string]struct {
		// listed are the targets when a process of ended exits, later what is listed then.
		listed []balance.Target
		ended  balance.Target
		after  time.Duration
		later  []balance.Target
		// rest is the target that gets the rest of a stream that v1 began, begins that at which a new one
		// begins, and version the version that is recorded for it; all are empty if there is none.
		rest, begins, version string
	}{
		"nothing has ended":            {listed: []balance.Target{target("a", "v1", 5, 0)}, rest: "a", begins: "a", version: "v1"},
		"another one has room":         {listed: []balance.Target{target("a", "v1", 5, 0), target("b", "v1", 5, 0)}, ended: target("a", "v1", 5, 0), rest: "b", begins: "b", version: "v1"},
		"there is no other":            {listed: []balance.Target{target("a", "v1", 5, 0)}, ended: target("a", "v1", 5, 0), begins: "a", version: streamversion.Unknown},
		"the other is of another one":  {listed: []balance.Target{target("a", "v1", 5, 0), target("b", "v2", 5, 0)}, ended: target("a", "v1", 5, 0), begins: "b", version: "v2"},
		"an earlier process ended":     {listed: []balance.Target{target("a", "v1", 6, 0)}, ended: target("a", "v1", 5, 0), rest: "a", begins: "a", version: "v1"},
		"a newer entry is read":        {listed: []balance.Target{target("a", "v1", 5, 0)}, ended: target("a", "v1", 5, 0), later: []balance.Target{target("a", "v1", 6, 0)}, rest: "a", begins: "a", version: "v1"},
		"a newer entry, other version": {listed: []balance.Target{target("a", "v1", 5, 0)}, ended: target("a", "v1", 5, 0), later: []balance.Target{target("a", "v2", 6, 0)}, begins: "a", version: "v2"},
		"a late write of its own":      {listed: []balance.Target{target("a", "v1", 5, 3)}, ended: target("a", "v1", 5, 3), later: []balance.Target{target("a", "v1", 5, 4)}, begins: "a", version: streamversion.Unknown},
		"no start time, other version": {listed: []balance.Target{target("a", "v1", 0, 3)}, ended: target("a", "v1", 0, 3), later: []balance.Target{target("a", "v2", 0, 4)}, begins: "a", version: "v2"},
		"no start time, counts anew":   {listed: []balance.Target{target("a", "v1", 0, 3)}, ended: target("a", "v1", 0, 3), later: []balance.Target{target("a", "v1", 0, 1)}, rest: "a", begins: "a", version: "v1"},
		"no newer entry for long":      {listed: []balance.Target{target("a", "v1", 5, 0)}, ended: target("a", "v1", 5, 0), after: time.Minute, rest: "a", begins: "a", version: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			now := start
			s := balance.New(now, "z", balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second}, rand.New(rand.NewPCG(1, 1)))
			table, err := routing.New(routing.Spec{Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 1_000_000}}}})
			if err != nil {
				t.Fatal(err)
			}
			s.Configure(table)
			recorded := ""
			s.OnStreamBegun(func(_ time.Time, b balance.Stream, _ bool) { recorded = b.Version })
			s.SetTargets(now, c.listed)
			if c.ended.ID != "" {
				s.RecordExit(now, c.ended, time.Time{})
			}
			now = now.Add(c.after)
			if c.later != nil {
				s.SetTargets(now, c.later)
			}
			send := func(id string, v balance.VersionLimit) string {
				k := &balance.Ticket{
					ID: id, Service: "llm", Organisation: "o", Engine: true, Stream: true, StreamID: id, Version: v, Input: 10, Output: 10,
					Goal: time.Second, Arrived: now, Deadline: now.Add(time.Minute), Decision: make(chan balance.Decision, 1),
				}
				s.Arrive(now, k)
				select {
				case d := <-k.Decision:
					s.Started(now, k)
					return d.Target.ID
				default:
					s.Withdraw(k)
					return ""
				}
			}
			if got := send("rest", balance.OnlyVersion("v1")); got != c.rest {
				t.Errorf("the rest of a stream of v1 is sent to %q, want %q", got, c.rest)
			}
			if got := send("new", balance.VersionLimit{}); got != c.begins || recorded != c.version {
				t.Errorf("a stream begins at %q, recorded as of %q; want %q, %q", got, recorded, c.begins, c.version)
			}
		})
	}
}

// TestStreamAtLaterProcessGoesOn guards against streams that are broken off, or joined from two versions, as the entry
// of the process that they run at is read after they began.
func TestStreamAtLaterProcessGoesOn(t *testing.T) {
	start := time.Unix(1000, 0)
	target := func(version string, born int64) balance.Target {
		return balance.Target{ID: "a", Service: "llm", Address: "a:1", Zone: "z", Slots: 8, Version: version, Born: born}
	}
	const before, end, after, late = 500 * time.Millisecond, 1500 * time.Millisecond, 1600 * time.Millisecond, 2900 * time.Millisecond
	for name, c := range map[string]struct {
		// sentAt is when the stream is sent and begins, receivedAt when its last event so far arrives, and
		// exitAt when the process of the entry is known to have ended, 0 if it never is. A later entry is read at 3 s.
		sentAt, receivedAt, exitAt time.Duration
		// connectedAt is when the connection was made that the stream arrives on. refused is set if this router was
		// refused a connection at exitAt, told if another one tells of the end, and confirmed if it is refused, too, then.
		connectedAt              time.Duration
		refused, told, confirmed bool
		// goesOn is set if another event arrives after the later entry has been read.
		goesOn  bool
		aborted bool
		version string
	}{
		"nobody saw the end":              {sentAt: time.Second, receivedAt: 2 * time.Second, aborted: true, version: "v1"},
		"began before the end":            {sentAt: time.Second, receivedAt: 2 * time.Second, exitAt: 2 * time.Second, aborted: true, version: "v1"},
		"began after the end":             {sentAt: 2 * time.Second, receivedAt: 2 * time.Second, exitAt: time.Second, version: "v2"},
		"began before the end was seen":   {sentAt: time.Second, receivedAt: 2 * time.Second, exitAt: 1500 * time.Millisecond, version: "v2"},
		"read a moment after the process": {sentAt: time.Second, receivedAt: 1510 * time.Millisecond, exitAt: 1500 * time.Millisecond, aborted: true, version: "v1"},
		"end known just before":           {sentAt: 2500 * time.Millisecond, receivedAt: 2960 * time.Millisecond, exitAt: 2950 * time.Millisecond, goesOn: true, version: streamversion.Unknown},
		// It closed its listener, and the process of the later entry listens there.
		"made before a refusal":      {connectedAt: before, sentAt: time.Second, receivedAt: late, exitAt: end, refused: true, goesOn: true, version: "v1"},
		"made before, then killed":   {connectedAt: before, sentAt: time.Second, receivedAt: 2 * time.Second, exitAt: end, refused: true, aborted: true, version: "v1"},
		"made before, sent later":    {connectedAt: before, sentAt: 2 * time.Second, receivedAt: late, exitAt: end, refused: true, goesOn: true, version: "v1"},
		"made after a refusal":       {connectedAt: after, sentAt: after, receivedAt: late, exitAt: end, refused: true, goesOn: true, version: "v2"},
		"made before, told":          {connectedAt: before, sentAt: time.Second, receivedAt: late, exitAt: end, told: true, goesOn: true, version: streamversion.Unknown},
		"made before, told, refused": {connectedAt: before, sentAt: time.Second, receivedAt: late, exitAt: end, told: true, confirmed: true, goesOn: true, version: "v1"},
		"made after, told, refused":  {connectedAt: after, sentAt: after, receivedAt: late, exitAt: end, told: true, confirmed: true, goesOn: true, version: "v2"},
		"says that it started later": {connectedAt: before, sentAt: time.Second, receivedAt: late, exitAt: end, confirmed: true, goesOn: true, version: streamversion.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := balance.New(start, "z", balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second}, rand.New(rand.NewPCG(1, 1)))
			table, err := routing.New(routing.Spec{Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 1_000_000}}}})
			if err != nil {
				t.Fatal(err)
			}
			s.Configure(table)
			recorded := ""
			s.OnStreamBegun(func(_ time.Time, b balance.Stream, _ bool) { recorded = b.Version })
			s.SetTargets(start, []balance.Target{target("v1", 5)})
			k := &balance.Ticket{
				ID: "k", Service: "llm", Organisation: "o", Engine: true, Stream: true, StreamID: "k", Input: 10, Output: 10,
				Goal: time.Second, Arrived: start, Deadline: start.Add(time.Minute), Decision: make(chan balance.Decision, 1),
			}
			aborted := false
			k.OnLost(func() { aborted = true })
			steps := map[time.Duration]func(now time.Time){
				c.sentAt: func(now time.Time) {
					s.Arrive(now, k)
					k.ConnectedAt.Store(int64(c.connectedAt))
					s.Started(now, k)
				},
			}
			for at := time.Duration(0); at <= 3*time.Second; at += 10 * time.Millisecond {
				now := start.Add(at)
				if at == c.exitAt && at > 0 {
					var refusedAt time.Time
					if c.refused {
						refusedAt = now
					}
					if c.told {
						s.RecordExitOf(now, balance.Process{Incarnation: "a@5"})
					} else {
						s.RecordExit(now, target("v1", 5), refusedAt)
					}
				}
				if c.confirmed && at == c.exitAt+20*time.Millisecond {
					s.ConfirmRefusal("a@5", now)
				}
				if f := steps[at]; f != nil {
					f(now)
				}
				if at == c.receivedAt {
					k.LastReceived.Store(int64(at))
				}
				s.Tick(now)
			}
			s.SetTargets(start.Add(3*time.Second), []balance.Target{target("v2", 6)})
			if c.goesOn {
				k.LastReceived.Store(int64(3100 * time.Millisecond))
				s.Tick(start.Add(3500 * time.Millisecond))
			}
			if aborted != c.aborted || recorded != c.version || !k.Version.Allows(c.version) {
				t.Errorf("aborted %v, recorded as of %q; want %v, %q", aborted, recorded, c.aborted, c.version)
			}
		})
	}
}

// TestStreamOfLaterProcessBesideAnother guards against a stream that is known to be of the process of a later entry and
// whose version is lost, as nothing tells yet which process sends another one.
func TestStreamOfLaterProcessBesideAnother(t *testing.T) {
	start := time.Unix(1000, 0)
	target := func(version string, born int64) balance.Target {
		return balance.Target{ID: "a", Service: "llm", Address: "a:1", Zone: "z", Slots: 8, Version: version, Born: born}
	}
	s := balance.New(start, "z", balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second}, rand.New(rand.NewPCG(1, 1)))
	table, err := routing.New(routing.Spec{Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 1_000_000}}}})
	if err != nil {
		t.Fatal(err)
	}
	s.Configure(table)
	recorded := map[string]string{}
	s.OnStreamBegun(func(_ time.Time, b balance.Stream, _ bool) { recorded[b.ID] = b.Version })
	s.SetTargets(start, []balance.Target{target("v1", 5)})
	begin := func(id string, at time.Duration) *balance.Ticket {
		k := &balance.Ticket{
			ID: id, Service: "llm", Organisation: "o", Engine: true, Stream: true, StreamID: id, Input: 10, Output: 10,
			Goal: time.Second, Arrived: start, Deadline: start.Add(time.Minute), Decision: make(chan balance.Decision, 1),
		}
		k.OnLost(func() { t.Errorf("%s is aborted", id) })
		s.Arrive(start.Add(at), k)
		s.Started(start.Add(at), k)
		k.LastReceived.Store(int64(at))
		return k
	}
	before := begin("before", time.Second)
	s.RecordExit(start.Add(1010*time.Millisecond), target("v1", 5), time.Time{})
	after := begin("after", 1020*time.Millisecond)
	s.SetTargets(start.Add(1030*time.Millisecond), []balance.Target{target("v2", 6)})
	for _, k := range []*balance.Ticket{before, after} {
		k.LastReceived.Store(int64(1300 * time.Millisecond))
	}
	s.Tick(start.Add(1400 * time.Millisecond))
	if recorded["before"] != streamversion.Unknown || recorded["after"] != "v2" {
		t.Errorf("recorded %q", recorded)
	}
}

// TestStreamGoesOnWithReplacedProcess guards against streams that are broken off as another process's entry takes the
// place of that of theirs, although it goes on, and against waiting for one that does not.
func TestStreamGoesOnWithReplacedProcess(t *testing.T) {
	start := time.Unix(1000, 0)
	target := func(version string, born int64) balance.Target {
		return balance.Target{ID: "a", Service: "llm", Address: "a:1", Zone: "z", Slots: 8, Version: version, Born: born}
	}
	const replacedAt, end = time.Second, 3 * time.Second
	for name, c := range map[string]struct {
		// until is when the last event arrives, one each 100 ms, and version that of the later entry.
		until   time.Duration
		version string
		// abortedAt is when the stream is aborted, 0 if it is not, and recorded its version in the end.
		abortedAt time.Duration
		recorded  string
	}{
		"it goes on":                    {until: end, version: "v1", recorded: "v1"},
		"it goes on, of another one":    {until: end, version: "v2", recorded: streamversion.Unknown},
		"it sends something and pauses": {until: replacedAt + 200*time.Millisecond, version: "v1", recorded: "v1"},
		"it sends nothing more":         {until: replacedAt, version: "v2", abortedAt: replacedAt + 300*time.Millisecond, recorded: "v1"},
		"it was silent before":          {until: replacedAt / 2, version: "v2", abortedAt: replacedAt, recorded: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			s := balance.New(start, "z", balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second}, rand.New(rand.NewPCG(1, 1)))
			table, err := routing.New(routing.Spec{Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 1_000_000}}}})
			if err != nil {
				t.Fatal(err)
			}
			s.Configure(table)
			recorded := ""
			s.OnStreamBegun(func(_ time.Time, b balance.Stream, _ bool) { recorded = b.Version })
			s.SetTargets(start, []balance.Target{target("v1", 5)})
			k := &balance.Ticket{
				ID: "k", Service: "llm", Organisation: "o", Engine: true, Stream: true, StreamID: "k", Input: 10, Output: 10,
				Goal: time.Second, Arrived: start, Deadline: start.Add(time.Minute), Decision: make(chan balance.Decision, 1),
			}
			var at, abortedAt time.Duration
			k.OnLost(func() { abortedAt = at })
			s.Arrive(start, k)
			s.Started(start, k)
			for ; at <= end; at += 100 * time.Millisecond {
				now := start.Add(at)
				if at <= c.until {
					k.LastReceived.Store(int64(at))
				}
				if at == replacedAt {
					s.SetTargets(now, []balance.Target{target(c.version, 6)})
				}
				s.Tick(now)
			}
			if abortedAt != c.abortedAt || recorded != c.recorded {
				t.Errorf("aborted at %v, recorded as of %q; want %v, %q", abortedAt, recorded, c.abortedAt, c.recorded)
			}
		})
	}
}
