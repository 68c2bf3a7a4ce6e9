package requestlog_test

import (
	"log/slog"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/logsink"
	"github.com/stepcroft/stepcroft/internal/requestlog"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/tally"
)

// lineSize is a writer that keeps the size of the last line.
type lineSize int

func (s *lineSize) Write(line []byte) (int, error) {
	*s = lineSize(len(line))
	return len(line), nil
}

// BenchmarkRequestLine measures what the line of a stream takes, with and without the fields of its runs. The queue of
// the sink is always full, so that copying a line into it is part of that, and writing it to a file is not.
func BenchmarkRequestLine(b *testing.B) {
	target := balance.Target{ID: "engine-front-hall-water-17", Version: "2026.11.3", Born: 1765036800123}
	r := forward.Request{
		ID: "b8a1f6f0-3a44-4b57-9d57-1f0f0a2c9d11", Organisation: "dewu242", Input: 1830, Output: 256, ConfigVersion: 12, ConfigAge: 300 * time.Millisecond,
		Route: &routing.Route{Name: "chat", Kind: routing.Streaming, Goal: 400 * time.Millisecond},
	}
	plain := forward.Result{
		Status: http.StatusOK, HeadSent: true, TargetID: target.ID, TargetVersion: target.Version, Sends: 1, PendingTokens: 1200, UncachedTokens: 830,
		QueueTime: 3 * time.Millisecond, TimeToFirstByte: 180 * time.Millisecond, LongestPause: 60 * time.Millisecond,
	}
	stream := plain
	stream.Runs, stream.Events, stream.LastEventID, stream.RunTarget = 1, 256, "256", target
	for name, v := range map[string]forward.Result{"without runs": plain, "with runs": stream} {
		b.Run(name, func(b *testing.B) {
			var out lineSize
			sink := logsink.New(&out, 1, math.MaxInt)
			log := logr.FromSlogHandler(slog.NewJSONHandler(sink, nil)).WithValues("router", "front-hall-water-3")
			noChange := func() lifecycle.Change { return lifecycle.Change{} }
			o := requestlog.New(log, nil, counters.New(), tally.New(), noChange)
			b.ReportAllocs()
			for b.Loop() {
				o.RequestEnded(r, v, 13*time.Second)
			}
			o = requestlog.New(logr.FromSlogHandler(slog.NewJSONHandler(&out, nil)).WithValues("router", "front-hall-water-3"), nil, counters.New(), tally.New(), noChange)
			o.RequestEnded(r, v, 13*time.Second)
			b.ReportMetric(float64(out), "bytes/line")
		})
	}
}
