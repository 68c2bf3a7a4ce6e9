package cpumeter_test

import (
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/cpumeter"
)

const (
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = time.Second
)

// TestLateTicksCountAsFullUse checks that a router whose ticks come late takes itself to be short of
// processor time, however little it was charged for, and that one whose ticks become rare or frequent
// does not.
func TestLateTicksCountAsFullUse(t *testing.T) {
	cases := map[string]struct {
		// gaps are the times between ticks, intervals the intervals at which they were to come.
		gaps, intervals []time.Duration
		want            bool
	}{
		"in time":            {repeat(20*time.Millisecond, 20), repeat(tickInterval, 20), false},
		"each late":          {repeat(40*time.Millisecond, 20), repeat(tickInterval, 20), true},
		"one late":           {append(append(repeat(20*time.Millisecond, 10), 200*time.Millisecond), repeat(20*time.Millisecond, 4)...), repeat(tickInterval, 15), true},
		"idle, in time":      {repeat(time.Second, 5), repeat(idleTickInterval, 5), false},
		"idle, late":         {repeat(1200*time.Millisecond, 5), repeat(idleTickInterval, 5), true},
		"idle after busy":    {append(repeat(20*time.Millisecond, 8), repeat(time.Second, 2)...), append(repeat(tickInterval, 8), repeat(idleTickInterval, 2)...), false},
		"busy after idle":    {append(repeat(time.Second, 3), repeat(20*time.Millisecond, 12)...), append(repeat(idleTickInterval, 3), repeat(tickInterval, 12)...), false},
		"late after idle":    {append(repeat(time.Second, 3), repeat(45*time.Millisecond, 12)...), append(repeat(idleTickInterval, 3), repeat(tickInterval, 12)...), true},
		"a little late only": {repeat(30*time.Millisecond, 20), repeat(tickInterval, 20), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := cpumeter.New(func() time.Duration { return 0 }, 1, tickInterval)
			m.Restart(now)
			full := false
			for i, gap := range c.gaps {
				if i > 0 && c.intervals[i] != c.intervals[i-1] {
					m.Restart(now)
				}
				now = now.Add(gap)
				utilisation, ok := m.Measure(now, c.intervals[i])
				full = full || ok && utilisation == 1
			}
			if full != c.want {
				t.Errorf("full use found: %t, want %t", full, c.want)
			}
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}
	return list
}
