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

// ExamplePercent shows how far heaps of different sizes may grow.
func ExamplePercent() {
	for _, live := range []uint64{0, 2 << 20, 6 << 20, 12 << 20, 100 << 20} {
		fmt.Println(live>>20, heapgoal.Percent(live))
	}
	// Output:
	// 0 300
	// 2 300
	// 6 200
	// 12 100
	// 100 50
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
	for time.Now().Before(deadline) && percent != heapgoal.Percent(64<<20) {
		debug.FreeOSMemory()
		time.Sleep(100 * time.Millisecond)
		percent = debug.SetGCPercent(1000)
		debug.SetGCPercent(percent)
	}
	background.Stop()
	runtime.KeepAlive(kept)
	if want := heapgoal.Percent(64 << 20); percent != want {
		t.Errorf("with %d MB live the heap may grow by %d%%, want %d%%", len(kept)>>20, percent, want)
	}
}
