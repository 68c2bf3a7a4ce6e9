package load_test

import (
	"context"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/load"
	"github.com/stepcroft/stepcroft/internal/scenario"
	"github.com/stepcroft/stepcroft/internal/settings"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

func readScenario(file string) scenario.Scenario {
	data, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	s, err := settings.Decode[scenario.Scenario](file, data)
	Expect(err).NotTo(HaveOccurred())
	return s
}

var _ = Describe("Run", func() {
	It("loses no request, runs none twice and gives no wrong answer under any policy", func() {
		s := readScenario("../cli/demo.yaml")
		s.Duration = settings.Duration(2 * time.Second)
		got, err := load.Run(context.Background(), &s, load.Options{
			Policies: []string{"omniscient", "fifo", "local", "steal", "greedy", "share"}, Seed: 1,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Policies).To(HaveLen(6))
		for _, p := range got.Policies {
			Expect(p.Completed).To(BeNumerically(">", 10), p.Policy)
			Expect([]int{p.Lost, p.Doubled, p.Wrong, p.NotRunButRan}).To(Equal([]int{0, 0, 0, 0}), p.Policy)
			Expect(p.Violations).To(BeZero())
		}
	})

	It("runs no request twice and gives no wrong answer when a router stops, another is cut off, an engine is leaving and the platform is unavailable", func() {
		s := readScenario("../cli/demo.yaml")
		s.Duration = settings.Duration(4 * time.Second)
		second := settings.Duration(time.Second)
		s.Faults = []scenario.Fault{
			{Start: second, Target: "r2", Action: "stop"},
			{Start: second, Duration: second, Target: "platform"},
			{Start: 2 * second, Target: "quoting-1"},
			{Start: second, Duration: second, Target: "r1", Action: "cut"},
		}
		s.Faults[1].StandinFaults.Outage = true
		s.Faults[2].StandinFaults.Leaving = true
		got, err := load.Run(context.Background(), &s, load.Options{Policies: []string{"default"}, Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		p := got.Policies[0]
		Expect(p.Completed).To(BeNumerically(">", 10))
		Expect([]int{p.Doubled, p.Wrong, p.NotRunButRan}).To(Equal([]int{0, 0, 0}))
		Expect(p.Violations).To(BeZero())
	})
})
