package fair_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/fair"
	"github.com/stepcroft/stepcroft/internal/invariant"
)

func TestFair(t *testing.T) {
	invariant.Strict()
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "fair")
}

// ExampleNew shows that a policy picks an organisation for each free slot, and that Charge
// passes it the cost.
func ExampleNew() {
	policy, err := fair.New("local", rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		fmt.Println(err)
		return
	}
	candidates := []fair.Candidate{
		{Organisation: "heating", Weight: 1, LocalWaiting: 5},
		{Organisation: "water", Weight: 2, LocalWaiting: 5},
	}
	for range 6 {
		c := candidates[policy.Pick(candidates)]
		policy.Charge(c.Organisation, 100)
		fmt.Print(c.Organisation, " ")
	}
	// Output: heating water water heating water water
}

type item struct {
	organisation string
	priority     int
	deadline     time.Time
	arrived      time.Time
}

func (i *item) Organisation() string { return i.organisation }
func (i *item) Priority() int        { return i.priority }
func (i *item) Deadline() time.Time  { return i.deadline }
func (i *item) Arrived() time.Time   { return i.arrived }

var _ = Describe("Queue", func() {
	It("behaves like a sorted list", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			var queue fair.Queue[*item]
			var naive []*item
			handles := map[*item]fair.Handle[*item]{}
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				org := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation")
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0, 1:
					i := &item{organisation: org, priority: rapid.IntRange(0, 2).Draw(t, "priority")}
					i.deadline = time.Unix(int64(rapid.IntRange(0, 3).Draw(t, "deadline")), 0)
					handles[i] = queue.Push(i)
					naive = append(naive, i)
				case 2:
					got, ok := queue.Pop(org)
					best := naiveFirst(naive, org)
					g.Expect(ok).To(Equal(best >= 0))
					if ok {
						g.Expect(got).To(BeIdenticalTo(naive[best]))
						naive = slices.Delete(naive, best, best+1)
						g.Expect(queue.Remove(handles[got])).To(BeFalse())
					}
				case 3:
					if len(naive) > 0 {
						n := rapid.IntRange(0, len(naive)-1).Draw(t, "item")
						g.Expect(queue.Remove(handles[naive[n]])).To(BeTrue())
						naive = slices.Delete(naive, n, n+1)
					}
				}
				g.Expect(queue.Size()).To(Equal(len(naive)))
			}
		})
	})
})

func naiveFirst(list []*item, organisation string) int {
	best := -1
	for i, x := range list {
		if x.organisation != organisation {
			continue
		}
		if best < 0 || before(x, list[best]) {
			best = i
		}
	}
	return best
}

func before(a, b *item) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.deadline.Before(b.deadline)
}

// maxServiceGap simulates the policies of several routers, which get a fleet view
// every age rounds, and returns the largest gap in weighted service between two
// organisations, in units of the largest request.
func maxServiceGap(policy string, routers, organisations, rounds, age int, seed uint64) float64 {
	const largest = 400.0
	random := rand.New(rand.NewPCG(seed, 7))
	policies := make([]fair.Policy, routers)
	for i := range policies {
		policies[i], _ = fair.New(policy, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	candidates := make([]fair.Candidate, organisations)
	for i := range candidates {
		candidates[i] = fair.Candidate{Organisation: fmt.Sprint(i), Weight: float64(1 + i%3), LocalWaiting: 9, RemoteWaiting: 9}
	}
	served := make([]float64, organisations)
	viewed := make([]float64, organisations)
	worst := 0.0
	for round := range rounds {
		p := policies[random.IntN(routers)]
		o := p.Pick(candidates)
		cost := 1 + random.Float64()*(largest-1)
		p.Charge(candidates[o].Organisation, cost)
		served[o] += cost
		if round%age == age-1 {
			observeAll(policies, candidates, served, viewed)
		}
		low, high := served[0]/candidates[0].Weight, served[0]/candidates[0].Weight
		for i := range served {
			low, high = min(low, served[i]/candidates[i].Weight), max(high, served[i]/candidates[i].Weight)
		}
		worst = max(worst, (high-low)/largest)
	}
	return worst
}

func observeAll(policies []fair.Policy, candidates []fair.Candidate, served, viewed []float64) {
	for _, p := range policies {
		var states []fair.OrganisationState
		for i, c := range candidates {
			states = append(states, fair.OrganisationState{
				Organisation: c.Organisation, Weight: c.Weight, Served: served[i] - viewed[i], Backlogged: true,
			})
		}
		p.Observe(fair.View{Organisations: states})
	}
	copy(viewed, served)
}

var _ = Describe("Policies over stale views", func() {
	DescribeTable(
		"keep the gap bounded", func(routers, age int, bound float64) {
			for seed := range uint64(5) {
				Expect(maxServiceGap("share", routers, 8, 20000, age, seed)).To(BeNumerically("<", bound))
			}
		},
		Entry("1 router", 1, 50, 4.0),
		Entry("8 routers", 8, 400, 12.0),
		Entry("64 routers", 64, 1600, 30.0),
	)

	// Fairness kept by each router separately has this property as well, as long as every
	// router has requests of every organisation.
	It("keeps the gap from growing with time", func() {
		short := maxServiceGap("share", 8, 8, 10000, 400, 1)
		long := maxServiceGap("share", 8, 8, 100000, 400, 1)
		Expect(long).To(BeNumerically("<", 2*short+2))
	})

	It("gives a newly active organisation no credit for its idle time", func() {
		for _, name := range []string{"local", "steal", "share"} {
			p, err := fair.New(name, rand.New(rand.NewPCG(1, 1)))
			Expect(err).NotTo(HaveOccurred())
			a := fair.Candidate{Organisation: "a", Weight: 1, LocalWaiting: 1}
			b := fair.Candidate{Organisation: "b", Weight: 1, LocalWaiting: 1}
			for range 1000 {
				p.Pick([]fair.Candidate{a})
				p.Charge("a", 100)
			}
			counts := map[int]int{}
			for range 100 {
				both := []fair.Candidate{a, b}
				i := p.Pick(both)
				p.Charge(both[i].Organisation, 100)
				counts[i]++
			}
			Expect(counts[0]).To(BeNumerically("~", 50, 3), name)
		}
	})

	It("gives no credit for requests that arrived while a slot was free", func() {
		p, err := fair.New("local", rand.New(rand.NewPCG(1, 1)))
		Expect(err).NotTo(HaveOccurred())
		a := fair.Candidate{Organisation: "a", Weight: 1, LocalWaiting: 1}
		b := fair.Candidate{Organisation: "b", Weight: 1, LocalWaiting: 1}
		for i := range 1000 {
			alone := []fair.Candidate{a}
			if i%10 == 0 {
				alone[0] = b
			}
			p.Pick(alone)
			p.Charge(alone[0].Organisation, 100)
		}
		counts := map[int]int{}
		for range 100 {
			both := []fair.Candidate{a, b}
			i := p.Pick(both)
			p.Charge(both[i].Organisation, 100)
			counts[i]++
		}
		Expect(counts[0]).To(BeNumerically("~", 50, 3))
	})
})

var _ = Describe("Estimator", func() {
	DescribeTable(
		"is right on average whatever the hints", func(hint func(cost float64, r *rand.Rand) float64) {
			var e fair.Estimator
			r := rand.New(rand.NewPCG(1, 1))
			sum, total := 0.0, 0.0
			for range 5000 {
				cost := 20 + r.ExpFloat64()*100
				h := hint(cost, r)
				sum += e.Estimate("o", h)
				total += cost
				e.Learn("o", h, cost)
			}
			Expect(sum / total).To(BeNumerically("~", 1, 0.1))
		},
		Entry("none", func(float64, *rand.Rand) float64 { return 0 }),
		Entry("exact", func(c float64, _ *rand.Rand) float64 { return c }),
		Entry("ten times too low", func(c float64, _ *rand.Rand) float64 { return c / 10 }),
		Entry("constant", func(float64, *rand.Rand) float64 { return 1 }),
		Entry("wrong by up to ten times", func(c float64, r *rand.Rand) float64 { return c * (0.1 + r.Float64()*9.9) }),
	)
})
