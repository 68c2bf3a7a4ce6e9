package router

import (
	"context"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/control"
	"github.com/stepcroft/stepcroft/internal/group"
)

// TestCallWhileLoopEnds guards against reading the result of an event that still runs after the loop
// was told to end.
func TestCallWhileLoopEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	g := group.New(ctx)
	l := newLoop(g)
	g.GoContext(func(ctx context.Context) { l.run(ctx, nil, time.Hour) })
	release := make(chan struct{})
	list := call(l, func(*control.State, time.Time) []int {
		cancel()
		<-release
		return []int{1}
	})
	close(release)
	if len(list) > 0 {
		t.Errorf("result %v of an event that still ran", list)
	}
	g.Wait()
}
