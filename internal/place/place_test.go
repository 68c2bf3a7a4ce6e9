package place_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/place"
	"github.com/stepcroft/stepcroft/internal/port"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place")
}

var start = time.Unix(1000, 0)

func owning(slots int) *place.Slots {
	s := place.New(0)
	s.SetOwned([]config.Box{{Name: "e1", Pool: "p", Slots: slots, Address: "a"}}, start)
	return s
}

var _ = Describe("Slots", func() {
	It("allocates nothing on an engine that has not reported its load", func() {
		Expect(owning(4).Free("p", start)).To(BeZero())
	})

	It("allocates nothing on an engine whose last report is too old", func() {
		s := owning(4)
		s.RecordLoad("e1", port.EngineLoad{}, start)
		Expect(s.Free("p", start.Add(time.Second))).To(Equal(4))
		Expect(s.Free("p", start.Add(4*time.Second))).To(BeZero())
	})

	It("reserves slots at first for requests that no router has reported", func() {
		s := owning(4)
		s.RecordLoad("e1", port.EngineLoad{Running: 3}, start)
		Expect(s.Free("p", start)).To(Equal(1))
		s.SetForeign("e1", "r2", 3, start, time.Minute)
		s.RecordLoad("e1", port.EngineLoad{Running: 3}, start)
		Expect(s.Free("p", start)).To(Equal(1))
		s.SetForeign("e1", "r2", 0, start, time.Minute)
		Expect(s.Free("p", start)).To(Equal(4))
	})

	It("reuses a released slot at once, whatever the engine last reported", func() {
		s := owning(4)
		s.RecordLoad("e1", port.EngineLoad{}, start)
		var allocated []place.Allocation
		for range 4 {
			a, ok := s.Allocate(place.Allocation{Pool: "p"}, start)
			Expect(ok).To(BeTrue())
			allocated = append(allocated, a)
		}
		s.RecordLoad("e1", port.EngineLoad{Running: 4}, start)
		_, ok := s.Release(allocated[0].Slot)
		Expect(ok).To(BeTrue())
		Expect(s.Free("p", start)).To(Equal(1))
	})

	It("frees a slot only once", func() {
		s := owning(1)
		s.RecordLoad("e1", port.EngineLoad{}, start)
		a, _ := s.Allocate(place.Allocation{Pool: "p"}, start)
		_, first := s.Release(a.Slot)
		_, second := s.Release(a.Slot)
		Expect([]bool{first, second}).To(Equal([]bool{true, false}))
	})

	It("keeps an engine leaving whatever it reports later", func() {
		s := owning(4)
		s.RecordLoad("e1", port.EngineLoad{Leaving: true}, start)
		s.RecordLoad("e1", port.EngineLoad{Leaving: false}, start)
		Expect(s.Free("p", start)).To(BeZero())
	})
})
