package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// notRun returns a handler of a target that rejects requests without running them or naming their id.
func notRun(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del(headerNames.RequestID)
		w.Header().Set(headerNames.NotRun, "1")
		w.WriteHeader(status)
	}
}

// waitDisconnected waits until a request's caller has disconnected, which the server detects only
// after the body has been read.
func waitDisconnected(q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err == nil {
		<-q.Context().Done()
	}
}

// countCalls returns a handler that calls h and counts the calls in n.
func countCalls(n *atomic.Int64, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		h(w, r)
	}
}

var _ = Describe("A request", func() {
	var r *rig

	BeforeEach(func() { r = newRig() })

	It("is rejected as not run before there is a configuration", func() {
		got := r.post("/many/x")
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("names the engine that caches its prompt's prefixes to another engine, ignoring the caller's header", func() {
		c := spec(1)
		c.Services[0].Engine = &routing.Engine{Slots: 4, CacheTokens: 230_000}
		r.configure(c)
		type received struct{ target, source string }
		seen := make(chan received, 3)
		release := make(chan struct{})
		addresses := map[string]string{}
		for _, id := range []string{"a", "b"} {
			addresses[id] = r.serve(id, func(w http.ResponseWriter, q *http.Request) {
				seen <- received{id, q.Header.Get(headerNames.FetchFrom)}
				<-release
				answer(w, q)
			})
		}
		defer close(release)
		send := func() received {
			q := newRequest(r.Self().Address, "/many/x")
			q.Header.Set(headerNames.PromptSize, "6100,10")
			q.Header.Set(headerNames.PromptParts, "shared:6000,own:100")
			q.Header.Set(headerNames.FetchFrom, "192.0.2.1:1")
			background(func() { do(q) })
			var t received
			Eventually(seen).Should(Receive(&t))
			return t
		}
		// The router leaves two of the four slots free, so that the third request goes to the
		// other engine.
		first := send()
		Expect(first.source).To(BeEmpty())
		Expect(send()).To(Equal(first))
		third := send()
		Expect(third.target).NotTo(Equal(first.target))
		Expect(third.source).To(Equal(addresses[first.target]))
	})

	It("reaches its target as the caller sent it, except for hop-by-hop and reserved headers", func() {
		r.configure(spec(1))
		var seen *http.Request
		var body string
		r.serve("t", func(w http.ResponseWriter, q *http.Request) {
			b, err := io.ReadAll(q.Body)
			if err == nil {
				seen, body = q, string(b)
			}
			answer(w, q)
		})
		req := newRequest(r.Self().Address, "/many/a%2Fb//c/../d;e?f=%20&g")
		req.Header.Set("X-Other", "kept")
		req.Header.Set("Connection", "X-Hop")
		req.Header.Set("X-Hop", "dropped")
		req.Header.Set(headerNames.Organisation, "somebody-else")
		got := do(req)
		Expect(got.Status).To(Equal(http.StatusOK))
		Expect(got.Body).To(Equal("answer"))
		Expect(got.Header.Get(headerSeal)).To(Equal("seal"))
		Expect(seen.RequestURI).To(Equal("/many/a%2Fb//c/../d;e?f=%20&g"))
		Expect(seen.Host).To(Equal("h"))
		Expect(body).To(Equal("question"))
		Expect(seen.Header.Get("X-Other")).To(Equal("kept"))
		Expect(seen.Header).NotTo(HaveKey("X-Hop"))
		Expect(seen.Header).NotTo(HaveKey("Authorization"))
		Expect(seen.Header.Values(headerNames.Organisation)).To(Equal([]string{"o"}))
		Expect(seen.Header.Get(headerNames.ExpectTarget)).To(Equal("t"))
		Expect(seen.Header.Get(headerNames.RequestID)).To(Equal(req.Header.Get(headerNames.RequestID)))
		left, err := strconv.Atoi(seen.Header.Get(headerNames.Deadline))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 2000), BeNumerically("<=", 4000)))
	})

	It("is forwarded without the caller's values of headers that only routers may set", func() {
		r.configure(spec(1))
		var seen http.Header
		r.serve("t", func(w http.ResponseWriter, q *http.Request) {
			seen = q.Header
			answer(w, q)
		})
		req := newRequest(r.Self().Address, "/many/x")
		for _, name := range headerNames.Reserved {
			req.Header.Set(name, "callers-own")
		}
		Expect(do(req).Status).To(Equal(http.StatusOK))
		for _, name := range headerNames.Reserved {
			Expect(seen.Values(name)).NotTo(ContainElement("callers-own"), name)
			Expect(len(seen.Values(name))).To(BeNumerically("<=", 1), name)
		}
	})

	DescribeTable(
		"gets an error from the router itself if it is invalid", func(change func(*http.Request), status int) {
			r.configure(spec(1))
			r.serve("t", answer)
			req := newRequest(r.Self().Address, "/many/x")
			change(req)
			Expect(do(req).Status).To(Equal(status))
		},
		Entry("no route", func(q *http.Request) { q.URL.Path = "/none/x" }, http.StatusNotFound),
		Entry("another host", func(q *http.Request) { q.Host = "other" }, http.StatusNotFound),
		Entry("no key", func(q *http.Request) { q.Header.Del("Authorization") }, http.StatusUnauthorized),
		Entry("unknown key", func(q *http.Request) { q.Header.Set("Authorization", "Bearer x") }, http.StatusUnauthorized),
		Entry("no id", func(q *http.Request) { q.Header.Del(headerNames.RequestID) }, http.StatusBadRequest),
		Entry("invalid deadline", func(q *http.Request) { q.Header.Set(headerNames.Deadline, "soon") }, http.StatusBadRequest),
	)

	It("is rejected if its body exceeds the limit, with a Content-Length or chunked", func() {
		c := spec(1)
		c.Limits.BodyBytes = 10
		r.configure(c)
		r.serve("t", answer)
		for _, length := range []int64{11, -1} {
			req := newRequest(r.Self().Address, "/many/x")
			req.Body = io.NopCloser(strings.NewReader("eleven byte"))
			req.ContentLength = length
			Expect(do(req).Status).To(Equal(http.StatusRequestEntityTooLarge))
		}
	})

	It("goes to another target when one rejects it", func() {
		r.configure(spec(1))
		for i, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests} {
			r.serve(fmt.Sprint("no", i), notRun(status))
		}
		r.serve("yes", answer)
		ok := 0
		for range 20 {
			if r.post("/once/x").Status == http.StatusOK {
				ok++
			}
		}
		Expect(ok).To(BeNumerically(">", 0))
	})

	It("is rejected as not run when all targets reject it", func() {
		r.configure(spec(1))
		r.serve("no", notRun(http.StatusServiceUnavailable))
		got := r.post("/once/x")
		Expect(got.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(got.Header).NotTo(HaveKey(headerSeal))
	})

	It("that must not be repeated is sent once, and gets an error if its response is lost", func() {
		r.configure(spec(1))
		var runs atomic.Int64
		lose := countCalls(&runs, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		r.serve("a", lose)
		r.serve("b", lose)
		Expect(r.post("/once/x").Status).To(Equal(http.StatusBadGateway))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("that may be repeated is retried when its response is lost", func() {
		r.configure(spec(1))
		r.serve("bad", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		r.serve("good", answer)
		for range 5 {
			Expect(r.post("/many/x").Status).To(Equal(http.StatusOK))
		}
	})

	It("gets a target's error response unchanged", func() {
		r.configure(spec(1))
		r.serve("t", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerSeal, "seal")
			w.WriteHeader(http.StatusInternalServerError)
			fmt.Fprint(w, "broken")
		})
		Expect(r.post("/once/x")).To(And(
			HaveField("Status", http.StatusInternalServerError), HaveField("Body", "broken"),
			HaveField("Header", HaveKey(headerSeal)),
		))
	})

	It("gets a timeout error when its route's timeout has passed", func() {
		c := spec(1)
		for i := range c.Routes {
			c.Routes[i].Timeout = 200 * time.Millisecond
		}
		r.configure(c)
		r.serve("t", func(_ http.ResponseWriter, q *http.Request) { waitDisconnected(q) })
		Expect(r.post("/once/x").Status).To(Equal(http.StatusGatewayTimeout))
	})

	It("is cancelled at its target when its caller disconnects", func() {
		r.configure(spec(1))
		started, gone := make(chan bool, 1), make(chan bool, 1)
		r.serve("t", func(_ http.ResponseWriter, q *http.Request) {
			_, err := io.ReadAll(q.Body)
			started <- err == nil
			<-q.Context().Done()
			gone <- true
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan reply, 1)
		background(func() { ended <- do(newRequest(r.Self().Address, "/many/x").WithContext(ctx)) })
		Eventually(started).Should(Receive())
		cancel()
		Eventually(gone).Should(Receive())
		Expect((<-ended).Err).To(HaveOccurred())
	})

	It("goes to another target when one cannot be reached", func() {
		r.configure(spec(1))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		dead := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		r.add("dead", dead)
		r.serve("good", answer)
		for range 5 {
			Expect(r.post("/once/x").Status).To(Equal(http.StatusOK))
		}
	})

	It("goes to services by weight, and always to the same one for the same id", func() {
		c := spec(1)
		c.Routes[0].Shares = []routing.Share{{Service: "s", Weight: 3}, {Service: "other", Weight: 1}}
		counts := map[string]int{}
		for i := range 1000 {
			id := fmt.Sprint("id", i)
			name := c.Routes[0].Service(id)
			Expect(c.Routes[0].Service(id)).To(Equal(name))
			counts[name]++
		}
		Expect(counts["other"]).To(BeNumerically("~", 250, 60))
	})
})

var _ = Describe("A stream", func() {
	var r *rig

	BeforeEach(func() {
		r = newRig()
		r.configure(spec(1))
	})

	It("is resumed at another engine without lost or duplicated events", func() {
		r.serve("breaks", streamer(10, 4, 0))
		r.serve("whole", streamer(10, 10, 0))
		for range 6 {
			Expect(r.post("/stream/x")).To(And(HaveField("Body", fullStream(10)), HaveField("Err", BeNil())))
		}
	})

	It("that cannot be resumed is cut off after the last complete event", func() {
		r.serve("breaks", streamer(10, 4, 0))
		r.serve("too", streamer(10, 4, 0))
		got := r.post("/single/x")
		Expect(got.Err).To(HaveOccurred())
		Expect(got.Body).To(Equal(fullStream(4)))
	})

	It("is resumed at another engine when its engine sends nothing for too long", func() {
		r.serve("silent", func(w http.ResponseWriter, q *http.Request) {
			// The body is read first, since the server closes it when the response begins.
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			fmt.Fprint(w, "id: 1\ndata: e1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-q.Context().Done()
		})
		r.serve("whole", streamer(5, 5, 0))
		for range 3 {
			Expect(r.post("/stream/x")).To(And(HaveField("Body", fullStream(5)), HaveField("Err", BeNil())))
		}
	})

	It("is not cut off for a long pause if it could not be resumed elsewhere", func() {
		r := newRigWith(balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second})
		r.configure(spec(1))
		slow := func(w http.ResponseWriter, q *http.Request) {
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			time.Sleep(900 * time.Millisecond)
			streamer(3, 3, 0)(w, q)
		}
		r.serve("a", slow)
		r.serve("b", slow)
		Expect(r.post("/stream/x")).To(And(HaveField("Body", fullStream(3)), HaveField("Err", BeNil())))
	})

	It("forwards events as they come", func() {
		next := make(chan bool)
		r.serve("t", func(w http.ResponseWriter, _ *http.Request) {
			for i := range 3 {
				fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
				_ = http.NewResponseController(w).Flush()
				<-next
			}
		})
		res, err := (&http.Transport{}).RoundTrip(newRequest(r.Self().Address, "/stream/x"))
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		buffer := make([]byte, 100)
		for i := range 3 {
			n, err := res.Body.Read(buffer)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(buffer[:n])).To(Equal(fmt.Sprintf("id: %d\ndata: x\n\n", i+1)))
			next <- true
		}
	})
})
