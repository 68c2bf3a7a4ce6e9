// Package returns spreads the times at which refused callers are told to return over what engines
// can take.
package returns

import (
	"math"
	"slices"
	"time"
)

// SlotWidth is the time that one slot covers.
const SlotWidth = 100 * time.Millisecond

// Slots holds the tokens of the callers of one service that were told to return, by slot.
type Slots struct {
	Service string
	// First is how many slots after the moment of the report the first element of Tokens lies.
	First  int64
	Tokens []float64
}

// maxTokens bounds the tokens of a slot. It is some hundred times what 6,600 engines start in a slot.
const maxTokens = 1e9

// Valid reports whether the slots are such as a Plan reports. Others come from a router with a fault
// or of another version.
func (s Slots) Valid() bool {
	if s.Service == "" || s.First < 0 || s.First > Count || s.First+int64(len(s.Tokens)) > Count {
		return false
	}
	return !slices.ContainsFunc(s.Tokens, func(tokens float64) bool { return math.IsNaN(tokens) || tokens < 0 || tokens > maxTokens })
}

// After returns the slots as they are d later, without those that have passed.
func (s Slots) After(d time.Duration) Slots {
	first := s.First - int64(d/SlotWidth)
	tokens := s.Tokens
	if first < 0 {
		tokens = tokens[min(-first, int64(len(tokens))):]
		first = 0
	}
	return Slots{Service: s.Service, First: first, Tokens: tokens}
}

// Capped returns the slots with at most limit tokens each.
func (s Slots) Capped(limit float64) Slots {
	if !slices.ContainsFunc(s.Tokens, func(tokens float64) bool { return tokens > limit }) {
		return s
	}
	s.Tokens = slices.Clone(s.Tokens)
	for i := range s.Tokens {
		s.Tokens[i] = min(s.Tokens[i], limit)
	}
	return s
}

// Plus returns the sum of the slots of the same service. It is valid if both are.
func (s Slots) Plus(o Slots) Slots {
	if len(s.Tokens) == 0 {
		return o
	}
	if len(o.Tokens) == 0 {
		return s
	}
	first := min(s.First, o.First)
	end := max(s.First+int64(len(s.Tokens)), o.First+int64(len(o.Tokens)))
	sum := Slots{Service: s.Service, First: first, Tokens: make([]float64, end-first)}
	for _, part := range []Slots{s, o} {
		for i, tokens := range part.Tokens {
			at := part.First - first + int64(i)
			sum.Tokens[at] = min(sum.Tokens[at]+tokens, maxTokens)
		}
	}
	return sum
}
