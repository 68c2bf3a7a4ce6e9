package answerbuffer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// replayStep is the step of simulated time in the replay, replayLength its length.
	replayStep, replayLength = 10 * time.Millisecond, 60 * time.Second
	replayEvents             = 60
	eventSize                = 1000
	eventInterval            = 30 * time.Millisecond
	replayMemory             = 4 << 20
)

// replayed is one stream of the replay: an engine that sends events at an interval as long as it is
// read, and a caller.
type replayed struct {
	buffer *Buffer
	// rate is the number of bytes that the caller reads per second; 0 means at once. It reads
	// nothing before readsFrom.
	rate      float64
	readsFrom time.Duration
	nextEvent time.Duration
	sent      int
	// unwritten is what is left of the piece that is being written.
	unwritten, credit float64
	// engineEnd is when the engine has sent all, and stalled how often it was not read.
	engineEnd time.Duration
	stalled   int
	received  int
}

// step plays one step of the engine and then of the caller.
func (r *replayed) step(t *testing.T, now time.Duration) {
	if r.sent < replayEvents && now >= r.nextEvent && r.buffer.held == nil {
		r.sent++
		r.nextEvent = now + eventInterval
		if !r.buffer.offer(bytes.Repeat([]byte{'x'}, eventSize)) {
			r.stalled++
		}
		if r.sent == replayEvents {
			r.engineEnd = now
		}
	}
	if r.sent == replayEvents && r.buffer.held != nil {
		// The engine's last event is not read yet.
		r.engineEnd = now
	}
	if now < r.readsFrom {
		return
	}
	r.credit = min(r.credit+r.rate*replayStep.Seconds(), 2*eventSize)
	for {
		if r.unwritten > 0 && r.rate > 0 {
			n := min(r.credit, r.unwritten)
			r.unwritten, r.credit = r.unwritten-n, r.credit-n
			if r.unwritten > 0 {
				return
			}
		}
		data, err := r.buffer.take()
		if err != nil {
			t.Fatal(err)
		}
		if data == nil {
			return
		}
		r.received += len(data)
		r.unwritten = float64(len(data))
	}
}

// replay plays 320 callers that read a kilobyte per second, of four organisations, beside 24 that
// read at once, of these organisations and of others, and six of one other organisation that begin
// to read after two seconds. It returns them in this order.
func replay(t *testing.T, s *Budget, seed uint64) (slow, fast, late []*replayed) {
	random := rand.New(rand.NewPCG(seed, 0))
	open := func(organisation string, rate float64) *replayed {
		return &replayed{buffer: s.Open(organisation), rate: rate, nextEvent: time.Duration(random.Int64N(int64(time.Second)))}
	}
	for i := range 320 {
		slow = append(slow, open(fmt.Sprint("slow", i%4), 1024))
	}
	for i := range 24 {
		r := open(fmt.Sprint([]string{"slow", "fast"}[i%2], i%3), 0)
		// Most begin when the slow callers have used up what they get.
		r.nextEvent += 3 * time.Second
		fast = append(fast, r)
	}
	for range 6 {
		r := open("late", 0)
		r.nextEvent = 3 * time.Second
		r.readsFrom = 5 * time.Second
		late = append(late, r)
	}
	all := append(append(append([]*replayed(nil), slow...), fast...), late...)
	for now := time.Duration(0); now < replayLength; now += replayStep {
		random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
		for _, r := range all {
			r.step(t, now)
			if s.accounts.bytes > s.accounts.limit {
				t.Fatalf("%d bytes wait at %v, the bound is %d", s.accounts.bytes, now, s.accounts.limit)
			}
		}
	}
	return slow, fast, late
}

// slotTime returns the sum of the times for which engines were busy with streams.
func slotTime(list []*replayed) (total time.Duration) {
	for _, r := range list {
		if r.engineEnd == 0 {
			r.engineEnd = replayLength
		}
		total += r.engineEnd
	}
	return total
}

// TestSlowCallersReplay guards against slow callers that keep engines' slots, that use more memory
// than the bound, and that make callers of the same or other organisations wait. Without memory
// for buffers, which is as it is without them, the slots are kept for longer.
func TestSlowCallersReplay(t *testing.T) {
	for seed := range uint64(3) {
		without, _, _ := replay(t, New(0), seed)
		s := New(replayMemory)
		slow, fast, late := replay(t, s, seed)
		if with, before := slotTime(slow), slotTime(without); with > before*85/100 {
			t.Errorf("seed %d: slots of slow callers are kept for %v, %v without buffers", seed, with, before)
		}
		for i, r := range fast {
			if r.stalled > 0 || r.received != replayEvents*eventSize {
				t.Errorf("seed %d: caller %d, which reads at once, waited %d times and got %d bytes", seed, i, r.stalled, r.received)
			}
		}
		for i, r := range late {
			if r.stalled > 0 || r.received != replayEvents*eventSize {
				t.Errorf("seed %d: caller %d, which stops for two seconds, waited %d times and got %d bytes", seed, i, r.stalled, r.received)
			}
		}
		if s.Stats().Full == 0 || s.Stats().PeakBytes < replayMemory/2 {
			t.Errorf("seed %d: the budget was not used up: %+v", seed, s.Stats())
		}
	}
}
