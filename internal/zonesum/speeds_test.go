package zonesum_test

import (
	"math"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/zonesum"
)

// TestSpeedsBetweenReports checks that sums hold the times of all routers although each reports an
// engine less often than sums are taken. A sum of the latest reports alone would replace what is
// known of an engine by what one router knows.
func TestSpeedsBetweenReports(t *testing.T) {
	var s zonesum.Sum
	list := func(target string, actual float64) message.Status {
		return message.Status{Speeds: []enginespeed.Report{{Target: target, Service: "llm", Sums: enginespeed.Sums{Expected: 1000, Actual: actual}}}}
	}
	last := map[string]enginespeed.Report{}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		a, b := message.Status{}, message.Status{}
		switch i {
		case 0:
			a = list("e", 1000)
		case 3:
			b = list("e", 3000)
		case 14:
			a = list("f", 1000)
		}
		s.UpdateReport(now, "a", a)
		s.UpdateReport(now, "b", b)
		if i%2 == 0 {
			for _, r := range s.Take(now).Speeds {
				last[r.Target] = r
			}
		}
	}
	if e := last["e"]; math.Abs(e.Actual/e.Expected-2) > 0.05 || e.Expected < 1500 {
		t.Errorf("sum of engine e is %v, want the times of both routers", e)
	}
	if len(last) != 2 {
		t.Errorf("sums had engines %v, want e and f", last)
	}
}
