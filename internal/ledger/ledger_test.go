package ledger

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

// series returns an account with one sample for each value. A negative value stands for its
// absolute value in a sample without waiting requests.
func series(served ...float64) *account {
	a := &account{weight: 1}
	for _, s := range served {
		a.series = append(a.series, point{math.Abs(s), s >= 0})
	}
	return a
}

type gapCase struct {
	a, b *account
	size float64
}

var gapCases = map[string]gapCase{
	"even":                       {series(0, 10, 20), series(0, 10, 20), 0},
	"one ahead":                  {series(0, 10, 40), series(0, 10, 20), 20},
	"ahead, then behind":         {series(0, 30, 30), series(0, 0, 50), 50},
	"not backlogged in between":  {series(0, 10, -50, 50, 60), series(0, 10, 20, 30, 40), 0},
	"only while both backlogged": {series(0, 100, 200), series(-0.001, -1, 1), 0},
}

var _ = Describe("The ledger's gap", func() {
	for name, c := range gapCases {
		It("is the largest change of lead while both are backlogged: "+name, func() {
			none := func(int, float64) {}
			Expect(pairGap(c.a, c.b, none).Size).To(Equal(c.size))
			Expect(pairGap(c.b, c.a, none).Size).To(Equal(c.size))
		})
	}
})
