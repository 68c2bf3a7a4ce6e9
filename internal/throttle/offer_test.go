package throttle

import (
	"fmt"
	"math"
	"testing"
)

func TestNextCoalesceLevel(t *testing.T) {
	for name, c := range map[string]struct{ last, utilisation, want float64 }{
		"idle":                {last: 0, utilisation: 0.3, want: 0},
		"busy":                {last: 0, utilisation: 0.6, want: 1},
		"busy for a while":    {last: 1, utilisation: 0.9, want: 1},
		"idle since a moment": {last: 1, utilisation: 0.4, want: 0.95},
		"idle for long":       {last: 0.52, utilisation: 0.4, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := nextCoalesceLevel(c.last, c.utilisation); got != c.want {
				t.Errorf("%g, want %g", got, c.want)
			}
		})
	}
}

func ExampleRequestSize_grade() {
	const pieces = 0.14
	long := RequestSize{Input: 9190, Output: 50}
	chatty := RequestSize{Input: 715, Output: 280}
	fmt.Println(long.grade(pieces) > chatty.grade(pieces), RequestSize{}.grade(pieces))
	// Output: true 0
}

func TestFindCutGrade(t *testing.T) {
	arrived := [grades]float64{2: 10, 5: 20, 9: 30}
	for name, c := range map[string]struct {
		allowance, left float64
		grade           int
	}{
		"all fit":                    {allowance: 60, grade: -1, left: 0},
		"the best grade alone":       {allowance: 30, grade: 5, left: 0},
		"a part of the middle grade": {allowance: 42, grade: 5, left: 12},
		"a part of the worst grade":  {allowance: 55, grade: 2, left: 5},
		"nothing":                    {allowance: 0, grade: 9, left: 0},
	} {
		t.Run(name, func(t *testing.T) {
			if grade, left := findCutGrade(&arrived, c.allowance); grade != c.grade || left != c.left {
				t.Errorf("grade %d, %g left, want %d and %g", grade, left, c.grade, c.left)
			}
		})
	}
}

func TestGateAdmitsSomeOfEachKind(t *testing.T) {
	long, chatty := RequestSize{Input: 9190, Output: 50}, RequestSize{Input: 715, Output: 280}
	f := &flow{cpuAllowance: 3e6, gate: &Gate{}}
	f.gate.cpuBound.Store(true)
	f.gate.admitsLeft.Store(1 << 30)
	f.gate.piecesPerToken.Store(math.Float64bits(0.14))
	admitted := map[RequestSize]int{}
	const ticks, each = 500, 10
	for range ticks {
		for i := range f.arrivedAverage {
			f.arrivedAverage[i] += averageWeight * (float64(f.gate.arrivedCPUTime[i].Swap(0)) - f.arrivedAverage[i])
		}
		f.gate.setAllowance(&f.arrivedAverage, f.cpuAllowance)
		for range each {
			for _, o := range []RequestSize{long, chatty} {
				if f.gate.Check(o) == "" && f.gate.Admit(o) == "" {
					admitted[o]++
				}
			}
		}
	}
	if admitted[long] < ticks*each/2 || admitted[chatty] == 0 || admitted[chatty] > admitted[long]/10 {
		t.Errorf("%d requests with long prompts and %d with long answers admitted, of %d each", admitted[long], admitted[chatty], ticks*each)
	}
}
