// Package heapgoal decides how far the heap may grow before it is collected again.
//
// The work of the garbage collector per second is the live heap times the number of collections,
// and that number follows from the bytes by which the heap may grow. A percentage of the live
// heap (GOGC) is generous with memory where the live heap is large, and collects too often where
// it is small: a router without many targets would spend a fifth of a small box's processor on it
// under a flood of requests. So a small heap may grow by a fixed number of bytes, and a large one
// by a smaller percentage.
package heapgoal

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// minGrowth is the number of bytes by which a heap of any size may grow, up to maxPercent.
	minGrowth = 12 << 20
	// minPercent and maxPercent bound the growth in percent of the live heap.
	minPercent = 50
	maxPercent = 300
	// adjustInterval is the interval between adjustments.
	adjustInterval = time.Second
	// minChangePercent is the change of the percentage, in percent of it, that is applied:
	// applying one stops all goroutines for a moment.
	minChangePercent = 10
)

// Percent returns the growth, in percent of the live heap, after which to collect a heap with this
// many live bytes.
func Percent(live uint64) int {
	if live == 0 {
		return maxPercent
	}
	return int(min(max(minGrowth*100/live, minPercent), maxPercent))
}

// Run adjusts the garbage collector to the live heap until ctx is done.
func Run(ctx context.Context) {
	current := maxPercent
	debug.SetGCPercent(current)
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindUint64 {
			return
		}
		if next := Percent(sample[0].Value.Uint64()); abs(next-current)*100 >= current*minChangePercent {
			current = next
			debug.SetGCPercent(current)
		}
	}
}

func abs(n int) int { return max(n, -n) }
