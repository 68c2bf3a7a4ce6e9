// Package quarantine detects requests that crash the engines that run them. Callers retry such
// a request again and again, at any router and with a new id each time, and each attempt
// crashes one more engine along with all other requests that run there. What crashes engines may
// be a request's whole content, or a part of prompts whatever else a request holds: both are
// attributes of requests that are suspected and held back in the same way.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/pkg/errors"
)

// KeySize is the length of a Key in bytes. With 128 bits of a digest, the probability that any
// two requests within a year have the same key is below 1e-15.
const KeySize = 16

// Key identifies a request by its content: two requests have the same key if their
// host, method, path with query, and body are equal, whatever their ids and other
// headers. All routers compute the same key for a request, under any configuration: an
// organisation may be renamed, and a key may move to another one, while requests crash targets.
type Key [KeySize]byte

// KeyOf returns the key of a request.
func KeyOf(host, method, target string, body ...[]byte) Key {
	h := sha256.New()
	writeSized(h, host, method, target)
	for _, piece := range body {
		h.Write(piece)
	}
	var sum [sha256.Size]byte
	return Key(h.Sum(sum[:0])[:KeySize])
}

// writeSized writes texts to a hash. Their lengths keep the end of one from being taken for the start
// of the next.
func writeSized(h hash.Hash, texts ...string) {
	var size [binary.MaxVarintLen64]byte
	for _, text := range texts {
		_, _ = h.Write(size[:binary.PutUvarint(size[:], uint64(len(text)))])
		_, _ = io.WriteString(h, text)
	}
}

// ErrNoKey means that a text is not a key in hexadecimal digits.
var ErrNoKey = errors.New("no content of a request")

// ParseKey is the inverse of String. The error wraps ErrNoKey if text is not a key.
func ParseKey(text string) (Key, error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != KeySize {
		return Key{}, errors.Wrapf(ErrNoKey, "%q is not %d hexadecimal digits", text, 2*KeySize)
	}
	return Key(b), nil
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
