package answerbuffer

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// naive recomputes a budget's sums from all pieces, with rules as the package's documentation
// states them.
type naive struct {
	limit   int64
	buffers []*naiveBuffer
}

type naiveBuffer struct {
	organisation string
	// sizes are the counted bytes of each appended piece that has not been given back, and
	// writing is the number of those that have been taken.
	sizes   []int64
	writing int
	// sent is what was appended and has not been taken out.
	sent []byte
	held []byte
	gone bool
}

func sum(sizes []int64) (total int64) {
	for _, n := range sizes {
		total += n
	}
	return total
}

// used returns the bytes of an organisation and of all.
func (m *naive) used(organisation string) (own, all int64) {
	for _, b := range m.buffers {
		n := sum(b.sizes)
		all += n
		if b.organisation == organisation {
			own += n
		}
	}
	return own, all
}

// mayHold reports whether a piece of n bytes has room beside all others.
func (m *naive) mayHold(b *naiveBuffer, n int64) bool {
	own, all := m.used(b.organisation)
	return sum(b.sizes)+n <= maxAnswer && 4*(own+n) <= m.limit && own+n <= m.limit-all-n
}

// TestAccountsAgainstNaive guards against sums that drift from what the buffers hold, pieces
// admitted beyond a bound or left waiting in an empty buffer or beside enough room, and bytes lost or out of order. It
// plays random operations on the budget and on a naive version of it.
func TestAccountsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &naive{limit: rapid.Int64Range(0, 1<<20).Draw(t, "limit")}
		s := New(m.limit)
		var buffers []*Buffer
		for range rapid.IntRange(1, 12).Draw(t, "buffers") {
			o := fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "organisation"))
			buffers = append(buffers, s.Open(o))
			m.buffers = append(m.buffers, &naiveBuffer{organisation: o})
		}
		serial := byte(0)
		for range rapid.IntRange(1, 60).Draw(t, "operations") {
			i := rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")
			b, n := buffers[i], m.buffers[i]
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0:
				b.Discard()
				n.gone, n.sizes, n.held = true, nil, nil
			case 1, 2, 3:
				takeBoth(t, b, n)
			default:
				serial++
				size := rapid.SampledFrom([]int{1, 60, 1000, 20 << 10, 150 << 10, 300 << 10}).Draw(t, "size")
				offerBoth(t, m, b, n, bytes.Repeat([]byte{serial}, size))
			}
			followAdmissions(t, m, buffers)
			checkSums(t, m, s, buffers)
		}
		for _, b := range buffers {
			b.Discard()
		}
		if s.accounts.bytes != 0 || len(s.accounts.organisations) != 0 || s.waiting != 0 {
			t.Fatalf("%d bytes of %d organisations and %d waiting pieces are left", s.accounts.bytes, len(s.accounts.organisations), s.waiting)
		}
	})
}

func offerBoth(t *rapid.T, m *naive, b *Buffer, n *naiveBuffer, data []byte) {
	if n.gone || n.held != nil {
		return
	}
	fits := m.mayHold(n, int64(len(data)))
	first := len(b.organisation.waiting) == 0
	empty := len(n.sizes) == 0
	admitted := b.offer(bytes.Clone(data))
	if empty && !admitted {
		t.Fatal("a piece waits although its buffer is empty")
	}
	if !admitted && fits && first {
		t.Fatalf("a piece of %d bytes waits although there is room", len(data))
	}
	if admitted && !empty && !fits {
		t.Fatalf("a piece of %d bytes was admitted beyond a bound", len(data))
	}
	if !admitted {
		n.held = data
		return
	}
	n.add(data, empty)
}

func (n *naiveBuffer) add(data []byte, free bool) {
	size := int64(len(data))
	if free {
		size = 0
	}
	n.sizes = append(n.sizes, size)
	n.sent = append(n.sent, data...)
}

// takeBoth takes the next piece, which may be several that were appended, and gives back the one
// before.
func takeBoth(t *rapid.T, b *Buffer, n *naiveBuffer) {
	if n.gone {
		return
	}
	// A piece that was held may be admitted by giving back; followAdmissions follows that.
	n.sizes = n.sizes[n.writing:]
	n.writing = 0
	data, err := b.take()
	if err != nil {
		t.Fatal(err)
	}
	if n.held != nil && b.held == nil {
		n.add(n.held, len(n.sizes) == 0)
		n.held = nil
	}
	if !bytes.HasPrefix(n.sent, data) {
		t.Fatal("bytes were lost or out of order")
	}
	n.sent = n.sent[len(data):]
	// The pieces taken are those whose bytes are in data, counted from the oldest.
	left := b.taken.counted
	for n.writing < len(n.sizes) && (left > 0 || n.writing == 0 && len(data) > 0) {
		left -= n.sizes[n.writing]
		n.writing++
	}
}

// followAdmissions adds the pieces that were admitted because others gave bytes back.
func followAdmissions(t *rapid.T, m *naive, buffers []*Buffer) {
	for i, b := range buffers {
		n := m.buffers[i]
		if n.held == nil || b.held != nil {
			continue
		}
		n.add(n.held, len(n.sizes) == 0)
		n.held = nil
	}
	for i, b := range buffers {
		if b.held != nil && b.empty() {
			t.Fatalf("a piece waits in buffer %d although it is empty", i)
		}
	}
}

func checkSums(t *rapid.T, m *naive, s *Budget, buffers []*Buffer) {
	_, all := m.used("")
	if s.accounts.bytes != all || all > m.limit {
		t.Fatalf("%d bytes counted, %d held, at most %d allowed", s.accounts.bytes, all, m.limit)
	}
	for _, o := range s.accounts.organisations {
		if len(o.waiting) > 0 && s.accounts.fits(o, int64(len(o.waiting[0].held))) {
			t.Fatalf("the first piece of %s waits although there is room", o.name)
		}
	}
	for i, b := range buffers {
		n := m.buffers[i]
		own, _ := m.used(n.organisation)
		if !n.gone && (b.counted != sum(n.sizes) || b.counted > maxAnswer || b.organisation.bytes != own || 4*own > m.limit) {
			t.Fatalf("buffer %d counts %d bytes and holds %d; its organisation counts %d and holds %d", i, b.counted, sum(n.sizes), b.organisation.bytes, own)
		}
	}
}

// TestLargePieceWaits guards against a piece that is too large for its organisation and holds up those of
// other organisations until its own caller reads.
func TestLargePieceWaits(t *testing.T) {
	s := New(400_000)
	large, other := s.Open("large"), s.Open("other")
	large.offer([]byte("x"))
	if large.offer(make([]byte, 150_000)) {
		t.Fatal("a piece beyond the organisation's part was admitted")
	}
	for _, size := range []int{1, 50_000, 40_000, 20_000} {
		other.offer(make([]byte, size))
	}
	if other.held == nil {
		t.Fatal("the other organisation's last piece does not wait")
	}
	// The third call gives back the 50,000 bytes that the second one took.
	for range 3 {
		if _, err := other.take(); err != nil {
			t.Fatal(err)
		}
	}
	if other.held != nil {
		t.Error("the other organisation's piece waits although there is room")
	}
}
