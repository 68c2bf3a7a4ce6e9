// Package revision orders all that a store writes in its life. A store that comes back from a
// copy gives out revisions again; it is in a new era then, and whatever it says in that is
// later than all that it said before. An era and a revision make one number, so that what is
// known, asked for and passed on compares as a number does.
package revision

import "github.com/pkg/errors"

// bits is how many bits of a number are the store's revision: enough for some thirty years
// of a thousand writes a second. The rest is the era, up to eight million.
const bits = 40

// ErrRange means that an era or a revision is none.
var ErrRange = errors.New("revision out of range")

// New returns the number for a revision of an era. Those of era 0 are the store's own.
func New(era, store int64) (int64, error) {
	if era < 0 || era >= 1<<(63-bits) || store < 0 || store >= 1<<bits {
		return 0, errors.Wrapf(ErrRange, "era %d, revision %d", era, store)
	}
	return era<<bits | store, nil
}

// Era returns the era of a number.
func Era(n int64) int64 { return n >> bits }

// Store returns the store's own revision of a number.
func Store(n int64) int64 { return n & (1<<bits - 1) }
