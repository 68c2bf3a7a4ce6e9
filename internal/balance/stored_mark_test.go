package balance_test

import (
	"math"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"

	. "github.com/onsi/gomega"
)

func serviceVersions(versions ...string) (list []streamversion.ServiceVersion) {
	for _, v := range versions {
		list = append(list, streamversion.ServiceVersion{Service: "llm", Version: v})
	}
	return list
}

// TestHeldStreamIsServedWhereStoredVersionCannot guards against streams that are refused or wait since a target
// that may not serve them counts as one of a stored version that takes requests.
func TestHeldStreamIsServedWhereStoredVersionCannot(t *testing.T) {
	v1, v2 := versioned("a", "v1"), versioned("b", "v2")
	for name, prepare := range map[string]func(w *world){
		"in a region that is not allowed": func(w *world) {
			w.SetRegions(map[string]string{"z": "far", "y": "near"})
			far, near := v1, v2
			near.Zone = "y"
			table, err := routing.New(routing.Spec{
				Services:      []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 230_000}}},
				Organisations: []routing.Organisation{{Name: "o", Regions: []string{"near"}}},
			})
			Expect(err).NotTo(HaveOccurred())
			w.Configure(table)
			w.SetTargets(w.now, []balance.Target{far, near})
		},
		"its entry has lapsed": func(w *world) {
			lapsed := v1
			lapsed.UsableUntil = w.now.Add(-time.Second)
			w.SetTargets(w.now, []balance.Target{lapsed, v2})
		},
		"reported that it leaves": func(w *world) {
			w.SetTargets(w.now, []balance.Target{v1, v2})
			first := w.prompt("o", "first", 100)
			first.Version = balance.OnlyVersion("v1")
			Expect(w.arrive(first)).NotTo(BeNil())
			w.RecordLeaving(w.now, first)
			w.complete(first)
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			w.RequireStoredVersions()
			k := w.prompt("o", "s", 100)
			k.Stream, k.StreamID = true, "s"
			prepare(w)
			w.SetStoredVersions(w.now, serviceVersions("v1"))
			if d := w.arrive(k); d == nil || d.Target.ID != "b" {
				t.Errorf("decision %+v, want target b", d)
			}
		})
	}
}

// TestStoredMarkEndsWithTheEntry guards against streams that begin at a version that the store holds as one that has
// left, or no longer holds.
func TestStoredMarkEndsWithTheEntry(t *testing.T) {
	v1, v2 := versioned("a", "v1"), versioned("b", "v2")
	for name, bringBack := range map[string]func(w *world){
		"comes back just before the store's entry ends": func(w *world) {
			w.SetTargets(w.now, []balance.Target{v1, v2})
			w.SetStoredVersions(w.now, serviceVersions("v1", "v2"))
			w.SetTargets(w.now, []balance.Target{v1})
			w.now = w.now.Add(streamversion.TTL - time.Second)
			w.SetTargets(w.now, []balance.Target{v1, v2})
		},
		"was told of long before it is listed": func(w *world) {
			w.SetTargets(w.now, []balance.Target{v1})
			w.SetStoredVersions(w.now, serviceVersions("v1", "v2"))
			w.now = w.now.Add(2 * streamversion.TTL)
			w.SetTargets(w.now, []balance.Target{v1, v2})
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			w.RequireStoredVersions()
			bringBack(w)
			// Until now the store has refused to hold that v2 serves again, and all routers are killed.
			w.now = w.now.Add(2 * time.Second)
			if first, _ := w.UnstoredSince(); first.IsZero() {
				t.Error("v2 counts as stored")
			}
			k := w.prompt("o", "s", 100)
			k.Stream, k.StreamID, k.Tried = true, "s", []string{"a"}
			began := w.arrive(k)
			started := newWorld(0)
			started.RestoreVersions(w.now, []streamversion.Served{
				{ServiceVersion: streamversion.ServiceVersion{Service: "llm", Version: "v1"}},
				{ServiceVersion: streamversion.ServiceVersion{Service: "llm", Version: "v2"}, Gone: true, GoneFor: streamversion.TTL + time.Second},
			}, true)
			started.SetTargets(w.now, []balance.Target{v1, v2})
			if version, why := started.UnrecordedVersion(w.now, "llm"); began != nil && version == "v1" {
				t.Errorf("a stream began at %s, and goes on at %s by %s", began.Target.Version, version, why)
			}
		})
	}
}

// TestUnrecordedVersionOfStreamsBegunSince guards against taking a stream that began after the start, and of which the
// record was lost with its router, for one of the version that was stored before.
func TestUnrecordedVersionOfStreamsBegunSince(t *testing.T) {
	v1, v2 := versioned("a", "v1"), versioned("b", "v2")
	restored := []streamversion.Served{{ServiceVersion: streamversion.ServiceVersion{Service: "llm", Version: "v1"}}}
	for name, begin := range map[string]func(w *world){
		"the newer one was stored since": func(w *world) {
			w.RestoreVersions(w.now, restored, true)
			w.SetTargets(w.now, []balance.Target{v1, v2})
			w.now = w.now.Add(time.Second)
			w.SetStoredVersions(w.now, serviceVersions("v1", "v2"))
			w.RouterLost()
		},
		"before the restore": func(w *world) { w.SetTargets(w.now, []balance.Target{v1, v2}) },
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			w.RequireStoredVersions()
			begin(w)
			k := w.prompt("o", "s", 100)
			k.Stream, k.StreamID, k.Tried = true, "s", []string{"a"}
			d := w.arrive(k)
			if d == nil {
				return
			}
			w.now = w.now.Add(2 * time.Second)
			if name == "before the restore" {
				w.RestoreVersions(w.now, restored, true)
			}
			if version, why := w.UnrecordedVersion(w.now, "llm"); version != "" {
				t.Errorf("streams have begun at %s since the start; one without a record is taken for one of %s by %s", d.Target.Version, version, why)
			}
		})
	}
}

// TestUnrecordedVersionBeforeLossIsNoticed guards against taking a stream that began after the start for one of the
// version stored before, in the time until the loss of the router that had its record is noticed.
func TestUnrecordedVersionBeforeLossIsNoticed(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld(0)
	w.RequireStoredVersions()
	w.RestoreVersions(w.now, []streamversion.Served{{ServiceVersion: streamversion.ServiceVersion{Service: "llm", Version: "v1"}}}, true)
	w.SetTargets(w.now, []balance.Target{versioned("a", "v1"), versioned("b", "v2")})
	w.now = w.now.Add(time.Second)
	w.SetStoredVersions(w.now, serviceVersions("v1", "v2"))
	k := w.prompt("o", "s", 100)
	k.Stream, k.StreamID, k.Tried = true, "s", []string{"a"}
	d := w.arrive(k)
	if d == nil {
		return
	}
	w.now = w.now.Add(2 * time.Second)
	if version, why := w.UnrecordedVersion(w.now, "llm"); version != "" {
		t.Errorf("streams have begun at %s since the start; one without a record is taken for one of %s by %s", d.Target.Version, version, why)
	}
}

// TestUnrecordedVersionWhereZoneWasDrained guards against taking a stream for one of the version that was stored
// although the zone of its targets may have been drained after another one came, which the store refused to hold.
func TestUnrecordedVersionWhereZoneWasDrained(t *testing.T) {
	v1, v2 := versioned("a", "v1"), versioned("b", "v2")
	v1.Revision, v2.Revision = 3, 5
	elsewhere := v1
	elsewhere.ID, elsewhere.Zone = "c", "y"
	drained := v1
	drained.Drained = true
	ended := func(zone string, at int64) *balance.ZoneDrains {
		return &balance.ZoneDrains{Since: 5, Ended: map[string]int64{zone: at}}
	}
	for name, c := range map[string]struct {
		listed, later []balance.Target
		drains        *balance.ZoneDrains
		want          string
		// awaits is set if it may be known later.
		awaits bool
	}{
		"not known yet":                {listed: []balance.Target{v1, v2}, awaits: true},
		"no drain has ended":           {listed: []balance.Target{v1, v2}, drains: &balance.ZoneDrains{Since: 5}, want: "v1"},
		"its zone's has":               {listed: []balance.Target{v1, v2}, drains: ended("z", 7)},
		"another zone's has":           {listed: []balance.Target{v1, v2}, drains: ended("y", 7), want: "v1"},
		"one of its zones' has":        {listed: []balance.Target{v1, elsewhere, v2}, drains: ended("z", 7), want: "v1"},
		"known from a later time on":   {listed: []balance.Target{v1, v2}, drains: &balance.ZoneDrains{Since: 6}, awaits: true},
		"can't be known":               {listed: []balance.Target{v1, v2}, drains: &balance.ZoneDrains{Since: math.MaxInt64}},
		"ends after the start":         {listed: []balance.Target{drained, v2}, later: []balance.Target{v1, v2}, drains: &balance.ZoneDrains{Since: 5}},
		"does not matter, one version": {listed: []balance.Target{v1}, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := balance.New(now, "z", balance.Limits{}, nil)
			s.RequireZoneDrains()
			s.RestoreVersions(now, []streamversion.Served{{ServiceVersion: serviceVersions("v1")[0]}}, true)
			s.SetTargets(now, c.listed)
			if c.drains != nil {
				s.SetZoneDrains(*c.drains)
			}
			if c.later != nil {
				s.SetTargets(now, c.later)
			}
			if got, _ := s.UnrecordedVersion(now, "llm"); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if since, needed := s.NeededZoneDrains(now); needed != c.awaits || needed && since != 5 || needed != s.AwaitsZoneDrains(now, "llm") {
				t.Errorf("needed %t from %d on, want %t", needed, since, c.awaits)
			}
		})
	}
}

// limited returns a configuration with regions that an organisation is limited to.
func limited(regions ...string) *routing.Table {
	table, err := routing.New(routing.Spec{
		Services:      []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 230_000}}},
		Organisations: []routing.Organisation{{Name: "o", Regions: regions}},
		Limits:        routing.Limits{TokensPerSecond: tokensPerSecond},
	})
	Expect(err).NotTo(HaveOccurred())
	return table
}

// begunWithoutTrace has ways in which a stream begins at a version that the store does not hold though the stored one's
// target, the entry of which stays as it is, takes requests before and afterwards.
var begunWithoutTrace = map[string]struct {
	prepare func(w *world, stored, other balance.Target)
	after   time.Duration
}{
	"no room after the hold": {after: time.Minute, prepare: func(w *world, _, _ balance.Target) {
		for range 8 {
			k := w.prompt("o", "s", 100)
			k.Version = balance.OnlyVersion("v1")
			w.arrive(k)
		}
	}},
	"reported that it leaves": {prepare: func(w *world, _, _ balance.Target) {
		k := w.prompt("o", "first", 100)
		k.Version = balance.OnlyVersion("v1")
		Expect(w.arrive(k)).NotTo(BeNil())
		w.RecordLeaving(w.now, k)
		w.complete(k)
	}},
	"could not be reached": {prepare: func(w *world, _, _ balance.Target) {
		k := w.prompt("o", "first", 100)
		k.Version = balance.OnlyVersion("v1")
		Expect(w.arrive(k)).NotTo(BeNil())
		w.Ended(w.now, k, balance.Unreachable)
	}},
}

// TestUnrecordedVersionOfStreamsWithoutTrace guards against taking a stream for one of the version that was stored
// although it could not begin there.
func TestUnrecordedVersionOfStreamsWithoutTrace(t *testing.T) {
	for name, c := range begunWithoutTrace {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			stored, other := versioned("a", "v1"), versioned("b", "v2")
			stored.Revision, other.Revision, other.Zone = 3, 5, "y"
			w := newWorld(0)
			w.RequireStoredVersions()
			w.SetTargets(w.now, []balance.Target{stored, other})
			w.SetStoredVersions(w.now, serviceVersions("v1"))
			w.now = w.now.Add(c.after)
			c.prepare(w, stored, other)
			k := w.prompt("o", "s", 100)
			k.Stream, k.StreamID = true, "s"
			if d := w.arrive(k); d == nil || d.Target.ID != "b" {
				t.Fatalf("the stream did not begin at the other version: %+v", d)
			}
			started := newWorld(0)
			started.RestoreVersions(started.now, []streamversion.Served{{ServiceVersion: serviceVersions("v1")[0]}}, true)
			started.SetTargets(started.now, []balance.Target{stored, other})
			if version, why := started.UnrecordedVersion(started.now, "llm"); version != "" {
				t.Errorf("a stream that began at v2 is taken for one of %s by %s", version, why)
			}
		})
	}
}

// TestUnrecordedVersionOfLimitedStreams guards against taking a stream for one of the version that was stored although
// that one was in no region where the stream could begin.
func TestUnrecordedVersionOfLimitedStreams(t *testing.T) {
	at := func(id, version, zone string, revision int64) balance.Target {
		target := versioned(id, version)
		target.Zone, target.Revision = zone, revision
		return target
	}
	for name, c := range map[string]struct {
		listed []balance.Target
		want   string
	}{
		"elsewhere":                  {listed: []balance.Target{at("a", "v1", "z", 3), at("b", "v2", "y", 5)}},
		"came there later":           {listed: []balance.Target{at("a", "v1", "z", 3), at("b", "v2", "y", 5), at("c", "v1", "y", 9)}},
		"there since before":         {listed: []balance.Target{at("a", "v1", "z", 7), at("b", "v2", "y", 5), at("c", "v1", "y", 3)}, want: "v1"},
		"the other one is elsewhere": {listed: []balance.Target{at("b", "v2", "z", 5), at("c", "v1", "y", 9)}, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			w.SetRegions(map[string]string{"z": "far", "y": "near"})
			w.RestoreVersions(w.now, []streamversion.Served{{ServiceVersion: serviceVersions("v1")[0]}}, true)
			w.SetTargets(w.now, c.listed)
			if got, _ := w.UnrecordedVersionIn(w.now, "llm", limited("near").RegionsOf(&routing.Route{}, "o")); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestZoneDrainsOfLimitedStreams guards against streams that are refused for good since the ends of zones' drains are never
// read: elsewhere the other version was there before the one that was stored.
func TestZoneDrainsOfLimitedStreams(t *testing.T) {
	RegisterTestingT(t)
	far, stored, other := versioned("a", "v2"), versioned("b", "v1"), versioned("c", "v2")
	stored.Zone, other.Zone = "y", "y"
	far.Revision, stored.Revision, other.Revision = 3, 5, 7
	w := newWorld(0)
	w.RequireZoneDrains()
	w.SetRegions(map[string]string{"z": "far", "y": "near"})
	w.RestoreVersions(w.now, []streamversion.Served{{ServiceVersion: serviceVersions("v1")[0]}}, true)
	w.SetTargets(w.now, []balance.Target{far, stored, other})
	since, needed := w.NeededZoneDrains(w.now)
	if !needed || since > other.Revision || !w.AwaitsZoneDrains(w.now, "llm") {
		t.Errorf("ends of drains needed %t, from %d on", needed, since)
	}
	w.SetZoneDrains(balance.ZoneDrains{Since: since})
	if got, _ := w.UnrecordedVersionIn(w.now, "llm", limited("near").RegionsOf(&routing.Route{}, "o")); got != "v1" {
		t.Errorf("got %q, want v1", got)
	}
}

// afterLimits returns the history of a router that has started and read a configuration, before which there was another one.
func afterLimits(w *world, before, now *routing.Table, ago time.Duration) *routehistory.History {
	h := routehistory.New(w.now, streamversion.TTL)
	h.Set(w.now.Add(-time.Hour), before)
	h.Set(w.now.Add(-ago), now)
	started := routehistory.New(w.now, streamversion.TTL)
	started.Set(w.now, now)
	started.RestoreLimits(w.now, h.Limits(w.now), nil)
	return started
}

// TestUnrecordedVersionAfterLimit guards against taking a stream for one of the version that was stored although it began
// under a limit of regions where that one was not, and against refusing one that can be of no other version.
func TestUnrecordedVersionAfterLimit(t *testing.T) {
	at := func(id, version, zone string, revision int64) balance.Target {
		target := versioned(id, version)
		target.Zone, target.Revision = zone, revision
		return target
	}
	for name, c := range map[string]struct {
		listed      []balance.Target
		before, now []string
		ago         time.Duration
		want        string
	}{
		"lifted, it was elsewhere":        {listed: []balance.Target{at("a", "v1", "z", 3), at("b", "v2", "y", 5)}, before: []string{"near"}},
		"lifted long ago":                 {listed: []balance.Target{at("a", "v1", "z", 3), at("b", "v2", "y", 5)}, before: []string{"near"}, ago: 2 * streamversion.TTL, want: "v1"},
		"it has not changed":              {listed: []balance.Target{at("a", "v1", "z", 3), at("b", "v2", "y", 5)}, want: "v1"},
		"lifted, it was there before":     {listed: []balance.Target{at("a", "v1", "z", 9), at("c", "v1", "y", 3), at("b", "v2", "y", 5)}, before: []string{"near"}, want: "v1"},
		"came, the other one was outside": {listed: []balance.Target{at("b", "v2", "z", 5), at("c", "v1", "y", 9)}, now: []string{"near"}},
		"moved to another region":         {listed: []balance.Target{at("a", "v1", "z", 3), at("b", "v2", "y", 5)}, before: []string{"near"}, now: []string{"far"}},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			w.SetRegions(map[string]string{"z": "far", "y": "near"})
			w.SetRouteHistory(afterLimits(w, limited(c.before...), limited(c.now...), c.ago))
			w.RestoreVersions(w.now, []streamversion.Served{{ServiceVersion: serviceVersions("v1")[0]}}, true)
			w.SetTargets(w.now, c.listed)
			if got, why := w.UnrecordedVersionIn(w.now, "llm", limited(c.now...).RegionsOf(&routing.Route{}, "o")); got != c.want {
				t.Errorf("got %q by %s, want %q", got, why, c.want)
			}
		})
	}
}

// TestUnrecordedVersionOfStreamsBeforeLimit guards against taking a stream for one of a version that is the only one in the
// regions where its rest may be served, though it began before they were limited.
func TestUnrecordedVersionOfStreamsBeforeLimit(t *testing.T) {
	RegisterTestingT(t)
	stored, other := versioned("a", "v1"), versioned("b", "v2")
	stored.Zone, stored.Revision, stored.Leaving, other.Revision = "y", 3, true, 5
	w := newWorld(0)
	w.SetRegions(map[string]string{"z": "far", "y": "near"})
	w.RequireStoredVersions()
	w.SetTargets(w.now, []balance.Target{stored, other})
	w.SetStoredVersions(w.now, serviceVersions("v1"))
	k := w.prompt("o", "s", 100)
	k.Stream, k.StreamID = true, "s"
	if d := w.arrive(k); d == nil || d.Target.ID != "b" {
		t.Fatalf("the stream did not begin at the other version: %+v", d)
	}
	stored.Leaving, stored.Revision = false, 9
	started := newWorld(0)
	started.SetRouteHistory(afterLimits(started, limited(), limited("near"), time.Second))
	started.SetRegions(map[string]string{"z": "far", "y": "near"})
	started.RestoreVersions(started.now, []streamversion.Served{{ServiceVersion: serviceVersions("v1")[0]}}, true)
	started.SetTargets(started.now, []balance.Target{stored, other})
	if version, _ := started.UnrecordedVersion(started.now, "llm"); version != "" {
		t.Errorf("without a limit, the stream is taken for one of %s", version)
	}
	if version, why := started.UnrecordedVersionIn(started.now, "llm", limited("near").RegionsOf(&routing.Route{}, "o")); version != "" {
		t.Errorf("a stream that began at v2 before the limit is taken for one of %s by %s", version, why)
	}
}
