package bookings_test

import (
	"math"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/bookings"
	"github.com/stepcroft/stepcroft/internal/returns"
	"github.com/stepcroft/stepcroft/internal/view"
)

// TestReportsThatDoNotCount guards against bookings for services unknown here, and starts beyond what engines can take,
// that move the returns of callers.
func TestReportsThatDoNotCount(t *testing.T) {
	const window = 4 * time.Second
	slots := func(service string, tokens float64) []returns.Slots {
		return []returns.Slots{{Service: service, Tokens: []float64{tokens}}}
	}
	for name, c := range map[string]struct {
		returns []returns.Slots
		// started is what the router reports as started after a report of nothing, with requests running at s.
		started float64
		running int
		// booked is what counts as booked by others.
		booked  float64
		ignored int64
	}{
		"all counts":           {slots("s", 100), 900, 1, 100, 0},
		"an unknown service":   {slots("other", 100), 900, 1, 0, 1},
		"too many in a slot":   {slots("s", 1e9), 900, 1, 500, 0},
		"too many starts":      {slots("s", 100), 1e9, 1, 100, 1},
		"nothing runs there":   {slots("s", 100), 1e9, 0, 100, 0},
		"both are out of line": {slots("other", 100), 1e9, 1, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := bookings.New(window)
			within := bookings.Bounds{Planned: func(service string) bool { return service == "s" }, Booked: 500, Began: 1000}
			b.ApplyReport(now, "r", view.Report{}, nil, within)
			b.ApplyReport(now, "r", view.Report{Returns: c.returns, Usage: map[string]view.Usage{"o": {Started: c.started}}}, map[string]int{"s": c.running}, within)
			_, others := b.Reported(now)
			if n := b.Counts().Ignored; math.Abs(others-c.booked) > 1e-9 || n != c.ignored {
				t.Errorf("%.0f booked by others and %d ignored, want %.0f and %d", others, n, c.booked, c.ignored)
			}
			b.Forget(now, "r")
			if _, others := b.Reported(now); others != 0 {
				t.Errorf("%.0f booked by others after they were forgotten", others)
			}
		})
	}
}
