// Package answerbuffer buffers streamed answers between engines and callers that read slowly, so
// that such a caller does not keep an engine's slot.
//
// A Budget bounds what waits for all callers of a router. A Buffer holds one answer. The goroutine
// that reads from the engine appends pieces, each of one or more whole events; another one takes
// them out in order and writes them to the caller. A piece that comes while a buffer is empty is
// always taken in and does not count: without the buffer, it would be in memory too while it is
// written. So a caller that reads at once needs no room, and a stream goes on without room at the
// pace of its caller.
package answerbuffer

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// Sentinel errors of a Buffer.
var (
	// ErrClosed means that the answer was complete and that all of it has been taken out.
	ErrClosed = errors.New("answer is complete")
	// ErrCut means that the answer broke off and that all that was received has been taken out.
	ErrCut = errors.New("answer broke off")
	// ErrDiscarded means that the buffer is no longer in use.
	ErrDiscarded = errors.New("answer buffer discarded")
)

// maxPiece is the size, in bytes, up to which pieces are joined to be written at once. A caller
// that reads slowly is written to often enough to tell whether it still reads.
const maxPiece = 16 << 10

// Budget is the memory for buffered answers of one router. Use New to make one. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	accounts accounts
	// full counts the pieces that had to wait, waiting is the number of those that do now, queued
	// that of those among them that wait for room that others use, and late counts the bytes taken out
	// after the engine's answer had ended.
	full, waiting, queued, late int64
}

// Stats are the counters of a Budget.
type Stats struct {
	// Bytes is what waits now, and PeakBytes the highest value since the start.
	Bytes     int64 `json:"bytes"`
	PeakBytes int64 `json:"peak_bytes"`
	// Full is how often an engine's answer was not read for want of room, also if there was none only
	// until the goroutine that writes had its turn, and Waiting how many are not read for that now.
	Full    int64 `json:"full"`
	Waiting int64 `json:"waiting"`
	// LateBytes counts the bytes taken out to be written after the engine's answer had ended. A write
	// may fail or be cut off.
	LateBytes int64 `json:"late_bytes"`
}

// New returns a budget of a number of bytes.
func New(bytes int64) *Budget {
	return &Budget{accounts: accounts{limit: bytes, organisations: map[string]*organisation{}}}
}

// Stats returns the counters.
func (s *Budget) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Bytes: s.accounts.bytes, PeakBytes: s.accounts.peak, Full: s.full, Waiting: s.waiting, LateBytes: s.late}
}

// Open returns an empty buffer for an answer to an organisation. Discard must be called in the
// end.
func (s *Budget) Open(name string) *Buffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Buffer{
		budget: s, organisation: s.accounts.open(name),
		filled: make(chan struct{}, 1), admitted: make(chan struct{}, 1),
	}
}

// piece is a number of whole events, of which some bytes are counted.
type piece struct {
	data    []byte
	counted int64
}

// Buffer holds one answer until its caller has it. One goroutine may call Append and Close, and
// one other Next; Discard may be called by any. Its state is guarded by the budget's mutex.
type Buffer struct {
	budget       *Budget
	organisation *organisation
	// pieces are those that wait to be taken out, and taken is the one that is being written.
	pieces []piece
	taken  piece
	// counted is the number of counted bytes of both.
	counted int64
	// held is the piece that waits for room, nil if none does. queued is set if it waits for
	// room that others use.
	held   []byte
	queued bool
	// end is set once the buffer is closed, to what Next returns when it is empty.
	end       error
	discarded bool
	// filled wakes the goroutine that calls Next, admitted the one that calls Append.
	filled, admitted chan struct{}
}

// Append adds a piece and takes ownership of it. It waits until there is room. If ctx ends first,
// the piece is not added.
func (b *Buffer) Append(ctx context.Context, data []byte) error {
	if !b.offer(data) {
		select {
		case <-b.admitted:
		case <-ctx.Done():
		}
	}
	return b.withdraw(ctx)
}

// offer adds a piece if there is room, and otherwise makes it wait for room. It returns false if
// the piece waits.
func (b *Buffer) offer(data []byte) bool {
	s := b.budget
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.discarded || len(data) == 0 {
		return true
	}
	if b.empty() || b.fitsAnswer(data) && len(b.organisation.waiting) == 0 && s.accounts.fits(b.organisation, int64(len(data))) {
		b.add(data)
		return true
	}
	// A signal that an earlier call did not take must not end this wait.
	select {
	case <-b.admitted:
	default:
	}
	s.full++
	s.waiting++
	b.held = data
	b.queue()
	return false
}

// withdraw takes back a piece that still waits for room and returns the error of Append.
func (b *Buffer) withdraw(ctx context.Context) error {
	s := b.budget
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.discarded {
		return ErrDiscarded
	}
	if b.held == nil {
		return nil
	}
	b.drop()
	s.admit()
	return errors.Wrap(ctx.Err(), "wait for room in the answer buffer")
}

// Next returns the next piece for the caller and waits until there is one. It must be called
// only when the piece before it has been written. At the end of the answer it returns ErrClosed or
// ErrCut.
func (b *Buffer) Next(ctx context.Context) ([]byte, error) {
	for {
		data, err := b.take()
		if data != nil || err != nil {
			return data, err
		}
		select {
		case <-b.filled:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait for an answer")
		}
	}
}

// take gives back the piece taken before and returns the next one, nil if there is none yet.
func (b *Buffer) take() ([]byte, error) {
	s := b.budget
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.discarded {
		return nil, ErrDiscarded
	}
	b.giveBack()
	if len(b.pieces) == 0 {
		return nil, b.end
	}
	b.taken = b.pieces[0]
	b.pieces[0] = piece{}
	if b.pieces = b.pieces[1:]; len(b.pieces) == 0 {
		b.pieces = nil
	}
	if b.end != nil {
		s.late += int64(len(b.taken.data))
	}
	return b.taken.data, nil
}

// Close ends the answer; complete is set if all of it was received. What the buffer holds can
// still be taken out.
func (b *Buffer) Close(complete bool) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if b.end != nil {
		return
	}
	b.end = ErrCut
	if complete {
		b.end = ErrClosed
	}
	signal(b.filled)
}

// Discard drops what the buffer holds and gives all its bytes back. Append and Next then return
// ErrDiscarded. Further calls do nothing.
func (b *Buffer) Discard() {
	s := b.budget
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.discarded {
		return
	}
	b.discarded = true
	if b.held != nil {
		b.drop()
	}
	s.accounts.remove(b.organisation, b.counted)
	b.pieces, b.taken, b.counted = nil, piece{}, 0
	s.accounts.close(b.organisation)
	s.admit()
	signal(b.filled)
	signal(b.admitted)
}

// empty reports whether the buffer holds nothing and nothing is being written.
func (b *Buffer) empty() bool { return len(b.pieces) == 0 && len(b.taken.data) == 0 }

// fitsAnswer reports whether a piece is within what one answer may use.
func (b *Buffer) fitsAnswer(data []byte) bool { return b.counted+int64(len(data)) <= maxAnswer }

// add puts a piece into the buffer. It joins it to the last one if that waits too and both are
// short; append then allocates up to a quarter more than is used.
func (b *Buffer) add(data []byte) {
	counted := int64(len(data))
	if b.empty() {
		counted = 0
	}
	b.counted += counted
	b.budget.accounts.add(b.organisation, counted)
	if n := len(b.pieces); n > 0 && len(b.pieces[n-1].data)+len(data) <= maxPiece {
		last := &b.pieces[n-1]
		last.data, last.counted = append(last.data, data...), last.counted+counted
		return
	}
	b.pieces = append(b.pieces, piece{data: data, counted: counted})
	signal(b.filled)
}

// giveBack gives back the bytes of the piece that was written, and admits pieces for which there
// is room now.
func (b *Buffer) giveBack() {
	if len(b.taken.data) == 0 {
		return
	}
	counted := b.taken.counted
	b.taken = piece{}
	b.counted -= counted
	b.budget.accounts.remove(b.organisation, counted)
	if b.held != nil {
		if b.empty() {
			b.admitHeld()
		} else {
			b.queue()
		}
	}
	b.budget.admit()
}

// queue makes the piece that waits wait for room that others use, unless its own answer uses too
// much.
func (b *Buffer) queue() {
	if !b.queued && b.fitsAnswer(b.held) {
		b.queued = true
		b.budget.queued++
		b.organisation.waiting = append(b.organisation.waiting, b)
	}
}

// admitHeld adds the piece that waits.
func (b *Buffer) admitHeld() {
	data := b.held
	b.drop()
	b.add(data)
	signal(b.admitted)
}

// drop ends the wait of the piece that waits.
func (b *Buffer) drop() {
	b.budget.waiting--
	b.held = nil
	if !b.queued {
		return
	}
	b.queued = false
	b.budget.queued--
	o := b.organisation
	if i := slices.Index(o.waiting, b); i >= 0 {
		o.waiting = slices.Delete(o.waiting, i, i+1)
	}
}

// admit adds waiting pieces as long as there is room for one, those of the organisation with the
// fewest bytes first. Only the goroutine that holds the mutex may call it.
func (s *Budget) admit() {
	for s.queued > 0 {
		o := s.accounts.nextWaiting()
		if o == nil {
			return
		}
		o.waiting[0].admitHeld()
	}
}

// signal wakes the goroutine that waits on a channel of capacity one, or its next wait.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
