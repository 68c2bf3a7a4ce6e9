// Package heapgoal decides how far the heap may grow before it is collected again.
//
// The work of the garbage collector per second is the live heap times the number of collections,
// and that number follows from the bytes allocated per second and from those by which the heap may
// grow. A percentage of the live heap (GOGC) follows neither: at the default, a router without
// many targets would spend a fifth of a small box's processor on it under a flood of requests, and
// one with thousands of targets and no callers would keep as much again for nothing. So the heap
// may grow by what is allocated in some time, within bounds.
package heapgoal

import (
	"context"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
)

const (
	// minCycle is the time between two collections that the heap may grow for.
	minCycle = 500 * time.Millisecond
	// minGrowth and maxGrowth bound the growth in bytes. A large live heap may grow by
	// maxGrowthPercent of it, if that is more than maxGrowth.
	minGrowth        = 2 << 20
	maxGrowth        = 12 << 20
	maxGrowthPercent = 50
	// maxPercent bounds the growth in percent of the live heap.
	maxPercent = 300
	// adjustInterval is the interval between adjustments besides those after each collection.
	adjustInterval = 2 * time.Second
	// minChangePercent is the change of the percentage, in percent of it, that is applied:
	// applying one stops all goroutines for a moment.
	minChangePercent = 10
)

// Percent returns the growth, in percent of the live heap, after which to collect a heap with this
// many live bytes while this many are allocated per second.
func Percent(live, allocatedPerSecond uint64) int {
	if live == 0 {
		return maxPercent
	}
	most := max(maxGrowth, live*maxGrowthPercent/100)
	growth := min(max(uint64(float64(allocatedPerSecond)*minCycle.Seconds()), minGrowth), most)
	return int(min((growth*100+live-1)/live, maxPercent))
}

// Run adjusts the garbage collector to the live heap and to the rate of allocations until ctx is
// done: after each collection, so that it follows a flood at once, and at intervals, so that it
// follows the end of one.
func Run(ctx context.Context) {
	t := tuner{
		samples: []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/heap/allocs:bytes"}},
		percent: maxPercent, collected: make(chan struct{}, 1),
	}
	debug.SetGCPercent(t.percent)
	t.notifyOfCollection(ctx)
	t.adjust(clock.Now())
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.collected:
		}
		t.adjust(clock.Now())
	}
}

// tuner holds what the last adjustment saw.
type tuner struct {
	samples   []metrics.Sample
	percent   int
	allocated uint64
	at        time.Time
	// collected receives a value after a collection.
	collected chan struct{}
}

// sentinel is unreachable from the start, so that its finalizer runs after the next collection.
type sentinel struct{ _ [16]byte }

// notifyOfCollection sends to collected after each collection until ctx is done.
func (t *tuner) notifyOfCollection(ctx context.Context) {
	runtime.SetFinalizer(&sentinel{}, func(*sentinel) {
		if ctx.Err() != nil {
			return
		}
		select {
		case t.collected <- struct{}{}:
		default:
			// An adjustment is due anyway.
		}
		t.notifyOfCollection(ctx)
	})
}

func (t *tuner) adjust(now time.Time) {
	metrics.Read(t.samples)
	live, allocated := t.samples[0].Value, t.samples[1].Value
	if live.Kind() != metrics.KindUint64 || allocated.Kind() != metrics.KindUint64 {
		// This version of Go does not measure them.
		return
	}
	before, since := t.allocated, now.Sub(t.at)
	first := t.at.IsZero()
	t.allocated, t.at = allocated.Uint64(), now
	if first || since <= 0 {
		return
	}
	rate := float64(t.allocated-before) / since.Seconds()
	if next := Percent(live.Uint64(), uint64(rate)); abs(next-t.percent)*100 >= t.percent*minChangePercent {
		t.percent = next
		debug.SetGCPercent(next)
	}
}

func abs(n int) int { return max(n, -n) }
