package roster_test

import (
	"testing"
	"time"
)

// TestStartOfFleet starts fleets of different sizes at once, as after a power failure, and counts
// what each router sends until all know all. What it must learn grows with the fleet; how often it
// is told of each other router must not, and traffic between zones must grow more slowly.
func TestStartOfFleet(t *testing.T) {
	const (
		maxTold = 4
		maxTime = 5 * time.Second
	)
	// maxFar are the records sent to other zones for each pair of routers.
	for n, maxFar := range map[int]float64{60: 2, 240: 1, 480: 0.75} {
		f := newFleet(n, 1)
		f.launch(1, f.routers...)
		took := time.Duration(0)
		for ; took < 8*time.Second && !f.allKnown(); took += 100 * time.Millisecond {
			f.run(100 * time.Millisecond)
		}
		f.run(4*time.Second - min(took, 4*time.Second))
		sent, records, far := 0, 0, 0
		for _, r := range f.routers {
			sent, records, far = sent+r.sent, records+r.records, far+r.farRecords
		}
		pairs := float64(n * n)
		t.Logf("%d routers: all known after %v; a router sends %d messages and tells %.2f times of each other, %.2f times in other zones",
			n, took, sent/n, float64(records)/pairs, float64(far)/pairs)
		if took > maxTime || float64(records) > maxTold*pairs || float64(far) > maxFar*pairs {
			t.Errorf("%d routers: want at most %v, %d times and %.2f times", n, maxTime, maxTold, maxFar)
		}
	}
}

func (f *fleet) allKnown() bool {
	for _, r := range f.routers {
		if r.CountOthers(f.time()) < len(f.routers)-1 {
			return false
		}
	}
	return true
}
