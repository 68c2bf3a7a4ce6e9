package heldanswer_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/heldanswer"
	"github.com/stepcroft/stepcroft/internal/memory"
)

const unknown = -1

func noHeader() http.Header { return nil }

// TestRead guards against answers that are taken for whole though they are not, and against reading more than is held.
func TestRead(t *testing.T) {
	for name, c := range map[string]struct {
		size   int
		length int64
		whole  bool
		read   int
		err    error
	}{
		"short":                    {size: 100, length: 100, whole: true, read: 100},
		"as long as may be":        {size: heldanswer.MaxSize, length: heldanswer.MaxSize, whole: true, read: heldanswer.MaxSize},
		"too long":                 {size: heldanswer.MaxSize + 1, length: heldanswer.MaxSize + 1},
		"without a length":         {size: heldanswer.MaxSize + 1, length: unknown, whole: true, read: heldanswer.MaxSize + 1},
		"without a length or end":  {size: 2 * heldanswer.MaxUnknownLength, length: unknown, err: heldanswer.ErrEndless},
		"empty, without a length":  {length: unknown, whole: true},
		"empty, of a known length": {whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := heldanswer.New(memory.New(1<<30), "o")
			from := strings.NewReader(strings.Repeat("x", c.size))
			part, err := h.Read(from, c.length, http.StatusOK, noHeader)
			if !errors.Is(err, c.err) || (part.Whole != nil) != c.whole || part.Begin.Len() > 0 {
				t.Fatalf("whole %t, %d bytes of the beginning, %v", part.Whole != nil, part.Begin.Len(), err)
			}
			if c.whole && (part.Whole.Body.Len() != c.read || part.Whole.Status != http.StatusOK) {
				t.Errorf("%d bytes, want %d", part.Whole.Body.Len(), c.read)
			}
			if read := c.size - from.Len(); c.err == nil && read != c.read {
				t.Errorf("%d bytes read, want %d", read, c.read)
			}
		})
	}
}

// TestMemoryIsGivenBack guards against answers that take memory once they are no longer held, and against memory that is
// given back while they are.
func TestMemoryIsGivenBack(t *testing.T) {
	budget := memory.New(1 << 30)
	read := func(h *heldanswer.Holder) *heldanswer.Answer {
		t.Helper()
		part, err := h.Read(strings.NewReader(strings.Repeat("x", 100_000)), unknown, http.StatusOK, noHeader)
		if err != nil {
			t.Fatal(err)
		}
		return part.Whole
	}
	inUse := func() int64 { return budget.Stats().Used }
	first, second := heldanswer.New(budget, "o"), heldanswer.New(budget, "o")
	kept := first.Keep(read(&first))
	one := inUse()
	if one < 100_000 {
		t.Fatalf("%d bytes in use for one answer", one)
	}
	read(&first)
	read(&first)
	if inUse() != 2*one {
		t.Errorf("%d bytes in use for the answer kept and the last one, want %d", inUse(), 2*one)
	}
	read(&second)
	first.TakeFrom(&second)
	second.Release()
	if inUse() != 2*one {
		t.Errorf("%d bytes in use after another one was taken over, want %d", inUse(), 2*one)
	}
	other := first.Keep(read(&first))
	kept.Replace(&other)
	other.Release()
	first.Release()
	if inUse() != one || kept.Answer() == nil {
		t.Errorf("%d bytes in use for the answer kept, want %d", inUse(), one)
	}
	kept.Release()
	if inUse() != 0 || kept.Answer() != nil {
		t.Errorf("%d bytes in use for none", inUse())
	}
}
