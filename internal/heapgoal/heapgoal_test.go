package heapgoal_test

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/heapgoal"
)

// ExamplePercent shows how far heaps of different sizes may grow while little and while much is
// allocated.
func ExamplePercent() {
	for _, live := range []uint64{0, 2 << 20, 6 << 20, 12 << 20, 100 << 20} {
		fmt.Println(live>>20, heapgoal.Percent(live, 100<<10), heapgoal.Percent(live, 50<<20))
	}
	// Output:
	// 0 300 300
	// 2 100 300
	// 6 34 200
	// 12 17 100
	// 100 2 25
}

// TestCollectionsAreBounded checks that whatever is allocated, and whatever lives, a heap is not
// collected more often than its growth bounds: at small live heaps and high rates as often as a
// percentage of 300 has it, else at most twice a second, or once in maxGrowth bytes.
func TestCollectionsAreBounded(t *testing.T) {
	for _, live := range []uint64{1 << 20, 4 << 20, 16 << 20, 64 << 20, 256 << 20} {
		for _, rate := range []uint64{0, 1 << 10, 1 << 20, 20 << 20, 200 << 20} {
			growth := live * uint64(heapgoal.Percent(live, rate)) / 100
			if most := max(3*live, 12<<20, live/2) + live/100; growth > most {
				t.Errorf("%d bytes live, %d allocated a second: grows by %d, want at most %d", live, rate, growth, most)
			}
			atMost := max(2, float64(rate)/float64(min(3*live, 11<<20)))
			if perSecond := float64(rate) / float64(growth); perSecond > atMost {
				t.Errorf("%d bytes live, %d allocated a second: %.1f collections a second, want at most %.1f", live, rate, perSecond, atMost)
			}
		}
	}
}

// TestRunFollowsLiveHeap checks that the percentage falls when the live heap has grown.
func TestRunFollowsLiveHeap(t *testing.T) {
	before := debug.SetGCPercent(100)
	defer debug.SetGCPercent(before)
	background := group.New(context.Background())
	kept := make([]byte, 64<<20)
	background.GoContext(heapgoal.Run)
	deadline := time.Now().Add(20 * time.Second)
	percent := 0
	for time.Now().Before(deadline) && percent != heapgoal.Percent(64<<20, 0) {
		debug.FreeOSMemory()
		time.Sleep(100 * time.Millisecond)
		percent = debug.SetGCPercent(1000)
		debug.SetGCPercent(percent)
	}
	background.Stop()
	runtime.KeepAlive(kept)
	if want := heapgoal.Percent(64<<20, 0); percent != want {
		t.Errorf("with %d MB live the heap may grow by %d%%, want %d%%", len(kept)>>20, percent, want)
	}
}
