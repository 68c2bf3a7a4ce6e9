package balance_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/rollout"
)

var _ = Describe("A service that is moved to another version", func() {
	const exposure = 0.1
	// start returns a world with five engines of each version and an order to move to v2.
	start := func(state rollout.State) (*world, *rollout.Tracker) {
		w := newWorld(0)
		var list []balance.Target
		for i := range 10 {
			list = append(list, balance.Target{ID: fmt.Sprint("e", i), Service: "llm", Zone: "z", Slots: 64, Version: fmt.Sprint("v", 1+i/5)})
		}
		tracker := rollout.New(exposure, func() float64 { return 0 })
		tracker.SetOrders(w.now, []rollout.Order{{Service: "llm", Version: "v2", Duration: time.Minute, State: state}})
		w.SetRollouts(tracker)
		w.SetTargets(w.now, list)
		return w, tracker
	}
	// send sends n requests one after the other, each of which ends with a result, and returns how
	// many went to each version.
	send := func(w *world, n int, serverError bool) map[string]int {
		sent := map[string]int{}
		for i := range n {
			t := w.prompt("o", fmt.Sprint("s", i%20), 100)
			d := w.arrive(t)
			Expect(d).NotTo(BeNil())
			sent[d.Target.Version]++
			t.ServerError.Store(serverError && d.Target.Version == "v2")
			w.now = w.now.Add(10 * time.Millisecond)
			w.complete(t)
			w.now = w.now.Add(200 * time.Millisecond)
		}
		return sent
	}
	It("sends a few requests to the new version while it is on trial", func() {
		w, _ := start(rollout.Serving)
		sent := send(w, 200, false)
		Expect(sent["v2"]).To(BeNumerically(">", 0))
		Expect(sent["v2"]).To(BeNumerically("<=", 200*exposure))
	})
	It("sends nothing to a version that was rolled back", func() {
		w, _ := start(rollout.RolledBack)
		Expect(send(w, 200, false)).To(Equal(map[string]int{"v1": 200}))
	})
	It("sends all requests to the new version when the roll-out is complete", func() {
		w, _ := start(rollout.Complete)
		Expect(send(w, 200, false)).To(Equal(map[string]int{"v2": 200}))
	})
	It("sends nothing more to a version once its answers are bad", func() {
		w, tracker := start(rollout.Serving)
		send(w, 250, true)
		Expect(tracker.Decide(w.now)).To(ContainElement(HaveField("State", rollout.RolledBack)))
		Expect(send(w, 200, true)).To(Equal(map[string]int{"v1": 200}))
	})
	It("refuses at once where all targets are of a version that was rolled back", func() {
		w, _ := start(rollout.RolledBack)
		w.SetTargets(w.now, []balance.Target{{ID: "e9", Service: "llm", Zone: "z", Slots: 64, Version: "v2"}})
		d := w.arrive(w.prompt("o", "s", 100))
		Expect(d).NotTo(BeNil())
		Expect(d.Refused).To(Equal(balance.NoAllowedTarget))
	})
})
