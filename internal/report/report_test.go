package report_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/report"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

var _ = Describe("Plot", func() {
	It("writes a plot with a line for each policy", func() {
		file := filepath.Join(GinkgoT().TempDir(), "gap.svg")
		c := report.Comparison{Scenario: "s", Policies: []report.PolicyResult{
			{Policy: "local", GapSeries: []float64{1, 2, 3}}, {Policy: "share", GapSeries: []float64{1, 1, 1}},
		}}
		Expect(report.Plot(c, file)).To(Succeed())
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(And(ContainSubstring("local"), ContainSubstring("share")))
	})
})
