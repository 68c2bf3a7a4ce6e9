package balance_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/unrecorded"
)

// TestUnrecordedVersionWhereAnotherHasLeft guards against taking a stream for one of the stored version though its
// targets took no requests while those of another one did, which the store refused to hold and which has left again.
func TestUnrecordedVersionWhereAnotherHasLeft(t *testing.T) {
	const storedAt = 5
	at := func(id, version string, revision int64) balance.Target {
		target := versioned(id, version)
		target.Revision = revision
		return target
	}
	drains := at("a", "v1", 9)
	drains.Leaving = true
	far := at("c", "v1", 3)
	far.Zone = "y"
	left := unrecorded.NewPast(storedAt, storedAt+20, []unrecorded.Change{
		{Name: "b", Revision: 7, Decoded: true, ServiceVersion: streamversion.ServiceVersion{Service: "llm", Version: "v2"}}, {Name: "b", Revision: 8, Gone: true},
	})
	for name, c := range map[string]struct {
		listed, later []balance.Target
		past          *unrecorded.Past
		want          string
		// needed is the revision from which the history is needed, 0 if it is not.
		needed int64
	}{
		"unchanged since the store was written": {listed: []balance.Target{at("a", "v1", 3), at("c", "v1", 9)}, want: "v1"},
		"changes after the start":               {listed: []balance.Target{at("a", "v1", 3)}, later: []balance.Target{at("a", "v1", 9)}, want: "v1"},
		"changed, not read":                     {listed: []balance.Target{at("a", "v1", 9), at("c", "v1", 10)}, needed: 9},
		"changed, another one left":             {listed: []balance.Target{at("a", "v1", 9)}, past: &left},
		"changed before the history":            {listed: []balance.Target{at("a", "v1", 9)}, past: &unrecorded.Past{Gone: 9}, want: "v1"},
		"unchanged in another region":           {listed: []balance.Target{far, at("a", "v1", 9)}, past: &left},
		"drains at the start":                   {listed: []balance.Target{drains}, later: []balance.Target{at("a", "v1", 11)}, needed: math.MaxInt64},
		"drains at the start, another one left": {listed: []balance.Target{drains}, later: []balance.Target{at("a", "v1", 11)}, past: &left},
		"came back before the other one did":    {listed: []balance.Target{at("a", "v1", 9), at("b", "v2", 10)}, past: &left},
		"service comes after the start":         {listed: []balance.Target{{ID: "o", Service: "other"}}, later: []balance.Target{at("a", "v1", 9)}, needed: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			w.SetRegions(map[string]string{"z": "near", "y": "far"})
			w.RestoreVersions(w.now, []streamversion.Served{{ServiceVersion: serviceVersions("v1")[0]}}, true)
			w.RequirePastEntries(w.now, storedAt)
			w.SetTargets(w.now, c.listed)
			if c.later != nil {
				w.SetTargets(w.now, c.later)
			}
			regions := limited("near").RegionsOf(&routing.Route{}, "o")
			if since, needed := w.NeededPast(w.now, "llm", regions); c.past == nil && (needed != (c.needed > 0) || needed && since != c.needed) {
				t.Errorf("history needed %t, from %d on, want %d", needed, since, c.needed)
			}
			if c.past != nil {
				w.SetPast(*c.past)
			}
			if got, why := w.UnrecordedVersionIn(w.now, "llm", regions); got != c.want {
				t.Errorf("got %q by %s, want %q", got, why, c.want)
			}
			w.now = w.now.Add(streamversion.TTL)
			if _, needed := w.NeededPast(w.now, "llm", regions); needed {
				t.Error("history needed long after the start")
			}
		})
	}
}

// TestUnrecordedVersionOfNewService guards against refusing streams of a service that came after the start.
func TestUnrecordedVersionOfNewService(t *testing.T) {
	RegisterTestingT(t)
	w := newWorld(0)
	w.RestoreVersions(w.now, nil, true)
	w.RequirePastEntries(w.now, 5)
	w.SetTargets(w.now, []balance.Target{{ID: "o", Service: "other"}})
	target := versioned("a", "v1")
	target.Revision = 9
	w.SetTargets(w.now, []balance.Target{{ID: "o", Service: "other"}, target})
	if got, _ := w.UnrecordedVersion(w.now, "llm"); got != "v1" {
		t.Errorf("got %q, want v1", got)
	}
}
