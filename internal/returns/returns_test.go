package returns_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/returns"
)

var start = time.Unix(1000, 0)

const (
	slot     = returns.SlotWidth
	earliest = 100 * time.Millisecond
)

// ExamplePlan shows refused callers that are spread over slots of what engines start, 1,000 tokens
// each, less a tenth.
func ExamplePlan() {
	p, now := returns.New(), start
	for range 20 {
		p.Began(now, "llm", 1000)
		now = now.Add(slot)
	}
	for range 4 {
		fmt.Println(p.Book(now, "llm", 600, earliest, 0.5))
	}
	fmt.Println(p.Own(now))
	// Output:
	// 150ms
	// 150ms
	// 250ms
	// 250ms
	// [{llm 1 [1200 1200]}]
}

// Guards against callers that are sent elsewhere at the same time because slots are counted from
// another router's clock or are counted twice.
func TestPlansExchange(t *testing.T) {
	p, other := returns.New(), returns.New()
	other.Own(start.Add(-time.Hour))
	for i := range 20 {
		p.Began(start.Add(time.Duration(i)*slot), "llm", 1000)
		other.Began(start.Add(time.Duration(i)*slot), "llm", 1000)
	}
	now := start.Add(20 * slot)
	for range 2 {
		p.Book(now, "llm", 900, earliest, 0)
	}
	for range 3 {
		other.SetPeer(now, "a", p.Own(now))
	}
	if d := other.Book(now, "llm", 900, earliest, 0); d != 3*slot {
		t.Errorf("booked after %v, want after the other's two bookings", d)
	}
	// The other router has ended: its bookings stay until they have passed.
	later := now.Add(slot)
	if d := other.Book(later, "llm", 900, earliest, 0); d != 3*slot {
		t.Errorf("booked after %v, want after all bookings", d)
	}
	// A report that contains them replaces them.
	other.RemovePeer(later, "a")
	if d := other.Book(later, "llm", 900, earliest, 0); d != slot {
		t.Errorf("booked after %v, want the slot of the removed booking", d)
	}
}

// Guards against values of a faulty router, or of one with another version, that shift or fill slots.
func TestInvalidSlots(t *testing.T) {
	for name, s := range map[string]returns.Slots{
		"no service":   {Tokens: []float64{1}},
		"negative":     {Service: "llm", Tokens: []float64{-1}},
		"not a number": {Service: "llm", Tokens: []float64{math.NaN()}},
		"huge":         {Service: "llm", Tokens: []float64{math.Inf(1)}},
		"past":         {Service: "llm", First: -1, Tokens: []float64{1}},
		"far ahead":    {Service: "llm", First: math.MaxInt64, Tokens: []float64{1}},
		"too many":     {Service: "llm", Tokens: make([]float64, returns.Count+1)},
	} {
		t.Run(name, func(t *testing.T) {
			p := returns.New()
			p.SetPeer(start, "r", []returns.Slots{s})
			if n := p.Counts().Ignored; n != 1 {
				t.Errorf("%d ignored, want 1", n)
			}
			if d := p.Book(start, "llm", 1, earliest, 0); d != slot {
				t.Errorf("booked after %v, want the first slot, as without invalid ones", d)
			}
		})
	}
}

// Guards against a service that a faulty router reports many times, and sums that other routers ignore
// because they are out of bounds.
func TestRepeatedAndLargeSlots(t *testing.T) {
	p, large := returns.New(), returns.Slots{Service: "llm", Tokens: []float64{8e8}}
	p.SetPeer(start, "r", []returns.Slots{large, large, large})
	if _, others := p.Reported(start); others != 8e8 || p.Counts().Ignored != 2 {
		t.Errorf("%.0f tokens booked by a router, want those of the first entry", others)
	}
	if sum := large.Plus(large); !sum.Valid() {
		t.Errorf("sum is invalid: %v", sum)
	}
	if got := large.Capped(5).Tokens[0]; got != 5 || large.Tokens[0] != 8e8 {
		t.Errorf("capped to %v, the original is %v", got, large.Tokens)
	}
}

// Guards against callers who are told a time that is too early, too late, or that no longer helps
// once engines go on: without knowledge they are spread over a second, and what was started counts
// from its first slot on.
func TestUnknownCapacity(t *testing.T) {
	p := returns.New()
	for i := range 20 {
		if d := p.Book(start, "llm", 100, earliest, 0); d != time.Duration(i%10+1)*slot {
			t.Errorf("caller %d is to return after %v", i, d)
		}
	}
	p.Began(start, "llm", 1000)
	p.Began(start, "llm", 1000)
	if d := p.Book(start.Add(slot), "llm", 100, earliest, 0); d != slot {
		t.Errorf("to return after %v, want the first slot, which has room", d)
	}
	after := start.Add(time.Minute)
	p.Began(after, "llm", 500)
	p.Book(after.Add(slot), "llm", 500, earliest, 0)
	if d := p.Book(after.Add(slot), "llm", 500, earliest, 0); d != 2*slot {
		t.Errorf("to return after %v, want the second slot: starts of a minute ago do not count", d)
	}
}

// naive is a Plan that keeps lists of everything, and adds up anew for each booking.
type naive struct {
	began, own map[int64]float64
	peers      map[string]map[int64]float64
	others     int
	// recent has the own bookings since the last report, and between it and the one before.
	recent [2]map[int64]float64
	// factor stands for what others have booked and not reported.
	factor float64
}

func (n *naive) booked(at int64) float64 {
	total := n.own[at] + n.factor*(n.recent[0][at]+n.recent[1][at])
	for _, p := range n.peers {
		total += p[at]
	}
	return total
}

func (n *naive) setFactor(now int64, capacity float64) {
	reported, known := 0.0, 0.0
	for at := now; at < now+40; at++ {
		reported += n.own[at] - n.recent[0][at] - n.recent[1][at]
		for _, p := range n.peers {
			known += p[at]
		}
	}
	n.factor = float64(n.others)
	if n.others > 0 && reported+capacity > 0 {
		n.factor = min((known+capacity)/(reported+capacity/n.factor), n.factor)
	}
}

// capacity returns the mean of the complete slots of the last 2 s, since the first after a pause of
// more than that.
func (n *naive) capacity(now int64) float64 {
	first, last := int64(-1), int64(-1)
	for i := range now + 1 {
		if _, ok := n.began[i]; !ok {
			continue
		}
		if first < 0 || i-last > 20 {
			first = i
		}
		last = i
	}
	from := max(now-20, first)
	if first < 0 || from >= now || now-last > 20 {
		return 0
	}
	total := 0.0
	for i := from; i < now; i++ {
		total += n.began[i]
	}
	return total / float64(now-from)
}

func (n *naive) book(now, first int64, tokens float64) int64 {
	first = min(first, now+39)
	capacity := n.capacity(now) * 9 / 10
	n.setFactor(now, capacity)
	from, to := max(first, now+30), now+39
	if capacity == 0 {
		from, to = first, min(first+9, now+39)
	}
	best := from
	for i := from; i <= to; i++ {
		if n.booked(i) < n.booked(best) {
			best = i
		}
	}
	for i := first; i <= now+39 && capacity > 0; i++ {
		if n.booked(i) < capacity {
			best = i
			break
		}
	}
	n.own[best] += tokens
	n.recent[0][best] += tokens
	return best
}

// Guards against bookings in the wrong slot as slots pass and routers come and go, by comparison
// with a naive version.
func TestPlanRandomly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := returns.New()
		p.Own(start)
		n := naive{
			began: map[int64]float64{}, own: map[int64]float64{}, peers: map[string]map[int64]float64{},
			others: rapid.SampledFrom([]int{0, 3}).Draw(t, "others"), recent: [2]map[int64]float64{{}, {}},
		}
		p.SetRouters(n.others)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 0, 7, 100, 350, 2600, 9000}).Draw(t, "passed")) * time.Millisecond
			at, current := start.Add(now), int64(now/slot)
			router := rapid.SampledFrom([]string{"a", "b", "zone c"}).Draw(t, "router")
			tokens := float64(rapid.IntRange(1, 50).Draw(t, "tokens"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				p.Began(at, "llm", tokens)
				n.began[current] += tokens
			case 1:
				first := int64(rapid.IntRange(0, 10).Draw(t, "first"))
				s := returns.Slots{Service: "llm", First: first}
				n.peers[router] = map[int64]float64{}
				for i := range int64(rapid.IntRange(0, 30).Draw(t, "slots")) {
					s.Tokens = append(s.Tokens, float64(i)+tokens)
					n.peers[router][current+first+i] = float64(i) + tokens
				}
				p.SetPeer(at, router, []returns.Slots{s})
			case 2:
				p.RemovePeer(at, router)
				delete(n.peers, router)
			case 3:
				n.recent = [2]map[int64]float64{{}, n.recent[0]}
				for _, s := range p.Own(at) {
					for i, tokens := range s.Tokens {
						if want := n.own[current+s.First+int64(i)]; tokens != want {
							t.Fatalf("reported %v tokens, want %v", tokens, want)
						}
					}
				}
			default:
				wait := time.Duration(rapid.IntRange(0, 5000).Draw(t, "earliest")) * time.Millisecond
				got := p.Book(at, "llm", tokens, wait, 0)
				want := n.book(current, int64((now+wait+slot-1)/slot), tokens)
				if slots := int64((now + got) / slot); slots != want && wait < 3800*time.Millisecond {
					t.Fatalf("booked slot %d, want %d", slots, want)
				}
				if got > 4*time.Second || got < min(wait, 4*time.Second) {
					t.Fatalf("to return after %v, earliest %v", got, wait)
				}
			}
		}
	})
}

// BenchmarkBook measures a refusal beside the reports of 90 routers.
func BenchmarkBook(b *testing.B) {
	p := returns.New()
	tokens := make([]float64, 39)
	for i := range 90 {
		p.SetPeer(start, fmt.Sprint("r", i), []returns.Slots{{Service: "llm", First: 1, Tokens: tokens}})
	}
	for range b.N {
		p.Book(start, "llm", 100, earliest, rand.Float64())
	}
}
