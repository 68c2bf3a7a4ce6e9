package enginespeed

import "slices"

const (
	// unequalFrom and equalBelow are the ratios between the mean factor of a service's slowest and
	// of its fastest third, from which its engines count as unequal and below which as equal again.
	// Factors of equal engines vary between 0.8 and 1.4, which gives ratios of some 1.4.
	unequalFrom = 1.6
	equalBelow  = 1.45
	// minEngines is the number of known engines from which they are compared.
	minEngines = 6
)

// Spread tells whether the engines of a service differ in speed by more than their factors vary by
// chance. Where they don't, requests that followed the factors would leave the engines that have
// cached their prompts for nothing. The zero value takes them for equal.
type Spread struct{ unequal bool }

// With returns the spread after the factors of some of the service's engines were seen. It sorts
// factors.
func (s Spread) With(factors []float64) Spread {
	if len(factors) < minEngines {
		return Spread{}
	}
	slices.Sort(factors)
	third := len(factors) / 3
	fastest, slowest := 0.0, 0.0
	for i := range third {
		fastest += factors[i]
		slowest += factors[len(factors)-1-i]
	}
	limit := unequalFrom
	if s.unequal {
		limit = equalBelow
	}
	return Spread{unequal: slowest >= limit*fastest}
}

// Unequal reports whether the engines differ.
func (s Spread) Unequal() bool { return s.unequal }
