package balance_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
)

// TestLoopMeasuresItsUse guards against a loop that does not tell its state which part of the cores the router uses.
func TestLoopMeasuresItsUse(t *testing.T) {
	began := clock.Now()
	l := balance.NewLoop(balance.New(began, "z", balance.Limits{QuotaWindow: time.Second}, rand.New(rand.NewPCG(1, 1))))
	l.SetMeter(func() time.Duration { return 2 * clock.Since(began) }, 1)
	ctx, cancel := context.WithCancel(t.Context())
	background := group.New(ctx)
	defer background.Stop()
	defer cancel()
	background.GoContext(l.Run)
	for end := clock.Now().Add(10 * time.Second); l.CPUUtilisation() < 1; time.Sleep(5 * time.Millisecond) {
		if clock.Now().After(end) {
			t.Fatalf("use of %.2f found, want 1 or more", l.CPUUtilisation())
		}
	}
}
