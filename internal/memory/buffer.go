package memory

import (
	"io"
	"net"
	"slices"

	"github.com/pkg/errors"
)

const (
	// chunkSize is the size in bytes of the pieces in which a long message is held, so that it takes no
	// more memory than has arrived of it.
	chunkSize = 64 << 10
	// firstChunkSize is that of the first piece of a message of unknown length. The next ones double.
	firstChunkSize = 4 << 10
)

// Buffer is a message, or the part of one, in memory. The zero value is empty. It must not be changed.
type Buffer struct {
	chunks [][]byte
	length int
}

// Of returns a buffer that holds text.
func Of(text []byte) Buffer {
	if len(text) == 0 {
		return Buffer{}
	}
	return Buffer{chunks: [][]byte{text}, length: len(text)}
}

// Len returns the number of bytes.
func (b Buffer) Len() int { return b.length }

// Chunks returns the bytes in order.
func (b Buffer) Chunks() [][]byte { return b.chunks }

// Bytes returns the bytes in one piece, which for a long message is a copy.
func (b Buffer) Bytes() []byte {
	if len(b.chunks) == 1 {
		return b.chunks[0]
	}
	return slices.Concat(b.chunks...)
}

// Behind returns what to write to a connection: head and then the buffer.
func (b Buffer) Behind(head []byte) net.Buffers {
	return append(net.Buffers{head}, b.chunks...)
}

// UnknownSize is the size of a message whose length is not announced.
const UnknownSize = -1

// Read reads a message of size bytes, or of UnknownSize and then until its end, but limit+1 bytes at
// most. The memory is taken from the reservation as the bytes arrive. Beside an error it returns what was
// read until then.
func (r *Reservation) Read(from io.Reader, size, limit int64) (Buffer, error) {
	var b Buffer
	most := size
	if size == UnknownSize {
		most = limit + 1
	}
	for next := int64(firstChunkSize); int64(b.length) < most; next = min(2*next, chunkSize) {
		if size != UnknownSize {
			next = chunkSize
		}
		next = min(next, most-int64(b.length))
		if err := r.Take(next); err != nil {
			return b, err
		}
		chunk, err := fill(from, make([]byte, next))
		if len(chunk) > 0 {
			b.chunks = append(b.chunks, chunk)
			b.length += len(chunk)
		}
		if errors.Is(err, io.EOF) {
			if size == UnknownSize || int64(b.length) == size {
				return b, nil
			}
			return b, io.ErrUnexpectedEOF
		}
		if err != nil {
			return b, r.readError(err)
		}
	}
	return b, nil
}

// fill reads until chunk is full, and returns what was read. Unlike io.ReadFull it returns io.EOF at each
// end of the message, so that it differs from the io.ErrUnexpectedEOF of one that was cut off.
func fill(from io.Reader, chunk []byte) ([]byte, error) {
	n := 0
	for n < len(chunk) {
		read, err := from.Read(chunk[n:])
		n += read
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}

// readError returns the error of a read that failed: ErrEvicted if it was interrupted for that.
func (r *Reservation) readError(err error) error {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.evicted {
		return errors.WithStack(ErrEvicted)
	}
	return err
}
