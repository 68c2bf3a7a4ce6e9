package request_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/request"
)

func TestRequest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "request")
}

var _ = Describe("Reason", func() {
	It("has a status for each refusal and none for a retry", func() {
		for _, r := range request.Reasons() {
			if strings.HasPrefix(string(r), "retry-") && r != request.ReasonRetryBudget {
				Expect(r.Status()).To(BeZero(), string(r))
				continue
			}
			Expect(r.Status()).To(BeNumerically(">=", 300), string(r))
		}
	})
})

func id(n uint64) request.ID { return request.ID{Router: "r1", Incarnation: 7, Number: n} }

var _ = Describe("Records", func() {
	It("lets an id be used once, and only by the organisation for which it was reserved", func() {
		r := request.NewRecords(10, 1000, 100)
		r.Reserve(id(1), "water")
		Expect(r.Open(id(1), "heating", func() {})).To(BeFalse())
		Expect(r.Open(id(1), "water", func() {})).To(BeTrue())
		Expect(r.Open(id(1), "water", func() {})).To(BeFalse())
		r.Close(request.Record{ID: id(1), Outcome: request.Completed})
		Expect(r.Open(id(1), "water", func() {})).To(BeFalse())
		Expect(r.Open(id(2), "water", func() {})).To(BeFalse())
	})

	It("stays within its bounds and never evicts a request in progress", func() {
		r := request.NewRecords(5, 1000, 100)
		r.Reserve(id(0), "water")
		Expect(r.Open(id(0), "water", func() {})).To(BeTrue())
		for n := uint64(1); n < 50; n++ {
			r.Reserve(id(n), "water")
			Expect(r.Open(id(n), "water", func() {})).To(BeTrue())
			r.Close(request.Record{ID: id(n), Outcome: request.Completed, Body: make([]byte, 90)})
		}
		Expect(r.Len()).To(BeNumerically("<=", 5))
		kept, ok := r.Lookup(id(0))
		Expect(ok).To(BeTrue())
		Expect(kept.Outcome).To(Equal(request.InProgress))
	})

	It("marks an answer that was too large to keep", func() {
		r := request.NewRecords(5, 1000, 100)
		r.Reserve(id(1), "water")
		r.Open(id(1), "water", func() {})
		r.Close(request.Record{ID: id(1), Outcome: request.Completed, Body: make([]byte, 101)})
		kept, _ := r.Lookup(id(1))
		Expect(kept.Truncated).To(BeTrue())
		Expect(kept.Body).To(BeEmpty())
	})

	It("cancels by id", func() {
		r := request.NewRecords(5, 1000, 100)
		cancelled := false
		r.Reserve(id(1), "water")
		r.Open(id(1), "water", func() { cancelled = true })
		Expect(r.Cancel(id(1))).To(BeTrue())
		Expect(cancelled).To(BeTrue())
		Expect(r.Cancel(id(2))).To(BeFalse())
	})
})

var _ = Describe("Budget", func() {
	It("bounds retries to a tenth of the requests beyond its reserve", func() {
		b := request.NewBudget()
		retries := 0
		for range 1000 {
			b.Earn()
			for b.Spend() {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", 1000/10+20))
		Expect(retries).To(BeNumerically(">=", 100))
	})
})

func FuzzParseID(f *testing.F) {
	f.Add("r1.a.b")
	f.Add("r1.18ed6f66abab0def.2")
	f.Add("..")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := request.ParseID(text)
		if err != nil {
			if !errors.Is(err, request.ErrBadID) {
				t.Errorf("error does not wrap ErrBadID: %v", err)
			}
			return
		}
		again, err := request.ParseID(id.String())
		if err != nil || again != id {
			t.Errorf("%q was parsed, formatted and parsed again to %v, %v", text, again, err)
		}
	})
}
