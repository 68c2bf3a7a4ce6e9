package peer

import (
	"github.com/golang/snappy"
	"google.golang.org/protobuf/proto"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// minPackedBytes is the size of a copy from which compressing it is worth its time. The
	// entries of targets differ little, so that a list shrinks to a quarter. DEFLATE would halve
	// that again, but allocates a megabyte each time.
	minPackedBytes = 1 << 10
	// maxUnpackedBytes bounds the size of a copy that is unpacked.
	maxUnpackedBytes = 64 << 20
)

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
	return &peerpb.Copy{Packed: snappy.Encode(nil, data)}
}

// decodePacked returns the copy in compressed form, or nil if it is malformed or too large.
func decodePacked(packed []byte) message.Message {
	size, err := snappy.DecodedLen(packed)
	if err != nil || size > maxUnpackedBytes {
		return nil
	}
	data, err := snappy.Decode(nil, packed)
	if err != nil {
		return nil
	}
	c := new(peerpb.Copy)
	if err := proto.Unmarshal(data, c); err != nil {
		return nil
	}
	return decodeCopy(c)
}
