package balance

import (
	"testing"
	"time"
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
