package balance_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// beginStreams sends requests for n streams, none of which may wait, and returns the targets chosen in order of
// their ids. If keep is set, the streams go on running.
func (w *world) beginStreams(t *testing.T, n int, keep bool) string {
	t.Helper()
	chosen := map[string]bool{}
	for i := range n {
		k := w.prompt("o", fmt.Sprint("s", i), 100)
		k.Stream, k.StreamID = true, fmt.Sprint("s", i)
		d := w.arrive(k)
		if d == nil {
			t.Fatalf("stream %d waits", i)
		}
		chosen[d.Target.ID] = true
		if !keep {
			w.complete(k)
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(chosen)), "")
}

// TestStreamsPreferStoredVersionAfterHold guards against streams that begin at a version of which there is no trace
// although one that is stored has room, and against streams that wait for room there for longer than the hold.
func TestStreamsPreferStoredVersionAfterHold(t *testing.T) {
	for name, c := range map[string]struct {
		slots int
		// keep is set if streams go on running.
		keep bool
		want string
	}{
		"the stored one has room":   {slots: 8, want: "a"},
		"the stored one gets full":  {slots: 1, keep: true, want: "ab"},
		"has room for many streams": {slots: 64, keep: true, want: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			w.RequireStoredVersions()
			stored, other := versioned("a", "v1"), versioned("b", "v2")
			stored.Slots, other.Slots = c.slots, 64
			w.SetTargets(w.now, []balance.Target{stored, other})
			w.SetStoredVersions(w.now, serviceVersions("v1"))
			w.now = w.now.Add(time.Minute)
			if got := w.beginStreams(t, 12, c.keep); got != c.want {
				t.Errorf("streams began at %s, want %s", got, c.want)
			}
		})
	}
}

// TestStreamsPreferFirstVersionUntilStoredIsRead guards against streams that begin at any version as a router that has
// started cannot read which of them were stored.
func TestStreamsPreferFirstVersionUntilStoredIsRead(t *testing.T) {
	first, second := versioned("a", "v1"), versioned("b", "v2")
	first.Revision, second.Revision = 3, 5
	first.Slots, second.Slots = 64, 64
	small, leaving := first, first
	small.Slots, leaving.Leaving = 1, true
	for name, c := range map[string]struct {
		listed   []balance.Target
		restored []streamversion.Served
		after    time.Duration
		keep     bool
		want     string
	}{
		"not read":                        {listed: []balance.Target{first, second}, want: "a"},
		"not read, the first gets full":   {listed: []balance.Target{small, second}, keep: true, want: "ab"},
		"not read, the first leaves":      {listed: []balance.Target{leaving, second}, want: "b"},
		"read, both are stored":           {listed: []balance.Target{first, second}, restored: []streamversion.Served{{ServiceVersion: serviceVersions("v1")[0]}, {ServiceVersion: serviceVersions("v2")[0]}}, want: "ab"},
		"read, the second is stored":      {listed: []balance.Target{first, second}, restored: []streamversion.Served{{ServiceVersion: serviceVersions("v2")[0]}}, want: "b"},
		"not read for longer than needed": {listed: []balance.Target{first, second}, after: streamversion.TTL + time.Second, want: "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			w.RequireStoredVersions()
			w.SetTargets(w.now, c.listed)
			if c.restored != nil {
				w.RestoreVersions(w.now, c.restored, true)
			}
			w.now = w.now.Add(c.after)
			if got := w.beginStreams(t, 40, c.keep); got != c.want {
				t.Errorf("streams began at %s, want %s", got, c.want)
			}
		})
	}
}

// TestStreamsFindFewStoredTargets guards against streams that begin at a version of which there is no trace since, among
// many targets, the few of the stored version are not in the sample that is searched.
func TestStreamsFindFewStoredTargets(t *testing.T) {
	for name, c := range map[string]struct {
		engine bool
		after  time.Duration
	}{
		"during the hold": {engine: true},
		"after the hold":  {engine: true, after: time.Minute},
		"plain service":   {after: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			w.RequireStoredVersions()
			list := []balance.Target{versioned("stored-0", "v1"), versioned("stored-1", "v1")}
			for i := range 300 {
				list = append(list, versioned(fmt.Sprint("other-", i), "v2"))
			}
			for i := range list {
				list[i].Slots = 64
			}
			w.SetTargets(w.now, list)
			w.SetStoredVersions(w.now, serviceVersions("v1"))
			w.now = w.now.Add(c.after)
			missed := 0
			for i := range 200 {
				k := w.prompt("o", fmt.Sprint("s", i), 100)
				k.Stream, k.StreamID, k.Engine = true, fmt.Sprint("s", i), c.engine
				d := w.arrive(k)
				if d == nil || d.Refused != "" {
					t.Fatalf("stream %d: %+v", i, d)
				}
				if d.Target.Version != "v1" {
					missed++
				}
				w.complete(k)
			}
			if missed > 0 {
				t.Errorf("%d of 200 streams began at the version that is not stored", missed)
			}
		})
	}
}
