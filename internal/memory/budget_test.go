package memory_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/memory"
)

func ExampleBudget() {
	b := memory.New(1000)
	half := b.Open("o", 600, func() { fmt.Println("evicted") })
	defer half.Close()
	_ = half.Take(300)
	short := b.Open("o", 500, nil)
	defer short.Close()
	fmt.Println(short.Take(500), b.Stats().Used)
	late := b.Open("o", 900, nil)
	defer late.Close()
	fmt.Println(errors.Is(late.Take(300), memory.ErrEvicted))
	// Output:
	// <nil> 800
	// true
}

// TestReservationsAgainstSums guards against sums that drift from what the reservations hold, and against
// messages that are complete and lose their memory.
func TestReservationsAgainstSums(t *testing.T) {
	const limit = 1000
	type model struct {
		*memory.Reservation
		used          int64
		kept, evicted bool
	}
	rapid.Check(t, func(t *rapid.T) {
		b := memory.New(limit)
		var list []*model
		used := func() (sum int64) {
			for _, m := range list {
				sum += m.used
			}
			return sum
		}
		pick := func(t *rapid.T) *model {
			if len(list) == 0 {
				t.Skip()
			}
			return list[rapid.IntRange(0, len(list)-1).Draw(t, "reservation")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				m := &model{}
				m.Reservation = b.Open(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), rapid.Int64Range(1, limit).Draw(t, "size"), func() {
					m.used, m.evicted = 0, true
				})
				list = append(list, m)
			},
			"take": func(t *rapid.T) {
				m := pick(t)
				n := rapid.Int64Range(1, limit/2).Draw(t, "n")
				err := m.Take(n)
				if err != nil && !errors.Is(err, memory.ErrEvicted) {
					t.Fatal(err)
				}
				switch {
				case err == nil:
					m.used += n
				case !m.kept:
					m.used = 0
				}
				if err == nil && m.evicted {
					t.Fatal("an evicted reservation takes memory")
				}
			},
			"keep": func(t *rapid.T) {
				m := pick(t)
				if err := m.Keep(); err == nil {
					m.kept = true
				}
			},
			"close": func(t *rapid.T) {
				if len(list) == 0 {
					t.Skip()
				}
				list[0].Close()
				list = list[1:]
			},
			"": func(t *rapid.T) {
				s := b.Stats()
				if s.Used != used() || s.Used > limit || s.Open != len(list) {
					t.Fatalf("%+v, the reservations hold %d", s, used())
				}
			},
		})
	})
}

// TestEviction guards against evicting those who lose most by it.
func TestEviction(t *testing.T) {
	type reservation struct {
		organisation string
		size, used   int64
		kept         bool
	}
	cases := map[string]struct {
		held []reservation
		next reservation
		// evicted is the index of the one to be evicted, len(held) for the next one itself.
		evicted int
	}{
		"the one that lacks most":                  {[]reservation{{"a", 900, 300, false}, {"a", 500, 400, false}, {"a", 400, 300, false}}, reservation{"a", 100, 100, false}, 0},
		"the newcomer with the longest rest":       {[]reservation{{"a", 900, 500, false}, {"a", 900, 500, false}}, reservation{"a", 900, 100, false}, 2},
		"the organisation that holds most":         {[]reservation{{"a", 900, 600, false}, {"b", 900, 300, false}}, reservation{"b", 800, 200, false}, 0},
		"the organisation that would hold most":    {[]reservation{{"a", 900, 400, false}, {"b", 900, 400, false}}, reservation{"b", 950, 300, false}, 2},
		"none that is complete":                    {[]reservation{{"a", 900, 900, true}}, reservation{"b", 200, 200, false}, 1},
		"an incomplete one of the next by the sum": {[]reservation{{"a", 600, 600, true}, {"b", 900, 300, false}}, reservation{"c", 200, 200, false}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := memory.New(1000)
			evicted := -1
			for i, r := range c.held {
				res := b.Open(r.organisation, r.size, func() { evicted = i })
				if err := res.Take(r.used); err != nil {
					t.Fatal(err)
				}
				if r.kept {
					_ = res.Keep()
				}
			}
			if b.Open(c.next.organisation, c.next.size, nil).Take(c.next.used) != nil {
				evicted = len(c.held)
			}
			if evicted != c.evicted {
				t.Errorf("evicted %d, want %d", evicted, c.evicted)
			}
		})
	}
}

// TestMessageThatMayNotBeEvicted guards against memory that is in use and no longer counted.
func TestMessageThatMayNotBeEvicted(t *testing.T) {
	b := memory.New(1000)
	r := b.Open("o", 2000, nil)
	if err := r.Take(800); err != nil {
		t.Fatal(err)
	}
	if err := r.Take(300); !errors.Is(err, memory.ErrEvicted) || b.Stats().Used != 800 {
		t.Errorf("error %v, %+v", err, b.Stats())
	}
	r.Close()
	if used := b.Stats().Used; used != 0 {
		t.Errorf("%d bytes in use at the end", used)
	}
}

// TestReadMessage guards against messages that lose bytes or take more memory than has arrived of them.
func TestReadMessage(t *testing.T) {
	text := strings.Repeat("0123456789", 30_000)
	readers := map[string]func(io.Reader) io.Reader{
		"at once": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader, "with the end": iotest.DataErrReader,
	}
	for name, wrap := range readers {
		t.Run(name, func(t *testing.T) {
			for _, length := range []int{0, 1, 4096, 4097, 64 << 10, 64<<10 + 1, len(text)} {
				for _, size := range []int64{int64(length), memory.UnknownSize} {
					b := memory.New(1 << 20)
					r := b.Open("o", int64(length), nil)
					got, err := r.Read(wrap(strings.NewReader(text[:length])), size, 1<<20)
					if err != nil || got.Len() != length || !bytes.Equal(got.Bytes(), []byte(text[:length])) {
						t.Errorf("%d of %d bytes, error %v", got.Len(), length, err)
					}
					if used := b.Stats().Used; used > int64(length)+64<<10 {
						t.Errorf("%d bytes taken for %d", used, length)
					}
					r.Close()
				}
			}
		})
	}
	t.Run("cut off", func(t *testing.T) {
		r := memory.New(1<<20).Open("o", 100, nil)
		if _, err := r.Read(strings.NewReader("short"), 100, 100); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Error(err)
		}
	})
	t.Run("cut off by its decoder", func(t *testing.T) {
		r := memory.New(1<<20).Open("o", 100, nil)
		from := io.MultiReader(strings.NewReader("short"), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := r.Read(from, memory.UnknownSize, 100); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Error(err)
		}
	})
	t.Run("beyond the limit", func(t *testing.T) {
		r := memory.New(1<<20).Open("o", 100, nil)
		if b, err := r.Read(strings.NewReader(text), memory.UnknownSize, 100); err != nil || b.Len() != 101 {
			t.Errorf("%d bytes, error %v", b.Len(), err)
		}
	})
}
