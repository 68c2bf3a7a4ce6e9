package coldstart_test

import (
	"fmt"
	"iter"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/coldstart"
	"github.com/stepcroft/stepcroft/internal/message"
)

// ExampleRate shows how many requests a second the routers of different ranks may send to a
// cold target.
func ExampleRate() {
	r := coldstart.Rate{PerSecond: 9.8, MaxPerSecond: 19.7}
	fmt.Println(r.SendLimit(0, 91), r.SendLimit(1, 91), r.SendLimit(2, 91), r.SendLimit(3, 91))
	fmt.Println(r.SendLimit(0, 2), r.SendLimit(1, 2))
	fmt.Println(coldstart.Rate{PerSecond: 0.5, MaxPerSecond: 5}.SendLimit(0, 8))
	fmt.Println(coldstart.Rate{}.SendLimit(0, 8))
	// Output:
	// 2 2 2 0
	// 3 3
	// 1
	// 0
}

var start = time.Unix(1000, 0)

func TestWindow(t *testing.T) {
	var w coldstart.Window
	for i := range 50 {
		w.Add(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	last := start.Add(4900 * time.Millisecond)
	cases := map[time.Duration]int{
		0: 11, 100 * time.Millisecond: 10, time.Second: 1, 1100 * time.Millisecond: 0, time.Hour: 0,
	}
	for after, want := range cases {
		if got := w.Count(last.Add(after)); got != want {
			t.Errorf("%d sends counted %v after the last one, want %d", got, after, want)
		}
	}
}

// fleet is a router's view of the fleet.
type fleet struct {
	routers  []message.RouterRecord
	majority bool
}

func (f fleet) Each(time.Time) iter.Seq[message.RouterRecord] {
	return func(yield func(message.RouterRecord) bool) {
		for _, r := range f.routers {
			if !yield(r) {
				return
			}
		}
	}
}

func (f fleet) Majority(time.Time) bool { return f.majority }

// routers returns n routers, of which every third is large.
func routers(n int) []message.RouterRecord {
	var list []message.RouterRecord
	for i := range n {
		r := message.RouterRecord{ID: message.RouterID(fmt.Sprint("r", i)), Capacity: 0.2}
		if i%3 == 0 {
			r.Capacity = 0.8
		}
		list = append(list, r)
	}
	return list
}

func TestSenders(t *testing.T) {
	rate := coldstart.Rate{PerSecond: 9.8, MaxPerSecond: 19.7}
	cases := map[string]struct {
		fleet fleet
		after time.Duration
		want  int
	}{
		"all agree":                       {fleet: fleet{routers: routers(90), majority: true}, after: time.Minute, want: 6},
		"one router":                      {fleet: fleet{routers: routers(1), majority: true}, after: time.Minute, want: 6},
		"the smaller side of a partition": {fleet: fleet{routers: routers(90)}, after: time.Minute},
		"all have just started":           {fleet: fleet{routers: routers(90), majority: true}, after: time.Second},
		"a fleet without known routers":   {fleet: fleet{majority: true}, after: time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, target := range []string{"a", "b", "c"} {
				sum := 0
				for _, r := range routers(90) {
					limit := coldstart.NewSenders(start, c.fleet, r.ID).SendLimit(start.Add(c.after), target, rate)
					if limit > 0 && r.Capacity < 0.8 {
						t.Errorf("small router %s may send", r.ID)
					}
					sum += limit
				}
				if sum != c.want {
					t.Errorf("%d a second to %s, want %d", sum, target, c.want)
				}
			}
		})
	}
}

// BenchmarkSendLimit measures how long it takes to compute the limit for a cold target.
func BenchmarkSendLimit(b *testing.B) {
	for name, n := range map[string]int{"91 routers": 91, "630": 630} {
		b.Run(name, func(b *testing.B) {
			s := coldstart.NewSenders(start, fleet{routers: routers(n), majority: true}, "r0")
			now := start.Add(time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				s.SendLimit(now, "target", coldstart.Rate{PerSecond: 9.8, MaxPerSecond: 19.7})
			}
		})
	}
}

func TestJoinAgain(t *testing.T) {
	f := fleet{routers: routers(1), majority: true}
	s := coldstart.NewSenders(start, f, "r0")
	now := start.Add(time.Minute)
	if s.SendLimit(now, "a", coldstart.Rate{PerSecond: 5, MaxPerSecond: 12}) == 0 {
		t.Error("the only router may not send")
	}
	s.Join(now)
	if s.SendLimit(now.Add(time.Second), "a", coldstart.Rate{PerSecond: 5, MaxPerSecond: 12}) > 0 {
		t.Error("may send a second after its box was suspended")
	}
}
