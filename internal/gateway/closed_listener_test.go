package gateway_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
)

// addVersion adds a target of version v1 at an address.
func (r *rig) addVersion(id, address string) {
	r.revision++
	r.targets = append(r.targets, stored(r.revision, balance.Target{ID: id, Service: "s", Address: address, Zone: "z", Slots: 4, Version: "v1"}))
	r.SetTargets(r.revision, r.targets)
}

// exits returns how many processes of targets have ended as the router has seen, and as it was told.
func (r *rig) exits() map[string]int {
	w := httptest.NewRecorder()
	r.metrics.ServeHTTP(w, nil)
	var metrics struct {
		Exits map[string]int `json:"target_exits"`
	}
	Expect(json.Unmarshal(w.Body.Bytes(), &metrics)).To(Succeed())
	return metrics.Exits
}

var _ = Describe("A target that closes its listener and goes on with its streams", func() {
	const events = 200

	// check lets the target's listener be closed while router first has a stream there, refused sends a request to it,
	// and the target breaks the stream off a while later. Streams were cut then, as of an unknown version.
	check := func(first, refused *rig) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		var sent atomic.Int64
		breakOff := make(chan struct{})
		server := &http.Server{Handler: identified(func(w http.ResponseWriter, _ *http.Request) {
			for i := 1; ; i++ {
				fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
				_ = http.NewResponseController(w).Flush()
				sent.Add(1)
				select {
				case <-breakOff:
					panic(http.ErrAbortHandler)
				case <-time.After(20 * time.Millisecond):
				}
			}
		})}
		server.SetKeepAlivesEnabled(false)
		background(func() { _ = server.Serve(l) })
		DeferCleanup(server.Close)
		first.addVersion("a", l.Addr().String())

		got := make(chan reply, 1)
		background(func() { got <- first.post("/stream/x") })
		Eventually(sent.Load).Should(BeNumerically(">", 2))
		Expect(l.Close()).To(Succeed())
		Eventually(func() map[string]int {
			refused.post("/many/x")
			return refused.exits()
		}).Should(HaveKeyWithValue("seen", 1))
		Eventually(func() int { return first.exits()["seen"] + first.exits()["told"] }).Should(Equal(1))
		other := httptest.NewServer(identified(streamer(events, events, 0)))
		DeferCleanup(other.Close)
		first.addVersion("b", other.Listener.Addr().String())
		before := sent.Load()
		Eventually(sent.Load, "3s").Should(BeNumerically(">", before+50))
		close(breakOff)
		var answer reply
		Eventually(got, "3s").Should(Receive(&answer))
		Expect(answer.Err).NotTo(HaveOccurred())
		Expect(answer.Body).To(Equal(fullStream(events)))
	}

	It("has them resumed by the router that it has refused", func() {
		r := newRig()
		r.configure(spec(1))
		check(r, r)
	})

	It("has them resumed by another router that is told", func() {
		first := newRig()
		other := newRig(first.Self().Peer)
		first.configure(spec(1))
		Eventually(other.Ready).Should(BeTrue())
		check(first, other)
	})
})
