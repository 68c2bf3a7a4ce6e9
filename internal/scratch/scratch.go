// Package scratch lends buffers for input that is looked at once, or discarded.
package scratch

import "sync"

// Size is the size of a buffer, in bytes.
const Size = 16 << 10

// Buffer is a buffer whose content nobody keeps.
type Buffer [Size]byte

var buffers = sync.Pool{New: func() any { return new(Buffer) }}

// Get returns a buffer with any content.
func Get() *Buffer { return buffers.Get().(*Buffer) }

// Put gives a buffer back, which must not be used any more.
func (b *Buffer) Put() { buffers.Put(b) }
