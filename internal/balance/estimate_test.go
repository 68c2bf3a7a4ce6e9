package balance

import (
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/feature"
)

// TestSpeedsWaitForReport guards against speeds that are marked as reported while the router is
// idle and sends no reports.
func TestSpeedsWaitForReport(t *testing.T) {
	s, now := fleetState(t, 2, 1)
	s.speeds.Observe(now, "llm", fleetTargets(1)[0].ID, 100*time.Millisecond, 100*time.Millisecond)
	now = now.Add(time.Second)
	if r := s.Report(now); r.Active() || len(r.Speeds) != 0 {
		t.Errorf("report of an idle router: %+v", r)
	}
	s.Arrive(now, fleetPrompt(now, "s", 1))
	if r := s.Report(now); len(r.Speeds) != 1 {
		t.Errorf("report of a busy router has speeds %v, want one", r.Speeds)
	}
}

// TestSpeedsOfRestartedTarget guards against the speed of a process that has ended, which counts in
// the mean of its service.
func TestSpeedsOfRestartedTarget(t *testing.T) {
	s, now := fleetState(t, 2, 1)
	s.SetFeatures(feature.Set{EngineSpeeds: feature.On})
	list := fleetTargets(2)
	for _, c := range list {
		s.speeds.Observe(now, "llm", c.ID, 100*time.Millisecond, 100*time.Millisecond)
		s.speeds.SetPeer(now, "r", []enginespeed.Report{{Target: c.ID, Service: "llm", Sums: enginespeed.Sums{Expected: 100, Actual: 100}}})
	}
	list[0].Born = 2
	s.SetTargets(now, list)
	if n := s.EngineSpeeds(now)["llm"].Engines; n != 1 {
		t.Errorf("the speeds of %d processes are known after one of two restarted, want 1", n)
	}
	s.SetTargets(now, nil)
	if n := s.EngineSpeeds(now)["llm"].Engines; n != 0 {
		t.Errorf("the speeds of %d removed processes are known", n)
	}
}
