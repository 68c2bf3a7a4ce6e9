package gateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// limitOfStop is the time for a planned stop in these tests.
const limitOfStop = 1600 * time.Millisecond

var _ = Describe("A planned stop", func() {
	const limit = limitOfStop

	It("lets a stream end that began before it", func() {
		r := newRig()
		r.configure(spec(1))
		r.serve("t", streamer(10, 10, 50*time.Millisecond))
		got := make(chan reply, 1)
		background(func() { got <- r.post("/stream/x") })
		time.Sleep(100 * time.Millisecond)
		r.Drain(context.Background(), limit)
		Expect(<-got).To(And(HaveField("Err", BeNil()), HaveField("Body", whole(10))))
	})

	It("begins nothing that it may not be able to end", func() {
		r := newRig()
		r.configure(spec(1))
		r.serve("t", streamer(10, 10, 60*time.Millisecond))
		background(func() { r.Drain(context.Background(), limit) })
		// Three eighths of the limit, by when callers who keep addresses for
		// long have others.
		time.Sleep(limit * 38 / 100)
		got := r.post("/stream/x")
		if got.Err != nil {
			// The router listens no more: nothing was read.
			return
		}
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("serves requests to the end that cannot outlast it", func() {
		r := newRig()
		// Times are long enough for a busy machine.
		const limit = 5 * time.Second
		c := spec(1)
		c.Routes[1].Timeout = limit / 5
		r.configure(c)
		r.serve("t", answer)
		background(func() { r.Drain(context.Background(), limit) })
		Eventually(r.Ready).Should(BeFalse())
		// One stays and asks again and again; it asked for no addresses.
		for began := time.Now(); time.Since(began) < limit/2; time.Sleep(20 * time.Millisecond) {
			Expect(r.post("/many/x").Status).To(Equal(http.StatusOK))
		}
		Expect(r.post("/stream/x").Status).To(Equal(http.StatusServiceUnavailable))
	})

	It("serves callers with older addresses at first, and asks them to go", func() {
		r := newRig()
		r.configure(spec(1))
		r.serve("t", answer)
		background(func() { r.Drain(context.Background(), limit) })
		Eventually(r.Ready).Should(BeFalse())
		got := r.post("/many/x")
		Expect(got.Status).To(Equal(http.StatusOK))
		Expect(got.Closing).To(BeTrue())
		Expect(r.Addresses(context.Background(), "z")).To(BeEmpty())
	})
})
