package scenario_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/scenario"
	"github.com/stepcroft/stepcroft/internal/settings"
)

func TestScenario(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scenario")
}

func readScenario(file string) scenario.Scenario {
	data, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	s, err := settings.Decode[scenario.Scenario](file, data)
	Expect(err).NotTo(HaveOccurred())
	return s
}

var _ = Describe("Scenarios", func() {
	for _, file := range []string{"../cli/demo.yaml", "../../scenarios/karaganda.yaml", "../../scenarios/lima.yaml"} {
		It("can be read and draws the same load from the same seed: "+file, func() {
			s := readScenario(file)
			Expect(s.Plan(1)).To(Equal(s.Plan(1)))
			Expect(s.Plan(1)).NotTo(Equal(s.Plan(2)))
		})
	}

	It("reports all faults of an invalid scenario", func() {
		_, err := settings.Decode[scenario.Scenario]("s.yaml", []byte(`name: x
duration: 1s
zones: [a]
routers: 1
pools:
  - {name: p, engines: 1, slots: 1, token_time: 1ms}
  - {name: p, engines: 1, slots: 1, token_time: 1ms}
organisations:
  - name: o
    requests:
      - {pool: q, rate: 1, routers: 2}
`))
		Expect(err).To(MatchError(`s.yaml:7: pools[1].name: "p" stands twice
s.yaml:11: organisations[0].requests[0].pool: there is no pool "q"
s.yaml:11: organisations[0].requests[0].tokens: mean is missing
s.yaml:11: organisations[0].requests[0].routers: is above the number of routers, 1`))
	})
})

var _ = Describe("A scaled, stretched and skewed scenario", func() {
	It("does not change the original", func() {
		s := readScenario("../../scenarios/lima.yaml")
		before := s.Plan(1)
		big := s.Scaled(8).Stretched(4).Skewed()
		Expect(big.Routers).To(Equal(8 * s.Routers))
		Expect(big.Pools[0].Engines).To(Equal(8 * s.Pools[0].Engines))
		Expect(big.Organisations[0].Requests[0].Rate).To(BeNumerically("~", 2*s.Organisations[0].Requests[0].Rate))
		Expect(big.Organisations[1].Requests[0].Routers).To(Equal(1))
		Expect(s.Plan(1)).To(Equal(before))
	})
})
