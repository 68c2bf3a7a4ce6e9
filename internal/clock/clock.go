// Package clock provides a clock that keeps running while the box is suspended. The monotonic
// clock of the standard library stops during a suspension, so that afterwards a router would
// take outdated state for fresh, and expired leases and keys for valid.
//
// Compare times of this package only with each other, never with those of time.Now: they are
// ahead of them by the time for which the box was suspended. For timers of the kernel and of the
// standard library, use durations or Deadline. For the time of day, use Wall.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that counts. On a busy box, readings of two clocks
// may differ by shorter times without a suspension.
const minSuspension = 50 * time.Millisecond

// Clock is a monotonic clock that includes suspensions of the box. Use New to create one.
type Clock struct {
	// sinceBoot returns the time since the box booted, including suspensions, or false if it
	// is not available.
	sinceBoot func() (time.Duration, bool)
	monotonic func() time.Time
	start     time.Time
	// bootAtStart is the time of sinceBoot when the Clock was created.
	bootAtStart time.Duration
	// totalSuspended is the total time of suspensions since the start, in nanoseconds.
	totalSuspended atomic.Int64
}

// New returns a clock without suspensions so far. sinceBoot returns a time that goes on while
// the box is suspended, or false if there is none. monotonic returns a time that stops then.
func New(sinceBoot func() (time.Duration, bool), monotonic func() time.Time) *Clock {
	c := &Clock{sinceBoot: sinceBoot, monotonic: monotonic, start: monotonic()}
	c.bootAtStart, _ = sinceBoot()
	return c
}

// Now returns the time, including the suspensions found by Check so far. It makes no system call
// of its own.
func (c *Clock) Now() time.Time { return c.monotonic().Add(time.Duration(c.totalSuspended.Load())) }

// Check returns how long the box was suspended since the last call, 0 if it was not, and adds
// that to the clock. Call it every few tens of milliseconds.
func (c *Clock) Check() time.Duration {
	// Read monotonic on both sides of sinceBoot: if the two readings are far apart, the
	// goroutine was paused in between, and the difference does not show a suspension.
	running := c.monotonic().Sub(c.start)
	boot, ok := c.sinceBoot()
	if !ok {
		return 0
	}
	before := time.Duration(c.totalSuspended.Load())
	suspended := boot - c.bootAtStart - running - before
	if suspended < minSuspension || c.monotonic().Sub(c.start)-running >= minSuspension {
		return 0
	}
	c.totalSuspended.Store(int64(before + suspended))
	return suspended
}

// processClock is the clock of this process, behind the package-level functions.
var processClock = New(bootTime, time.Now)

// bootTime returns CLOCK_BOOTTIME, by a system call. With it, Check takes 0.34 microseconds, Now
// 0.10 and time.Now 0.08 (BenchmarkCheck, BenchmarkNow, BenchmarkTimeNow).
func bootTime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// Now is Clock.Now of the process's clock.
func Now() time.Time { return processClock.Now() }

// Since returns the time since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Check is Clock.Check of the process's clock.
func Check() time.Duration { return processClock.Check() }

// Deadline returns the time after d from now for a deadline of the kernel or of the standard
// library, such as net.Conn.SetDeadline.
func Deadline(d time.Duration) time.Time { return time.Now().Add(d) }

// Wall returns the time of day, for names and logs. It may jump.
func Wall() time.Time { return time.Now() }
