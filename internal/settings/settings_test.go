package settings_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validSettings = `id: r1
zone: a
listen: 10.0.0.1:8080
peer_listen: 10.0.0.1:9080
platform: 10.0.0.9:7000
report_period: 700ms
timeout: 2s
`

type faultCase struct {
	yaml       string
	wantFaults []string
}

var faultCases = map[string]faultCase{
	"unknown field": {validSettings + "colour: red\n", []string{`f.yaml:8: unknown field colour`}},
	"bad unit":      {strings.Replace(validSettings, "700ms", "700", 1), []string{`f.yaml:6: report_period: "700" is no duration with a unit, such as 700ms or 2s`}},
	"missing field": {strings.Replace(validSettings, "zone: a\n", "", 1), []string{`f.yaml:1: zone: is missing`}},
	"bad address": {
		strings.Replace(validSettings, "10.0.0.9:7000", "store:7000", 1),
		[]string{`f.yaml:5: platform: "store:7000" is no IP number and port, such as 10.0.0.1:8080`},
	},
	"out of range": {
		strings.Replace(validSettings, "700ms", "1ms", 1),
		[]string{`f.yaml:6: report_period: is below the least allowed, 100ms`},
	},
	"fields that contradict each other": {
		strings.Replace(validSettings, "700ms", "1500ms", 1),
		[]string{`f.yaml:7: timeout: is below twice report_period, 3s`},
	},
	"bad name":      {strings.Replace(validSettings, "id: r1", "id: R_1", 1), []string{`f.yaml:1: id: "R_1" may hold only a-z, 0-9 and -`}},
	"bad syntax":    {validSettings + "log: {\n", []string{"f.yaml:8: did not find expected node content"}},
	"wrong type":    {validSettings + "max_waiting: many\n", []string{"f.yaml:8: max_waiting: cannot unmarshal !!str `many` into int"}},
	"nested":        {validSettings + "log: {format: xml}\n", []string{`f.yaml:8: log.format: "xml" is none of text, json`}},
	"nothing":       {"", []string{"f.yaml:1: want one YAML document, found 0"}},
	"two documents": {validSettings + "---\n" + validSettings, []string{"f.yaml:1: want one YAML document, found 2"}},
	"several faults": {
		strings.Replace(strings.Replace(validSettings, "zone: a\n", "", 1), "timeout: 2s", "timeout: soon", 1) + "colour: red\n",
		[]string{
			"f.yaml:1: zone: is missing",
			`f.yaml:6: timeout: "soon" is no duration with a unit, such as 700ms or 2s`,
			"f.yaml:7: unknown field colour",
		},
	},
}

var _ = Describe("Decode", func() {
	It("reads valid settings", func() {
		r, err := settings.Decode[settings.Router]("f.yaml", []byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Duration(r.ReportPeriod)).To(Equal(700 * time.Millisecond))
	})

	for name, c := range faultCases {
		It("reports file, line, field and allowed values: "+name, func() {
			_, err := settings.Decode[settings.Router]("f.yaml", []byte(c.yaml))
			Expect(errors.Is(err, settings.ErrInvalid)).To(BeTrue())
			Expect(strings.Split(err.Error(), "\n")).To(Equal(c.wantFaults))
		})
	}
})

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("a: &x [*x]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Decode[settings.Router]("f.yaml", data)
		if err != nil && !errors.Is(err, settings.ErrInvalid) {
			t.Errorf("error does not match ErrInvalid: %v", err)
		}
	})
}
