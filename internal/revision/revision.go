// Package revision defines a total order of all writes of a store, also across restores. A
// store that comes back from an older copy hands out the same revisions again. It is in a new
// era then, and all its revisions are later than any of an earlier era. The era and the
// store's revision are combined into one number, so that revisions compare as integers.
package revision

import "github.com/pkg/errors"

// storeBits is the number of low bits that hold the store's revision: enough for some thirty
// years of a thousand writes a second. The other bits hold the era, up to eight million.
const storeBits = 40

// ErrRange means that an era or a revision is out of range.
var ErrRange = errors.New("revision out of range")

// New returns the combined number for a revision of an era. In era 0 it equals the store's
// revision.
func New(era, store int64) (int64, error) {
	if era < 0 || era >= 1<<(63-storeBits) || store < 0 || store >= 1<<storeBits {
		return 0, errors.Wrapf(ErrRange, "era %d, revision %d", era, store)
	}
	return era<<storeBits | store, nil
}

// Era returns the era of a combined number.
func Era(n int64) int64 { return n >> storeBits }

// Store returns the store's revision of a combined number.
func Store(n int64) int64 { return n & (1<<storeBits - 1) }
