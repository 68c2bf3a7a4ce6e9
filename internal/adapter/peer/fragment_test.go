package peer

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"
)

var sender = netip.MustParseAddrPort("10.0.0.1:7000")

func randomBytes(r *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

func TestFragmentsInAnyOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	sizes := map[string]int{"one": 10, "full": fragmentPayload, "two": fragmentPayload + 1, "most": maxFragments * fragmentPayload}
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			var a assembler
			data := randomBytes(r, size)
			list := split(7, data)
			list = append(list, list[:len(list)-1]...)
			r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			var got []byte
			for _, f := range list {
				if len(f) > maxDatagram {
					t.Errorf("fragment has %d bytes", len(f))
				}
				if m := a.add(sender, f); m != nil {
					got = m
					break
				}
			}
			if !bytes.Equal(got, data) {
				t.Errorf("got %d bytes, want the %d sent", len(got), len(data))
			}
		})
	}
}

func TestTooLargeForFragments(t *testing.T) {
	if list := split(1, make([]byte, maxFragments*fragmentPayload+1)); list != nil {
		t.Errorf("got %d fragments, want none", len(list))
	}
}

// TestPartialMessagesAreBounded checks that messages of which a fragment is lost don't pile up.
func TestPartialMessagesAreBounded(t *testing.T) {
	var a assembler
	data := make([]byte, 2*fragmentPayload)
	for i := range 10 * maxPartial {
		if m := a.add(sender, split(uint64(i), data)[0]); m != nil {
			t.Fatal("half a message taken for a whole one")
		}
	}
	if len(a.partial) > maxPartial || len(a.order) > maxPartial {
		t.Errorf("%d messages kept, want at most %d", len(a.partial), maxPartial)
	}
	if want := int64(9 * maxPartial); a.dropped != want {
		t.Errorf("%d messages dropped, want %d", a.dropped, want)
	}
}

func FuzzFragments(f *testing.F) {
	f.Add([]byte{}, []byte{0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 1})
	f.Add(split(1, make([]byte, 2000))[1], split(1, make([]byte, 3000))[0])
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var a assembler
		for _, fragment := range [][]byte{first, second, first} {
			if m := a.add(sender, fragment); len(m) > maxFragments*max(len(first), len(second)) {
				t.Errorf("%d bytes assembled", len(m))
			}
		}
	})
}
