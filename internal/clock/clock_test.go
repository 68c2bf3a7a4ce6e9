package clock_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/clock"
)

// box simulates the two clocks of a box that can be suspended.
type box struct {
	monotonic   time.Time
	sinceBoot   time.Duration
	noBootClock bool
}

func (b *box) clock() *clock.Clock {
	return clock.New(func() (time.Duration, bool) { return b.sinceBoot, !b.noBootClock }, func() time.Time { return b.monotonic })
}

func (b *box) run(d time.Duration) {
	b.monotonic = b.monotonic.Add(d)
	b.sinceBoot += d
}

func ExampleClock() {
	b := &box{monotonic: time.Unix(1000, 0)}
	c := b.clock()
	before := c.Now()
	b.run(time.Second)
	b.sinceBoot += 5 * time.Second // suspended
	fmt.Println(c.Check(), c.Now().Sub(before))
	// Output: 5s 6s
}

func TestNoBootClock(t *testing.T) {
	b := &box{monotonic: time.Unix(1000, 0), noBootClock: true}
	c := b.clock()
	before := c.Now()
	b.run(time.Second)
	if suspended := c.Check(); suspended != 0 || c.Now().Sub(before) != time.Second {
		t.Errorf("suspended for %v, want 0; clock advanced by %v, want 1s", suspended, c.Now().Sub(before))
	}
}

// TestAge checks that after any sequence of running and suspension, the clock's time since the
// start is that of the box's clock since boot, except for suspensions that are too short to
// count, and that the clock never goes back.
func TestAge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := &box{monotonic: time.Unix(1000, 0)}
		c := b.clock()
		start, bootAtStart, last := c.Now(), b.sinceBoot, c.Now()
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			b.run(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "run")) * time.Millisecond)
			b.sinceBoot += time.Duration(rapid.IntRange(0, 30_000).Draw(rt, "suspended")) * time.Millisecond
			c.Check()
			now := c.Now()
			if missing := b.sinceBoot - bootAtStart - now.Sub(start); missing < 0 || missing >= 50*time.Millisecond {
				rt.Fatalf("the clock advanced by %v since the start, the clock since boot by %v", now.Sub(start), b.sinceBoot-bootAtStart)
			}
			if now.Before(last) {
				rt.Fatalf("the clock went back from %v to %v", last, now)
			}
			last = now
		}
	})
}

// BenchmarkCheck, BenchmarkNow and BenchmarkTimeNow compare the cost of reading the clocks.
func BenchmarkCheck(b *testing.B) {
	for b.Loop() {
		clock.Check()
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
