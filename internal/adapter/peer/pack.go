package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// minPackedBytes is the size of a copy from which compressing it is worth its time. The
	// entries of targets differ little, so that a list shrinks to a fifth.
	minPackedBytes = 1 << 10
	// maxUnpackedBytes bounds the size of a copy that is unpacked.
	maxUnpackedBytes = 64 << 20
)

// compressors are kept for reuse, since one takes hundreds of kilobytes.
var compressors = sync.Pool{New: func() any {
	// The error is about an invalid level only.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// pack returns a copy in compressed form if the receiver accepts it and it is large enough, and
// otherwise the copy itself.
func pack(accepted bool, c *peerpb.Copy) *peerpb.Copy {
	if !accepted || proto.Size(c) < minPackedBytes {
		return c
	}
	data, err := proto.Marshal(c)
	if err != nil {
		return c
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return c
	}
	if err := w.Close(); err != nil {
		return c
	}
	return &peerpb.Copy{Packed: out.Bytes()}
}

// decodePacked returns the copy in compressed form, or nil if it is malformed or too large.
func decodePacked(packed []byte) message.Message {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil || len(data) > maxUnpackedBytes {
		return nil
	}
	c := new(peerpb.Copy)
	if err := proto.Unmarshal(data, c); err != nil {
		return nil
	}
	return decodeCopy(c)
}
