package fleetview_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/fleetview"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/message"
)

func TestFleetView(t *testing.T) {
	invariant.Strict()
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "fleetview")
}

var start = time.Unix(1000, 0)

func report(incarnation, sequence, service uint64, waiting int) message.Report {
	return message.Report{Incarnation: incarnation, Sequence: sequence, Pools: []message.PoolReport{{
		Pool: "p", Free: 1,
		Organisations: []message.OrganisationReport{{Organisation: "o", Service: service, Waiting: waiting, Backlogged: waiting > 0}},
	}}}
}

func drained(v *fleetview.View) (served float64, backlogged bool) {
	v.DrainServed("p", func(_ string, s float64, b bool) { served, backlogged = s, b })
	return served, backlogged
}

var _ = Describe("View", func() {
	It("counts the service of each incarnation once, even if reports are late, duplicated or lost", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			v := fleetview.New(rand.New(rand.NewPCG(1, 1)))
			v.ApplyReport("r1", report(1, 1, 0, 0), start)
			// Reports of two incarnations, whose counters each start at zero.
			var sent []message.Report
			last := map[uint64]uint64{}
			for i := range rapid.IntRange(1, 30).Draw(t, "reports") {
				incarnation := uint64(1)
				if i >= 10 {
					incarnation = 2
				}
				last[incarnation] += rapid.Uint64Range(0, 100).Draw(t, "service")
				sent = append(sent, report(incarnation, uint64(i+2), last[incarnation], 0))
			}
			total := 0.0
			newest := map[uint64]uint64{}
			current := uint64(1)
			for range 2 * len(sent) {
				r := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "delivered")]
				v.ApplyReport("r1", r, start)
				if r.Incarnation >= current {
					current = r.Incarnation
					newest[current] = max(newest[current], r.Pools[0].Organisations[0].Service)
				}
				served, _ := drained(v)
				total += served
				g.Expect(total).To(BeNumerically("==", newest[1]+newest[2]))
			}
		})
	})

	It("does not count an organisation's first counter if the router's first reports were missed", func() {
		v := fleetview.New(rand.New(rand.NewPCG(1, 1)))
		v.ApplyReport("r1", message.Report{Incarnation: 1, Sequence: 5}, start)
		v.ApplyReport("r1", report(1, 6, 1000, 0), start)
		served, _ := drained(v)
		Expect(served).To(BeZero())
		v.ApplyReport("r1", report(1, 7, 1010, 0), start)
		served, _ = drained(v)
		Expect(served).To(BeNumerically("==", 10))
	})

	It("does not count the service in the first report received of a router that started earlier", func() {
		v := fleetview.New(rand.New(rand.NewPCG(1, 1)))
		v.ApplyReport("r1", report(1, 5, 1000, 3), start)
		served, backlogged := drained(v)
		Expect(served).To(BeZero())
		Expect(backlogged).To(BeTrue())
	})

	It("drops the waiting requests of a dead router, but not what it served", func() {
		v := fleetview.New(rand.New(rand.NewPCG(1, 1)))
		v.ApplyReport("r1", report(1, 1, 0, 3), start)
		v.ApplyReport("r1", report(1, 2, 50, 3), start)
		v.Forget("r1")
		served, backlogged := drained(v)
		Expect(served).To(BeNumerically("==", 50))
		Expect(backlogged).To(BeFalse())
		_, ok := v.PickHolder("p", "o")
		Expect(ok).To(BeFalse())
	})

	It("has the mean age of its reports, without those of dead routers", func() {
		v := fleetview.New(rand.New(rand.NewPCG(1, 1)))
		Expect(v.Age(start)).To(BeZero())
		v.ApplyReport("r1", report(1, 1, 0, 0), start)
		v.ApplyReport("r2", report(1, 1, 0, 0), start.Add(2*time.Second))
		Expect(v.Age(start.Add(3 * time.Second))).To(Equal(2 * time.Second))
		v.Forget("r1")
		Expect(v.Age(start.Add(3 * time.Second))).To(Equal(time.Second))
	})

	It("picks each holder once for each of its waiting requests", func() {
		v := fleetview.New(rand.New(rand.NewPCG(1, 1)))
		v.ApplyReport("r1", report(1, 1, 0, 2), start)
		v.ApplyReport("r2", report(1, 1, 0, 5), start)
		counts := map[message.RouterID]int{}
		for range 10 {
			if id, ok := v.PickHolder("p", "o"); ok {
				counts[id]++
			}
		}
		Expect(counts).To(Equal(map[message.RouterID]int{"r1": 2, "r2": 5}))
	})
})
