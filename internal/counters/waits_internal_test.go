package counters

import (
	"testing"

	"github.com/stepcroft/stepcroft/internal/returns"
)

// TestSetWaits guards against counts that are added up again with each tick.
func TestSetWaits(t *testing.T) {
	m := New()
	for range 2 {
		m.SetWaits(Waits{Refused: map[string]int64{"over-share": 3}, Returns: returns.Counts{Booked: 5, Full: 1}})
	}
	if got := m.refusedByForecast.String(); got != `{"over-share": 3}` {
		t.Errorf("refused_by_forecast is %s", got)
	}
	if got := m.returns.String(); got != `{"booked": 5, "full": 1, "ignored": 0}` {
		t.Errorf("returns is %s", got)
	}
}
