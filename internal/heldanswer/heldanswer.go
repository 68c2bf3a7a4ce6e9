// Package heldanswer reads answers into memory until they are complete, so that a request can be sent again if its answer
// breaks off, and keeps an error answer for the case that there is no better one. Each answer held has its memory.
package heldanswer

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/memory"
)

const (
	// MaxSize is the size, in bytes, up to which an answer is held until it is complete.
	MaxSize = 256 << 10
	// MaxUnknownLength is the same for one that does not tell its length: a faulty target may
	// send bytes without end, which must not reach the caller. It is as much as a request may have if
	// nothing else is configured.
	MaxUnknownLength = 4 << 20
)

// ErrEndless means that an answer without a length is too long.
var ErrEndless = errors.New("answer without Content-Length is too long")

// Answer is an answer that has been received completely.
type Answer struct {
	Status int
	Header http.Header
	Body   memory.Buffer
}

// Part is what was read of an answer: all of it, or the beginning of one that is too
// long to be held, or for which there is no memory.
type Part struct {
	Whole *Answer
	Begin memory.Buffer
}

// Holder has the memory of the answer that is read. Use New to make one. Only one goroutine may use it at a time.
type Holder struct {
	budget       *memory.Budget
	organisation string
	memory       *memory.Reservation
}

// New returns a holder of answers to requests of an organisation within a budget.
func New(b *memory.Budget, organisation string) Holder {
	return Holder{budget: b, organisation: organisation}
}

// Read reads an answer of a length, negative if that is not known, as far as it is held. It gives back the memory of the
// one read before. header returns the header to keep if the answer is whole.
func (h *Holder) Read(from io.Reader, length int64, status int, header func() http.Header) (Part, error) {
	limit := int64(MaxSize)
	switch {
	case length > limit:
		return Part{}, nil
	case length < 0:
		limit = MaxUnknownLength
	}
	h.Release()
	h.memory = h.budget.Open(h.organisation, limit, nil)
	body, err := h.memory.Read(from, memory.UnknownSize, limit)
	switch {
	case errors.Is(err, memory.ErrEvicted):
		return Part{Begin: body}, nil
	case err != nil:
		return Part{}, err
	case int64(body.Len()) > limit:
		return Part{}, ErrEndless
	}
	return Part{Whole: &Answer{Status: status, Header: header(), Body: body}}, nil
}

// Release gives back the memory of the answer that was read, if there is one.
func (h *Holder) Release() {
	if h.memory != nil {
		h.memory.Close()
		h.memory = nil
	}
}

// TakeFrom takes over what another holder has read, and gives back the memory of what this one has.
func (h *Holder) TakeFrom(other *Holder) {
	h.Release()
	h.memory, other.memory = other.memory, nil
}

// Keep returns the answer that was read last, to be kept beside those read from now on.
func (h *Holder) Keep(a *Answer) Kept {
	k := Kept{answer: a, memory: h.memory}
	h.memory = nil
	return k
}

// Kept is an answer with its memory. The zero value has none.
type Kept struct {
	answer *Answer
	memory *memory.Reservation
}

// Answer returns the answer, or nil if there is none.
func (k *Kept) Answer() *Answer { return k.answer }

// Replace gives back the memory of the answer and takes over another one, which must not be used any more.
func (k *Kept) Replace(other *Kept) {
	k.Release()
	*k, *other = *other, Kept{}
}

// Release gives back the memory of the answer, which is forgotten.
func (k *Kept) Release() {
	if k.memory != nil {
		k.memory.Close()
	}
	*k = Kept{}
}
