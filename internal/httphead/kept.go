package httphead

import "sync"

// Kept is what is kept of a head until its handler runs, for the refusal if it is no proper one: the id if the
// head is of the usual form, otherwise its first bytes. The zero value keeps nothing.
type Kept struct {
	id     string
	buffer *[maxKept]byte
	length int
}

// maxKept bounds the bytes that are kept of a head.
const maxKept = 4 << 10

var keptBuffers = sync.Pool{New: func() any { return new([maxKept]byte) }}

// KeepID keeps the id of a head of the usual form.
func (k *Kept) KeepID(id string) { k.id = id }

// Keep keeps the first bytes of a head.
func (k *Kept) Keep(b []byte) {
	k.buffer = keptBuffers.Get().(*[maxKept]byte)
	k.length = copy(k.buffer[:], b)
}

// Add adds bytes that follow those kept, if any are.
func (k *Kept) Add(b []byte) {
	if k.buffer != nil {
		k.length += copy(k.buffer[k.length:], b)
	}
}

// Drop drops what is kept.
func (k *Kept) Drop() {
	if k.buffer != nil {
		keptBuffers.Put(k.buffer)
	}
	*k = Kept{}
}

// RequestID returns the request's id, which is in a header, or "" if it is not known.
func (k *Kept) RequestID(header string) string {
	if k.buffer == nil {
		return k.id
	}
	return ID(k.buffer[:k.length], header)
}
