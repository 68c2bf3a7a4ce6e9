package throttle

import (
	"fmt"
	"math"
	"testing"
)

func TestNextCoalesceLevel(t *testing.T) {
	for name, c := range map[string]struct{ last, part, want float64 }{
		"enough processor time":   {last: 0, part: 0.3, want: 0},
		"short of it":             {last: 0, part: 0.6, want: 1},
		"short of it for a while": {last: 1, part: 0.9, want: 1},
		"free since a moment":     {last: 1, part: 0.4, want: 0.95},
		"free for long":           {last: 0.52, part: 0.4, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := coalesceAt(c.last, c.part); got != c.want {
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
		most, left float64
		grade      int
	}{
		"all fit":              {most: 60, grade: -1, left: 0},
		"the best alone":       {most: 30, grade: 5, left: 0},
		"a part of the middle": {most: 42, grade: 5, left: 12},
		"a part of the worst":  {most: 55, grade: 2, left: 5},
		"nothing":              {most: 0, grade: 9, left: 0},
	} {
		t.Run(name, func(t *testing.T) {
			if grade, left := cutAt(&arrived, c.most); grade != c.grade || left != c.left {
				t.Errorf("grade %d, %g left, want %d and %g", grade, left, c.grade, c.left)
			}
		})
	}
}

func TestGateAdmitsSomeOfEachKind(t *testing.T) {
	long, chatty := RequestSize{Input: 9190, Output: 50}, RequestSize{Input: 715, Output: 280}
	f := &flow{most: 3e6, gate: &Gate{}}
	f.gate.busy.Store(true)
	f.gate.left.Store(1 << 30)
	f.gate.pieces.Store(math.Float64bits(0.14))
	read := map[RequestSize]int{}
	const ticks, each = 500, 10
	for range ticks {
		for i := range f.arrived {
			f.arrived[i] += flowWeight * (float64(f.gate.arrived[i].Swap(0)) - f.arrived[i])
		}
		f.gate.allow(&f.arrived, f.most)
		for range each {
			for _, o := range []RequestSize{long, chatty} {
				if f.gate.Check(o) == "" && f.gate.Admit(o) == "" {
					read[o]++
				}
			}
		}
	}
	if read[long] < ticks*each/2 || read[chatty] == 0 || read[chatty] > read[long]/10 {
		t.Errorf("%d long prompts and %d long answers read of %d each", read[long], read[chatty], ticks*each)
	}
}
