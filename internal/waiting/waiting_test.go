package waiting_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/waiting"
)

var start = time.Unix(1000, 0)

func ExampleForecast() {
	f := waiting.New()
	held := waiting.Class{Service: "llm", OverShare: true, Place: 5}
	for range 20 {
		f.Record(start, held, false)
	}
	fmt.Println("the same class:", f.Refuse(start, held))
	fmt.Println("in front of the queue:", f.Refuse(start, waiting.Class{Service: "llm", OverShare: true}))
	fmt.Println("two seconds later:", f.Refuse(start.Add(2*time.Second), held))
	// Output:
	// the same class: true
	// in front of the queue: false
	// two seconds later: false
}

func ExampleRefused() {
	var r waiting.Refused
	r.Add("water", start.Add(120*time.Millisecond), 24)
	fmt.Println(r.Count(start, "water"), r.Count(start.Add(120*time.Millisecond), "water"))
	// Output: 1 0
}

// Guards against an outage that keeps forecasts in force after it: one request in 16 must go on
// waiting, and what it finds must count at once, however many were recorded before.
func TestForecastEndsAfterOutage(t *testing.T) {
	for name, perSecond := range map[string]int{"few requests": 100, "many": 6000} {
		t.Run(name, func(t *testing.T) {
			f, now := waiting.New(), start
			step := time.Second / time.Duration(perSecond)
			refused := 0
			c := waiting.Class{Service: "llm"}
			for range 4 * perSecond {
				now = now.Add(step)
				if f.Refuse(now, c) {
					refused++
					continue
				}
				f.Record(now, c, false)
			}
			if refused < 3*perSecond {
				t.Fatalf("%d of %d hopeless requests refused, want most", refused, 4*perSecond)
			}
			for since := now; f.Refuse(now, c) || f.Refuse(now, c); now = now.Add(step) {
				if now.Sub(since) > 500*time.Millisecond {
					t.Fatal("still refused 0.5 s after the outage")
				}
				if !f.Refuse(now, c) {
					f.Record(now, c, true)
				}
			}
		})
	}
}

// Guards against counts that drift from the window as buckets leave it and classes are pruned, by
// comparison with a list of all waits.
func TestForecastRandomly(t *testing.T) {
	type end struct {
		at     int
		c      waiting.Class
		placed bool
	}
	const bucket = 100
	rapid.Check(t, func(t *rapid.T) {
		f := waiting.New()
		f.Record(start, waiting.Class{}, true)
		var list []end
		hopeless := map[waiting.Class]int{}
		now := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.SampledFrom([]int{0, 1, 30, 400, 3000}).Draw(t, "passed")
			c := waiting.Class{Service: "llm", OverShare: rapid.Bool().Draw(t, "over"), Place: rapid.SampledFrom([]int{0, 2}).Draw(t, "place")}
			at := start.Add(time.Duration(now) * time.Millisecond)
			for range rapid.SampledFrom([]int{0, 1, 12, 25}).Draw(t, "ends") {
				placed := rapid.IntRange(0, 30).Draw(t, "draw") == 0
				f.Record(at, c, placed)
				list = append(list, end{now, c, placed})
			}
			placed, all := 0, 0
			for _, e := range list {
				if e.c == c && now/bucket-e.at/bucket < 20 {
					all++
					if e.placed {
						placed++
					}
				}
			}
			wantHopeless := all >= 20 && placed*20 < all
			got := f.Refuse(at, c)
			if !wantHopeless {
				if got {
					t.Fatalf("refused with %d of %d placed", placed, all)
				}
				continue
			}
			hopeless[c]++
			if !got && hopeless[c] < 16 {
				t.Fatalf("not refused with %d of %d placed, the %dth", placed, all, hopeless[c])
			}
			if !got {
				hopeless[c] = 0
			}
		}
	})
}
