package balance_test

import (
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// TestUnrecordedVersionAmong guards against streams of two versions, and against streams that end, where their route has
// led to several services.
func TestUnrecordedVersionAmong(t *testing.T) {
	at := func(id, service, version string) balance.Target {
		return balance.Target{ID: id, Service: service, Address: "a:1", Zone: "z", Slots: 8, Version: version}
	}
	x1, x2, y1, y2 := at("x1", "x", "v1"), at("x2", "x", "v2"), at("y1", "y", "v1"), at("y2", "y", "v2")
	for name, c := range map[string]struct {
		// before are the targets from the start on, now those a second ago.
		before, now []balance.Target
		// young is set if the router has just started.
		young bool
		want  streamversion.Evidence
	}{
		"one version":                          {before: []balance.Target{x1, y1}, want: streamversion.EvidenceSameVersion},
		"two versions":                         {before: []balance.Target{x1, y2}},
		"one of them has two":                  {before: []balance.Target{x1, x2, y1}},
		"one of them had another":              {before: []balance.Target{x2, y1}, now: []balance.Target{x1, y1}},
		"all targets of one have left":         {before: []balance.Target{x1, y1}, now: []balance.Target{y1}, want: streamversion.EvidenceSameVersion},
		"all targets of one, of another, left": {before: []balance.Target{x2, y1}, now: []balance.Target{y1}},
		"one has no targets":                   {before: []balance.Target{y1}, want: streamversion.EvidenceOnlyVersion},
		"one has no targets, just started":     {before: []balance.Target{y1}, young: true},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			s := balance.New(start, "z", balance.Limits{}, nil)
			s.RestoreVersions(start, nil, true)
			s.SetTargets(start, c.before)
			now := start.Add(2 * streamversion.TTL)
			if c.young {
				now = start.Add(time.Second)
			}
			if c.now != nil {
				s.SetTargets(now, c.now)
				now = now.Add(time.Second)
			}
			version, evidence := s.UnrecordedVersionAmong(now, []string{"y", "x"}, routing.Regions{})
			if evidence != c.want || evidence != "" && version != "v1" {
				t.Errorf("got %q by %q, want %q", version, evidence, c.want)
			}
		})
	}
}
