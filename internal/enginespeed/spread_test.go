package enginespeed_test

import (
	"testing"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
)

// TestSpread guards against engines being told apart by chance, and against a decision that changes
// with every small change of the factors.
func TestSpread(t *testing.T) {
	equal := []float64{0.85, 0.9, 0.95, 1, 1.05, 1.1, 1.2, 1.3, 0.8}
	unequal := []float64{0.7, 0.72, 0.68, 0.7, 0.75, 0.7, 1.7, 1.6, 1.8}
	between := []float64{0.78, 0.8, 0.79, 0.9, 0.9, 0.9, 1.2, 1.18, 1.2}
	few := unequal[4:]
	tests := map[string]struct {
		seen [][]float64
		want bool
	}{
		"nothing known":         {},
		"equal":                 {seen: [][]float64{equal}},
		"unequal":               {seen: [][]float64{unequal}, want: true},
		"not unequal enough":    {seen: [][]float64{between}},
		"still unequal":         {seen: [][]float64{unequal, between}, want: true},
		"equal again":           {seen: [][]float64{unequal, equal}},
		"too few, then too few": {seen: [][]float64{few, few}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s enginespeed.Spread
			for _, factors := range test.seen {
				s = s.With(append([]float64(nil), factors...))
			}
			if s.Unequal() != test.want {
				t.Fatalf("unequal is %v, want %v", s.Unequal(), test.want)
			}
		})
	}
}
