package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/ingress"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/suspicion"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

var headerNames = forward.HeaderNames{RequestID: "X-Id", Deadline: "X-Wait-Ms", Organisation: "X-Organisation"}

// unreachableSender is a sender that cannot reach any target.
type unreachableSender struct{}

func (unreachableSender) Send(context.Context, string, httptarget.Request) (*httptarget.Answer, error) {
	return nil, errors.Wrap(httptarget.ErrNotSent, "test")
}

func (unreachableSender) ProcessExited(context.Context, string, string) (refusedAt time.Time, exited bool) {
	return time.Time{}, false
}

func (unreachableSender) CheckUnused(string, string) (open, ended bool) { return false, false }

// noSuspects is a suspicion.Suspects that suspects no request.
type noSuspects struct{ suspicion.Suspects }

func (noSuspects) RecordEnd([]quarantine.Credit)                    {}
func (noSuspects) View() *quarantine.View                           { return nil }
func (noSuspects) RecordExit(balance.Target, time.Time)             {}
func (noSuspects) RecordBreak(context.Context, suspicion.Break) int { return 0 }

// ignoringObserver is an Observer and a forward.Counters that ignores all calls.
type ignoringObserver struct{}

func (ignoringObserver) RequestEnded(forward.Request, forward.Result, time.Duration) {}
func (ignoringObserver) CountRetry(forward.Reason)                                   {}
func (ignoringObserver) CountContinuation(forward.Continuation)                      {}
func (ignoringObserver) CountJoin(forward.Join)                                      {}
func (ignoringObserver) CountAborted(forward.Reason, bool)                           {}
func (ignoringObserver) CountSecond(forward.SecondResult)                            {}
func (ignoringObserver) CountAdvice(forward.Advice)                                  {}

// maxConnections is the maximum number of connections of newServer's server.
const maxConnections = 3

// queuedRequests is a number of requests above the maximum queue length of an organisation.
const queuedRequests = 30

// newServer starts a server for callers of two organisations and returns its address: "loud",
// which has a full queue of requests to engines, and "calm".
func newServer(g *group.Group) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	serve(g, l)
	return l.Addr().String()
}

// serve starts the server of newServer on l.
func serve(g *group.Group, l net.Listener) { serveObserved(g, l, ignoringObserver{}) }

// serveObserved is serve with an observer, and with functions that are called before the server is
// in use.
func serveObserved(g *group.Group, l net.Listener, o ingress.Observer, prepare ...func(*ingress.Server)) {
	limits := balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second, QuotaWindow: time.Second}
	loop := balance.NewLoop(balance.New(time.Now(), "z", limits, rand.New(rand.NewPCG(1, 1))))
	g.GoContext(loop.Run)
	table, err := routing.New(routing.Spec{
		Routes: []routing.Route{
			{Name: "engine", Host: "h", Prefix: "/engine/", Shares: []routing.Share{{Service: "llm", Weight: 1}}},
			{Name: "plain", Host: "h", Prefix: "/plain/", Shares: []routing.Share{{Service: "desk", Weight: 1}}},
			{Name: "slow", Host: "h", Prefix: "/slow/", Goal: 50 * time.Millisecond, Shares: []routing.Share{{Service: "desk", Weight: 1}}},
		},
		Services:      []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4}}, {Name: "desk"}},
		Organisations: []routing.Organisation{{Name: "loud", Keys: []string{"k1"}}, {Name: "calm", Keys: []string{"k2"}}},
	})
	if err != nil {
		panic(err)
	}
	loop.Post(func(s *balance.State, now time.Time) {
		s.Configure(table)
		for i := range queuedRequests {
			s.Arrive(now, &balance.Ticket{
				ID: fmt.Sprint(i), Service: "llm", Organisation: "loud", Engine: true, Input: 1, Goal: time.Hour,
				Arrived: now, Deadline: now.Add(time.Hour), Decision: make(chan balance.Decision, 1),
			})
		}
	})
	for loop.Check("loud", throttle.RequestSize{}) == "" {
		time.Sleep(time.Millisecond)
	}
	f := forward.New(headerNames, unreachableSender{}, loop, noSuspects{}, logr.Discard(), ignoringObserver{})
	s := ingress.New(headerNames, f, o, ingress.Limits{Requests: 1000, Connections: maxConnections}, memory.New(1<<30), lifecycle.New(time.Second, logr.Discard()), logr.Discard())
	s.Configure(table)
	for _, f := range prepare {
		f(s)
	}
	g.Go(func() { _ = s.Serve(l) })
	g.GoContext(func(ctx context.Context) {
		<-ctx.Done()
		closeAndCheck(s)
	})
}

// closeAndCheck closes a server and checks the account of its requests.
func closeAndCheck(s *ingress.Server) {
	_ = s.Close()
	if err := s.CheckAccount(); err != nil {
		panic(err)
	}
}

// head returns a request's head; more holds further header lines.
func head(path, key, id string, length int, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Wait-Ms: 2000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n",
		path, id, key, length, more)
}

var _ = Describe("An organisation with a full queue", func() {
	var c net.Conn
	var answers *bufio.Reader

	BeforeEach(func() {
		g := group.New(context.Background())
		DeferCleanup(g.Stop)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		var server *ingress.Server
		serveObserved(g, l, ignoringObserver{}, func(s *ingress.Server) { server = s })
		c, err = net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		// The listener itself refuses a request that has arrived whole by then, and closes its connection.
		accepted := 0
		Eventually(func() int {
			accepted += server.TakeArrivalStats().Accepted
			return accepted
		}).WithTimeout(5 * time.Second).Should(Equal(1))
		answers = bufio.NewReader(c)
	})

	// ask writes the pieces one by one and returns the answer, with its body as Status.
	ask := func(pieces ...string) *http.Response {
		for i, p := range pieces {
			if i > 0 {
				time.Sleep(5 * time.Millisecond)
			}
			_, err := c.Write([]byte(p))
			Expect(err).NotTo(HaveOccurred())
		}
		res, err := http.ReadResponse(answers, nil)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		text := make([]byte, 64)
		n, _ := res.Body.Read(text)
		res.Status = strings.TrimSpace(string(text[:n]))
		return res
	}

	It("is refused after its body is read, so that the connection can be reused", func() {
		body := strings.Repeat("x", 20_000)
		for i := range 3 {
			id := fmt.Sprint("r", i)
			res := ask(head("/engine/a?b", "k1", id, len(body), ""), body)
			Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(res.Status).To(Equal(string(forward.ReasonOrganisationQueueFull)))
			Expect(res.Header.Get("X-Id")).To(Equal(id))
			Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(res.Close).To(BeFalse())
		}
		res := ask(head("/plain/a", "k1", "p", 3, ""), "abc")
		Expect(res.Status).To(Equal(string(balance.NoTarget)))
		res = ask(head("/engine/a", "k1", "q", 3, "")+"ab", "c")
		Expect(res.Status).To(Equal(string(forward.ReasonOrganisationQueueFull)))
	})

	DescribeTable(
		"does not affect other requests",
		func(request, status string) {
			Expect(ask(request).Status).To(Equal(status))
			Expect(ask(head("/engine/a", "k1", "q", 3, "") + "abc").Status).To(Equal(string(forward.ReasonOrganisationQueueFull)))
		},
		Entry("another organisation", head("/engine/a", "k2", "r", 1, "")+"x", string(balance.NoTarget)),
		Entry("another service", head("/plain/a", "k1", "r", 1, "")+"x", string(balance.NoTarget)),
		Entry("an unknown key", head("/engine/a", "k3", "r", 1, "")+"x", string(refusal.Unauthorized)),
		Entry("an unknown route", head("/nowhere/", "k1", "r", 1, "")+"x", string(refusal.NoRoute)),
		Entry("a request without a body", head("/plain/a", "k1", "r", 0, ""), string(balance.NoTarget)),
	)

	It("is refused if its request has an unusual form", func() {
		res := ask("POST /engine/a HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nAuthorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		Expect(res.Status).To(Equal(string(forward.ReasonOrganisationQueueFull)))
	})

	It("is refused when the head comes in pieces", func() {
		h := head("/engine/a", "k1", "r", 3, "")
		Expect(ask(h[:30], h[30:], "abc").Status).To(Equal(string(forward.ReasonOrganisationQueueFull)))
	})

	It("cannot smuggle a request with a second Content-Length", func() {
		two := head("/engine/a", "k1", "r", 3, "Content-Length: 0\r\n") + "abc"
		Expect(ask(two).StatusCode).To(Equal(http.StatusBadRequest))
	})
})

// TestHeadIsReadAsServerReadsIt guards against refusals with lines or ids that the HTTP server would not see in a request.
func TestHeadIsReadAsServerReadsIt(t *testing.T) {
	g := group.New(t.Context())
	defer g.Stop()
	address := newServer(g)
	for name, c := range map[string]struct{ header, id string }{
		"a bare line feed in the id":        {"X-Id: 1\nX-Text: 2\r\n", "1"},
		"a bare line feed in another value": {"X-Text: 1\nX-Id: 2\r\nX-Id: 3\r\n", "2"},
		"a bare return":                     {"X-Id: 1\rX-Text: 2\r\n", ""},
		"a control character":               {"X-Id: 1\x00\r\n", ""},
		"a second id after an empty one":    {"X-Id:\r\nX-Id: 2\r\n", ""},
		"space that is no blank":            {"X-Id: 1\u00a0\r\n", "1\u00a0"},
		"blanks":                            {"X-Id: \t1 \t\r\n", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST /engine/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\nContent-Length: 1\r\n%s\r\nx", c.header)
			if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			if res.Header.Get("X-Id") != c.id || res.Header.Get("X-Text") != "" {
				t.Errorf("%s, header %q, want id %q", res.Status, res.Header, c.id)
			}
		})
	}
}

func BenchmarkRefuseCrowded(b *testing.B) {
	g := group.New(context.Background())
	defer g.Stop()
	address := newServer(g)
	request := []byte(head("/engine/a", "k1", "r", 9000, "") + strings.Repeat("x", 9000))
	answer := make([]byte, 4096)
	for b.Loop() {
		c, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		if n, err := c.Read(answer); err != nil || !strings.Contains(string(answer[:n]), " 503 ") {
			b.Fatal(string(answer[:n]), err)
		}
		_ = c.Close()
	}
}
