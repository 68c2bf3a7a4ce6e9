package gateway_test

import (
	"encoding/json"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/invariant"
)

var _ = Describe("The metrics", func() {
	It("have a count for each invariant", func() {
		w := httptest.NewRecorder()
		counters.New().ServeHTTP(w, nil)
		var metrics struct {
			Violations map[string]int `json:"violations"`
		}
		Expect(json.Unmarshal(w.Body.Bytes(), &metrics)).To(Succeed())
		for _, n := range invariant.Names() {
			Expect(metrics.Violations).To(HaveKey(string(n)))
		}
	})
})
