package eventgap_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/eventgap"
)

func Example() {
	m := eventgap.New()
	for running := range 40 {
		m.Observe(running+1, 1, 20*time.Millisecond+time.Duration(running+1)*2*time.Millisecond)
	}
	fmt.Println("between events:", m.Gap(30, 1).Round(10*time.Millisecond))
	fmt.Println("for 50 more:", m.Remaining(30, 50, 1).Round(time.Second))
	prefill, _ := m.MaxPrefill(30, 1, 600*time.Millisecond)
	fmt.Println("reading without a break:", prefill.Round(10*time.Millisecond))
	// Output:
	// between events: 80ms
	// for 50 more: 4s
	// reading without a break: 520ms
}

// TestGap guards against predictions from too little, from a single load, and from values that an
// engine or another router made up.
func TestGap(t *testing.T) {
	const ms = time.Millisecond
	same := func(n, running int, factor float64, gap time.Duration) func(m *eventgap.Model) {
		return func(m *eventgap.Model) {
			for range n {
				m.Observe(running, factor, gap)
			}
		}
	}
	tests := map[string]struct {
		observe         func(m *eventgap.Model)
		running         int
		factor          float64
		atLeast, atMost time.Duration
	}{
		"19 observations":         {observe: same(19, 10, 1, 50*ms), running: 10, factor: 1},
		"20 observations":         {observe: same(20, 10, 1, 50*ms), running: 10, factor: 1, atLeast: 50 * ms, atMost: 50 * ms},
		"one load only":           {observe: same(200, 10, 1, 50*ms), running: 60, factor: 1, atLeast: 50 * ms, atMost: 50 * ms},
		"factor taken out":        {observe: same(200, 10, 2, 100*ms), running: 10, factor: 1, atLeast: 50 * ms, atMost: 50 * ms},
		"factor put in":           {observe: same(200, 10, 1, 50*ms), running: 10, factor: 2, atLeast: 100 * ms, atMost: 100 * ms},
		"factor not a number":     {observe: same(200, 10, math.NaN(), 50*ms), running: 10, factor: math.Inf(1), atLeast: 50 * ms, atMost: 50 * ms},
		"negative gaps":           {observe: same(200, 10, 1, -50*ms), running: 10, factor: 1},
		"nothing runs":            {observe: same(200, 0, 1, 50*ms), running: 10, factor: 1},
		"fewer events with load":  {observe: func(m *eventgap.Model) { same(100, 40, 1, 20*ms)(m); same(100, 5, 1, 80*ms)(m) }, running: 1, factor: 1, atLeast: 20 * ms, atMost: 100 * ms},
		"one caller that stalled": {observe: func(m *eventgap.Model) { same(100, 10, 1, 50*ms)(m); m.Observe(10, 1, time.Minute) }, running: 10, factor: 1, atLeast: 50 * ms, atMost: 53 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := eventgap.New()
			test.observe(m)
			if got := m.Gap(test.running, test.factor).Round(ms); got < test.atLeast || got > test.atMost {
				t.Fatalf("gap %v, want %v to %v", got, test.atLeast, test.atMost)
			}
		})
	}
}

// TestChange guards against a model that follows a change of all engines only after hundreds of answers.
func TestChange(t *testing.T) {
	m := eventgap.New()
	for _, gap := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 50 * time.Millisecond} {
		for range 200 {
			m.Observe(10, 1, gap)
		}
		got := m.Gap(10, 1)
		if got < gap*9/10 || got > gap*11/10 {
			t.Fatalf("gap %v after 200 observations of %v", got, gap)
		}
	}
	for n := 1; ; n++ {
		m.Observe(10, 1, 400*time.Millisecond)
		if m.Gap(10, 1) > 250*time.Millisecond {
			break
		}
		if n == 30 {
			t.Fatalf("gap %v after %d observations of 400ms", m.Gap(10, 1), n)
		}
	}
}

// TestLength guards against lengths learnt from answers that were cut off, and from single long ones.
func TestLength(t *testing.T) {
	var l eventgap.Length
	l.Observe(100, 1_000_000, false)
	if l.Ratio() > 3 {
		t.Fatalf("ratio %v after one answer", l.Ratio())
	}
	for range 300 {
		l.Observe(100, 200, false)
		l.Observe(100, 20, true)
	}
	if got := l.Ratio(); got < 1.9 || got > 2.1 {
		t.Fatalf("ratio %v, want 2", got)
	}
}
