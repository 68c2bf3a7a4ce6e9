package forward

import (
	"log/slog"
	"testing"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
)

// BenchmarkJoin measures what the line of a run that follows another one take.
func BenchmarkJoin(b *testing.B) {
	var out lineSize
	x := &inflight{
		Forwarder:   &Forwarder{counters: uncounted{}, log: logr.FromSlogHandler(slog.NewJSONHandler(&out, nil)).WithValues("router", "front-hall-water-3")},
		Request:     Request{ID: "b8a1f6f0-3a44-4b57-9d57-1f0f0a2c9d11"},
		lastEventID: "128", target: balance.Target{ID: "engine-front-hall-water-18", Version: "2026.11.3", Born: 1765036800456},
	}
	x.result.Runs, x.result.RunTarget = 1, balance.Target{ID: "engine-front-hall-water-17", Version: "2026.11.3", Born: 1765036800123}
	b.ReportAllocs()
	for b.Loop() {
		x.join("129")
	}
	b.ReportMetric(float64(out), "bytes/line")
}

// uncounted counts no joins.
type uncounted struct{ Counters }

func (uncounted) CountJoin(Join) {}

// lineSize is a writer that keeps the size of the last line.
type lineSize int

func (s *lineSize) Write(line []byte) (int, error) {
	*s = lineSize(len(line))
	return len(line), nil
}
