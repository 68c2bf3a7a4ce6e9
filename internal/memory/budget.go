// Package memory bounds the memory that callers and targets make a router hold for their messages.
//
// All of it is taken from one budget before it is allocated, so that a message counts while it is
// still arriving. When the budget is used up, reservations are evicted that waste the least: of the
// organisation that holds most, the one that still lacks most of its message. Messages that are nearly
// complete are therefore completed, short ones are not turned away for long ones, and an organisation
// that holds little is not turned away for one that holds much.
package memory

import (
	"sync"

	"github.com/pkg/errors"
)

// ErrEvicted means that the memory of a reservation is needed for others.
var ErrEvicted = errors.New("no memory left for the message")

// Budget is the memory that all messages together may use. Use New to make one. It is safe for
// concurrent use.
type Budget struct {
	limit int64

	mu            sync.Mutex
	used, peak    int64
	evicted       int64
	organisations map[string]*organisation
}

// Stats describes the use of a budget.
type Stats struct {
	// Limit, Used and Peak are numbers of bytes: the bound, what is taken now, and the most that was
	// taken since the start.
	Limit int64 `json:"limit"`
	Used  int64 `json:"bytes"`
	Peak  int64 `json:"peak_bytes"`
	// Open is the number of reservations, Evicted that of those evicted, or refused more, since the start.
	Open    int   `json:"open"`
	Evicted int64 `json:"evicted"`
}

// organisation is what the reservations of one organisation hold.
type organisation struct {
	name         string
	used         int64
	reservations map[*Reservation]struct{}
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, organisations: map[string]*organisation{}}
}

// Stats returns the use of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats{Limit: b.limit, Used: b.used, Peak: b.peak, Evicted: b.evicted}
	for _, o := range b.organisations {
		s.Open += len(o.reservations)
	}
	return s
}

// Reservation is the memory that one message has taken. Its methods are safe for concurrent use.
type Reservation struct {
	budget *Budget
	owner  *organisation
	used   int64
	// missing is the number of bytes that the message still lacks.
	missing int64
	// onEvict interrupts the reading of the message; nil once it may not be evicted.
	onEvict func()
	evicted bool
}

// Open returns a reservation for a message of an organisation that is expected to have size bytes. It
// holds nothing yet. If another one needs its memory, onEvict is called, which must not block nor use the
// budget; Take and Keep then return ErrEvicted. With a nil onEvict it keeps what it has taken, and Take alone
// returns ErrEvicted if there is no more. The caller must call Close.
func (b *Budget) Open(name string, size int64, onEvict func()) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.organisations[name]
	if o == nil {
		o = &organisation{name: name, reservations: map[*Reservation]struct{}{}}
		b.organisations[name] = o
	}
	r := &Reservation{budget: b, owner: o, missing: size, onEvict: onEvict}
	o.reservations[r] = struct{}{}
	return r
}

// Take takes n bytes. It evicts others if it must, or returns ErrEvicted if this reservation is the one
// to give way.
func (r *Reservation) Take(n int64) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !r.evicted && b.used+n > b.limit {
		victim := b.victim(r, n)
		if victim == r && r.onEvict == nil {
			// What it holds stays in use until Close.
			b.evicted++
			return errors.WithStack(ErrEvicted)
		}
		victim.evict()
	}
	if r.evicted {
		return errors.WithStack(ErrEvicted)
	}
	r.add(n)
	r.missing = max(r.missing-n, 0)
	return nil
}

// Keep makes the reservation permanent: its message is complete. It returns ErrEvicted if that is too
// late.
func (r *Reservation) Keep() error {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.evicted {
		return errors.WithStack(ErrEvicted)
	}
	r.onEvict = nil
	return nil
}

// Close gives everything back.
func (r *Reservation) Close() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(-r.used)
	r.onEvict = nil
	delete(r.owner.reservations, r)
	if len(r.owner.reservations) == 0 {
		delete(r.budget.organisations, r.owner.name)
	}
}

func (r *Reservation) add(n int64) {
	r.used += n
	r.owner.used += n
	r.budget.used += n
	r.budget.peak = max(r.budget.peak, r.budget.used)
}

// evict gives the memory back, although the reader of the message frees it a moment later.
func (r *Reservation) evict() {
	r.add(-r.used)
	r.evicted = true
	r.budget.evicted++
	if r.onEvict != nil {
		r.onEvict()
	}
}

// victim returns the reservation to evict so that r may take n bytes more, which may be r itself.
func (b *Budget) victim(r *Reservation, n int64) *Reservation {
	best, bestHeld := r, r.owner.used+n
	for _, o := range b.organisations {
		held := o.used
		if o == r.owner {
			held += n
		}
		for c := range o.reservations {
			if c == r || c.onEvict == nil || c.evicted || c.used == 0 {
				continue
			}
			if held > bestHeld || held == bestHeld && c.missing > best.missing {
				best, bestHeld = c, held
			}
		}
	}
	return best
}
