package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/routing"
)

const (
	// tinyCores is so little that this process always uses more, manyCores so much that it never
	// uses a noticeable part.
	tinyCores = 0.0001
	manyCores = 1000
)

// newBox returns a router with a number of cores and the switch for handing over.
func newBox(cores float64, s feature.Switch, seeds ...string) *rig {
	r := &rig{metrics: counters.New()}
	n := incarnation.Add(1)
	g, err := gateway.New(context.Background(), gateway.Options{
		ID: fmt.Sprint("router-", n), Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Seeds: seeds,
		Incarnation: n, Headers: headerNames, Codec: codec{}, Log: logr.Discard(), Metrics: r.metrics,
		Limits:   balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, QuotaWindow: 4 * time.Second},
		Capacity: cores, Features: feature.Set{Handover: s},
	})
	Expect(err).NotTo(HaveOccurred())
	r.Gateway = g
	DeferCleanup(r.stopAndCheck)
	return r
}

// tolerant returns a configuration whose streaming routes accept pauses of 400 ms.
func tolerant() routing.Spec {
	s := spec(1)
	for i := range s.Routes {
		s.Routes[i].MaxPause = 400 * time.Millisecond
	}
	return s
}

// handoverStats returns a router's counts as operators read them.
func handoverStats(r *rig) handover.Stats {
	w := httptest.NewRecorder()
	r.metrics.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var all struct{ Handover handover.Stats }
	Expect(json.Unmarshal(w.Body.Bytes(), &all)).To(Succeed())
	return all.Handover
}

var _ = Describe("A router that is short of CPU time", func() {
	// pair returns a busy router and one with room, which know each other and the same target.
	pair := func(s feature.Switch, config routing.Spec, handler http.HandlerFunc) (busy, other *rig) {
		other = newBox(manyCores, s)
		busy = newBox(tinyCores, s, other.Self().Peer)
		for _, r := range []*rig{busy, other} {
			r.configure(config)
			r.serve("t", handler)
		}
		return busy, other
	}
	// postUntilHandedOver sends requests until one was handed over, and returns its answer.
	postUntilHandedOver := func(busy *rig, path string) reply {
		var got reply
		Eventually(func() int64 {
			before := handoverStats(busy).Accepted
			got = busy.post(path)
			return handoverStats(busy).Accepted - before
		}).WithTimeout(10 * time.Second).Should(Equal(int64(1)))
		return got
	}

	It("hands connections over to another one, which serves them", func() {
		busy, other := pair(feature.On, tolerant(), streamer(5, 5, time.Millisecond))
		got := postUntilHandedOver(busy, "/stream/x")
		Expect(got).To(And(HaveField("Err", BeNil()), HaveField("Body", fullStream(5))))
		Expect(handoverStats(other).Received).To(BeNumerically(">", 0))
		Expect(handoverStats(other).Sent).To(BeZero())
		Eventually(func() int64 { return handoverStats(busy).Open }).WithTimeout(3 * time.Second).Should(BeZero())
	})

	DescribeTable(
		"serves connections itself", func(s feature.Switch, config routing.Spec) {
			busy, other := pair(s, config, answer)
			for _, r := range []*rig{busy, other} {
				Eventually(func() int { return len(r.Addresses(context.Background(), "z")) }).Should(Equal(2))
			}
			for range 10 {
				busy.post("/many/x")
				time.Sleep(30 * time.Millisecond)
			}
			Expect(handoverStats(busy).Sent).To(BeZero())
			Expect(handoverStats(other).Received).To(BeZero())
		},
		Entry("if routes accept short pauses only", feature.Auto, spec(1)),
		Entry("if the settings leave it to the configuration", feature.Auto, tolerant()),
		Entry("if the settings say so", feature.Off, tolerant()),
	)

	It("waits in a planned stop until answers that it relays are complete", func() {
		// The stream ends after the part of the stop in which every request is accepted.
		const events = 40
		busy, _ := pair(feature.On, spec(1), streamer(events, events, 50*time.Millisecond))
		Expect(postUntilHandedOver(busy, "/stream/x").Body).To(Equal(fullStream(events)))
		got := make(chan reply, 1)
		background(func() { got <- busy.post("/stream/x") })
		Eventually(func() int64 { return handoverStats(busy).Open }).WithPolling(time.Millisecond).Should(BeNumerically(">", 0))
		busy.Drain(context.Background(), 4*time.Second)
		busy.Stop()
		Expect(<-got).To(And(HaveField("Err", BeNil()), HaveField("Body", fullStream(events))))
	})

	// pausing streams events, and after the first one falls silent for 1.2 s on the path of a long stream.
	pausing := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream/short" {
			streamer(3, 3, time.Millisecond)(w, r)
			return
		}
		streamer(3, 3, 1200*time.Millisecond)(w, r)
	}
	DescribeTable(
		"cuts no answer in a planned stop whose engine pauses", func(bothStop bool) {
			const callers = 8
			busy, other := pair(feature.On, spec(1), pausing)
			postUntilHandedOver(busy, "/stream/short")
			got := make(chan reply, 10*callers)
			sent, before := 0, handoverStats(busy).Accepted
			for ; handoverStats(busy).Accepted-before < callers && sent < cap(got); sent++ {
				background(func() { got <- busy.post("/stream/long") })
				time.Sleep(20 * time.Millisecond)
			}
			Eventually(func() int64 { return handoverStats(busy).Open }).Should(BeNumerically(">=", callers))
			stopped := make(chan struct{})
			background(func() {
				defer close(stopped)
				if bothStop {
					other.Drain(context.Background(), 4*time.Second)
				}
			})
			busy.Drain(context.Background(), 4*time.Second)
			<-stopped
			busy.Stop()
			cut := 0
			for range sent {
				if r := <-got; r.Err != nil || r.Body != fullStream(3) {
					cut++
				}
			}
			Expect(cut).To(BeZero(), "of %d answers", sent)
		},
		Entry("at the sender", false),
		Entry("at both routers", true),
	)

	It("cuts no answers in a planned stop on relayed connections that callers keep in use", func() {
		const callers, events = 6, 5
		var began, answered atomic.Int64
		busy, _ := pair(feature.On, spec(1), func(w http.ResponseWriter, r *http.Request) {
			began.Add(1)
			streamer(events, events, 30*time.Millisecond)(w, r)
		})
		postUntilHandedOver(busy, "/stream/x")
		began.Store(0)
		cut, before := make(chan string, callers), handoverStats(busy).Accepted
		for range callers {
			background(func() {
				c, err := net.Dial("tcp", busy.Self().Address)
				if err != nil {
					cut <- err.Error()
					return
				}
				defer c.Close()
				// Without it, a failed check leaves this caller running.
				_ = c.SetDeadline(time.Now().Add(15 * time.Second))
				in := bufio.NewReader(c)
				for {
					if newRequest(busy.Self().Address, "/stream/x").Write(c) != nil {
						break
					}
					res, err := http.ReadResponse(in, nil)
					if err != nil {
						break
					}
					if body, err := io.ReadAll(res.Body); err != nil || string(body) != fullStream(events) {
						cut <- fmt.Sprint(string(body), err)
						return
					}
					answered.Add(1)
					time.Sleep(400 * time.Millisecond)
				}
				cut <- ""
			})
		}
		Eventually(func() int64 { return handoverStats(busy).Accepted - before }).Should(Equal(int64(callers)))
		busy.Drain(context.Background(), 4*time.Second)
		Expect(handoverStats(busy).Open).To(BeZero())
		busy.Stop()
		for range callers {
			Expect(<-cut).To(BeEmpty())
		}
		Expect(answered.Load()).To(Equal(began.Load()), "requests that an engine ran")
	})

	It("does not wait in a planned stop for callers that keep relayed connections without a request", func() {
		busy, _ := pair(feature.On, spec(1), streamer(2, 2, time.Millisecond))
		var c net.Conn
		var in *bufio.Reader
		Eventually(func() int64 {
			before := handoverStats(busy).Accepted
			var err error
			c, err = net.Dial("tcp", busy.Self().Address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = c.Close() })
			Expect(c.SetDeadline(time.Now().Add(15 * time.Second))).To(Succeed())
			Expect(newRequest(busy.Self().Address, "/stream/x").Write(c)).To(Succeed())
			in = bufio.NewReader(c)
			res, err := http.ReadResponse(in, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(res.Body)).To(BeEquivalentTo(fullStream(2)))
			return handoverStats(busy).Accepted - before
		}).WithTimeout(10 * time.Second).Should(Equal(int64(1)))
		closed := make(chan error, 1)
		background(func() {
			_, err := in.ReadByte()
			_ = c.Close()
			closed <- err
		})
		began := time.Now()
		busy.Drain(context.Background(), 6*time.Second)
		Expect(time.Since(began)).To(BeNumerically("<", 4*time.Second))
		Expect(<-closed).To(MatchError(io.EOF))
	})

	It("closes relayed connections that look unused only at the end of a planned stop if the other one does not", func() {
		busy := newBox(tinyCores, feature.On)
		busy.configure(spec(1))
		busy.serve("t", pausing)
		received, err := handover.Listen(context.Background(), "127.0.0.1:0", func() handover.Decline { return "" }, func() {})
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(pausing)}
		background(func() { _ = server.Serve(received) })
		DeferCleanup(server.Close)
		f := newFakeRouter()
		f.self.Capacity, f.self.Handover = manyCores, received.Addr().String()
		f.ping(busy, true)
		// The callers keep their connections.
		transport := &http.Transport{MaxIdleConnsPerHost: 100}
		DeferCleanup(transport.CloseIdleConnections)
		got, sent := make(chan string, 100), 0
		for ; handoverStats(busy).Accepted < 4 && sent < cap(got); sent++ {
			path := []string{"/stream/long", "/stream/short"}[sent%2]
			background(func() {
				res, err := transport.RoundTrip(newRequest(busy.Self().Address, path))
				if err != nil {
					got <- err.Error()
					return
				}
				defer res.Body.Close()
				body, err := io.ReadAll(res.Body)
				got <- fmt.Sprint(string(body), err)
			})
			time.Sleep(50 * time.Millisecond)
		}
		Expect(handoverStats(busy).Accepted).To(BeNumerically(">=", 4))
		busy.Drain(context.Background(), 5*time.Second)
		Expect(handoverStats(busy).Open).To(BeZero())
		busy.Stop()
		for range sent {
			Expect(<-got).To(Equal(fullStream(3) + "<nil>"))
		}
	})

	It("cuts answers off when the other one ends, and does not repeat requests", func() {
		started := make(chan struct{}, 100)
		busy, other := pair(feature.On, spec(1), func(w http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			streamer(200, 200, 10*time.Millisecond)(w, r)
		})
		got := make(chan reply, 1)
		sent := 0
		Eventually(func() int64 {
			before := handoverStats(busy).Accepted
			background(func() { got <- busy.post("/single/x") })
			sent++
			time.Sleep(300 * time.Millisecond)
			if n := handoverStats(busy).Accepted - before; n > 0 {
				return n
			}
			<-got
			return 0
		}).WithTimeout(20 * time.Second).Should(Equal(int64(1)))
		Eventually(started).WithTimeout(5 * time.Second).Should(HaveLen(sent))
		began := len(started)
		other.Stop()
		Expect(<-got).To(HaveField("Err", Not(BeNil())))
		Expect(started).To(HaveLen(began))
	})
})
