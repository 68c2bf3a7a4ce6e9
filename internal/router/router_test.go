package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/adapter/httpcaller"
	"github.com/stepcroft/stepcroft/internal/adapter/platform"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/request"
	"github.com/stepcroft/stepcroft/internal/router"
	"github.com/stepcroft/stepcroft/internal/standin"
)

func TestRouter(t *testing.T) {
	invariant.Strict()
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

const loopback = "127.0.0.1:0"

// site is a fleet of two routers with one engine and one service.
type site struct {
	platform *standin.Platform
	engine   *standin.Engine
	service  *standin.Service
	routers  []*router.Router
	clients  []*platform.Client
	client   *http.Client
}

func newSite() *site {
	s := &site{client: &http.Client{
		Transport:     &http.Transport{},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	var err error
	s.platform, err = standin.NewPlatform(loopback)
	Expect(err).NotTo(HaveOccurred())
	s.engine, err = standin.NewEngine(standin.EngineOptions{Address: loopback, Slots: 2, TokenTime: time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	s.service, err = standin.NewService(loopback, nil)
	Expect(err).NotTo(HaveOccurred())
	s.seed(config.KindPool, "chat", config.Pool{Name: "chat", Policy: "share"})
	s.seed(config.KindOrganisation, "water", config.Organisation{Name: "water", Keys: []string{config.HashKey("k1")}})
	s.seed(config.KindOrganisation, "trams", config.Organisation{
		Name: "trams", Keys: []string{config.HashKey("k2")}, Limits: config.Limits{Queue: 1, Rate: 1000},
	})
	s.seed(config.KindBox, "e1", config.Box{
		Name: "e1", Role: config.RoleEngine, Address: s.engine.Address(), Pool: "chat", Slots: 2,
	})
	s.seed(config.KindBox, "v1", config.Box{
		Name: "v1", Role: config.RoleService, Address: s.service.Address(), Pool: "pay",
	})
	for i := range 2 {
		s.start(fmt.Sprintf("r%d", i+1))
	}
	for _, r := range s.routers {
		Eventually(func() int { return r.Status().Routers }, "10s").Should(Equal(2))
	}
	return s
}

func (s *site) seed(kind, name string, spec any) {
	Expect(s.platform.Seed(kind, name, spec)).To(Succeed())
}

func (s *site) start(id string) *router.Router {
	client := platform.New(s.platform.Address())
	r, err := router.New(router.Options{
		ID: id, Listen: loopback, PeerListen: loopback, Platform: client, Seed: 1, Log: logr.Discard(),
		ReportPeriod: 100 * time.Millisecond, RouterTimeout: time.Second,
	})
	Expect(err).NotTo(HaveOccurred())
	s.seed(config.KindBox, id, config.Box{
		Name: id, Role: config.RoleRouter, Address: r.Address(), Peer: r.Self().Peer,
	})
	s.routers = append(s.routers, r)
	s.clients = append(s.clients, client)
	return r
}

func (s *site) stop() {
	s.client.CloseIdleConnections()
	for i, r := range s.routers {
		r.Stop()
		s.clients[i].Stop()
	}
	s.engine.Stop()
	s.service.Stop()
	s.platform.Stop()
}

// answer is an answer as a caller receives it.
type answer struct {
	status  int
	header  http.Header
	body    string
	outcome request.Outcome
	reason  request.Reason
}

func (s *site) do(r *router.Router, method, path, body string, header ...string) answer {
	req, err := http.NewRequest(method, "http://"+r.Address()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer k1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := s.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	return answer{
		status: res.StatusCode, header: res.Header, body: string(data),
		outcome: request.Outcome(res.Header.Get(httpcaller.HeaderOutcome)),
		reason:  request.Reason(res.Header.Get(httpcaller.HeaderReason)),
	}
}

func chat(tag string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"chat","stream":%t,"messages":[{"content":%q}]}`, stream, standin.Prompt(tag, 1, tokens))
}

type badRequest struct {
	method, path, body string
	header             []string
	reason             request.Reason
	detail             string
}

var badRequestCases = map[string]badRequest{
	"no JSON":          {"POST", "/v1/chat/completions", "{", nil, request.ReasonBadRequest, "not the JSON"},
	"no model":         {"POST", "/v1/chat/completions", "{}", nil, request.ReasonBadRequest, "field model"},
	"no messages":      {"POST", "/v1/chat/completions", `{"model":"chat"}`, nil, request.ReasonBadRequest, "field messages"},
	"unknown model":    {"POST", "/v1/chat/completions", `{"model":"x","messages":[{}]}`, nil, request.ReasonUnknownModel, "field model"},
	"unknown key":      {"POST", "/v1/chat/completions", "", []string{"Authorization", "Bearer x"}, request.ReasonUnknownKey, "API key"},
	"no key":           {"POST", "/v1/chat/completions", "", []string{"Authorization", ""}, request.ReasonUnknownKey, "Authorization"},
	"bad deadline":     {"POST", "/v1/chat/completions", chat("a", 1, false), []string{httpcaller.HeaderDeadline, "-1s"}, request.ReasonBadRequest, httpcaller.HeaderDeadline},
	"bad priority":     {"POST", "/v1/chat/completions", chat("a", 1, false), []string{httpcaller.HeaderPriority, "11"}, request.ReasonBadRequest, httpcaller.HeaderPriority},
	"bad hint":         {"POST", "/v1/chat/completions", chat("a", 1, false), []string{httpcaller.HeaderCostHint, "NaN"}, request.ReasonBadRequest, httpcaller.HeaderCostHint},
	"bad repeatable":   {"POST", "/v1/chat/completions", chat("a", 1, false), []string{httpcaller.HeaderRepeatable, "maybe"}, request.ReasonBadRequest, httpcaller.HeaderRepeatable},
	"bad id":           {"POST", "/v1/chat/completions", chat("a", 1, false), []string{httpcaller.HeaderRequestID, "x"}, request.ReasonBadRequest, httpcaller.HeaderRequestID},
	"id never given":   {"POST", "/v1/services/pay/x", "", []string{httpcaller.HeaderRequestID, "r1.1.1"}, request.ReasonIncarnationGone, "gone"},
	"too large":        {"POST", "/v1/chat/completions", strings.Repeat("x", 2<<20), nil, request.ReasonBodyTooLarge, "1048576"},
	"unknown service":  {"POST", "/v1/services/x/y", "", nil, request.ReasonUnknownService, "no instance"},
	"unknown path":     {"GET", "/nowhere", "", nil, request.ReasonUnknownPath, "/nowhere"},
	"unknown request":  {"GET", "/v1/requests/r9.1.1", "", nil, request.ReasonIncarnationGone, "gone"},
	"not a request id": {"GET", "/v1/requests/zzz", "", nil, request.ReasonBadRequest, "not a request id"},
}

var _ = Describe("Router", Ordered, func() {
	var s *site

	BeforeAll(func() { s = newSite() })
	AfterAll(func() { s.stop() })

	It("serves whole and streamed answers through either router", func() {
		for i, r := range s.routers {
			tag := fmt.Sprintf("t%d", i)
			whole := s.do(r, "POST", "/v1/chat/completions", chat(tag, 3, false))
			Expect(whole.status).To(Equal(200), whole.body)
			Expect(whole.outcome).To(Equal(request.Completed))
			Expect(whole.body).To(ContainSubstring(standin.Token(tag, 0) + standin.Token(tag, 1) + standin.Token(tag, 2)))
			streamed := s.do(r, "POST", "/v1/chat/completions", chat(tag, 3, true))
			Expect(strings.Count(streamed.body, tag+":")).To(Equal(3))
			Expect(streamed.body).To(HaveSuffix("data: [DONE]\n\n"))
		}
	})

	for name, c := range badRequestCases {
		It("refuses with a reason, a detail and whether the request ran: "+name, func() {
			a := s.do(s.routers[0], c.method, c.path, c.body, c.header...)
			Expect(a.reason).To(Equal(c.reason), a.body)
			Expect(a.status).To(Equal(c.reason.Status()))
			Expect(a.body).To(ContainSubstring(c.detail))
			if c.reason == request.ReasonIncarnationGone {
				Expect(a.outcome).To(Equal(request.Unknown))
			} else {
				Expect(a.outcome).To(Equal(request.NotRun))
			}
		})
	}

	It("lists the addresses of the routers", func() {
		a := s.do(s.routers[0], "GET", "/v1/addresses", "")
		var got httpcaller.Addresses
		Expect(json.Unmarshal([]byte(a.body), &got)).To(Succeed())
		Expect(got.Addresses).To(HaveLen(2))
		Expect(got.LifetimeSeconds).To(Equal(10))
	})

	It("runs a call with a reserved id once and repeats its answer, through any router", func() {
		reserved := s.do(s.routers[0], "POST", "/v1/requests", "")
		var status struct{ ID string }
		Expect(json.Unmarshal([]byte(reserved.body), &status)).To(Succeed())
		first := s.do(s.routers[0], "POST", "/v1/services/pay/x", "five soles", httpcaller.HeaderRequestID, status.ID)
		Expect(first.body).To(Equal("five soles"))
		Expect(first.header.Get("X-Method")).To(Equal("POST"))
		again := s.do(s.routers[0], "POST", "/v1/services/pay/x", "six soles", httpcaller.HeaderRequestID, status.ID)
		Expect(again.body).To(Equal("five soles"))
		elsewhere := s.do(s.routers[1], "POST", "/v1/services/pay/x", "six soles", httpcaller.HeaderRequestID, status.ID)
		Expect(elsewhere.status).To(Equal(307))
		Expect(elsewhere.header.Get("Location")).To(Equal("http://" + s.routers[0].Address() + "/v1/services/pay/x"))
		other := s.do(s.routers[0], "GET", "/v1/requests/"+status.ID, "", "Authorization", "Bearer k2")
		Expect(other.reason).To(Equal(request.ReasonUnknownRequest))
	})

	It("does not retry a call whose answer was lost if it may not be repeated", func() {
		s.service.SetFaults(standin.Faults{LoseAnswers: true})
		defer s.service.SetFaults(standin.Faults{})
		a := s.do(s.routers[0], "POST", "/v1/services/pay/x", "lost")
		Expect(a.outcome).To(Equal(request.Unknown))
		Expect(a.reason).To(Equal(request.ReasonTargetFailed))
	})

	It("reports not-run for a request that a target refused", func() {
		s.service.SetFaults(standin.Faults{Refuse: true})
		defer s.service.SetFaults(standin.Faults{})
		a := s.do(s.routers[0], "POST", "/v1/services/pay/x", "refused")
		Expect(a.outcome).To(Equal(request.NotRun))
	})

	It("resumes a broken answer on an engine that can, even if the request may not be repeated", func() {
		s.engine.SetFaults(standin.Faults{BreakAfterTokens: 3})
		defer s.engine.SetFaults(standin.Faults{})
		for _, stream := range []bool{true, false} {
			a := s.do(s.routers[0], "POST", "/v1/chat/completions", chat("r", 8, stream), httpcaller.HeaderRepeatable, "false")
			Expect(a.status).To(Equal(200), a.body)
			for i := range 8 {
				Expect(strings.Count(a.body, strings.TrimSpace(standin.Token("r", i)))).To(Equal(1), a.body)
			}
		}
	})

	It("restarts an answer that is not streamed when it retries the request", func() {
		s.engine.SetFaults(standin.Faults{BreakAfterTokens: 3, ForgetBroken: true})
		answered := make(chan answer, 1)
		g := group.New(context.Background())
		g.Go(func() {
			defer GinkgoRecover()
			answered <- s.do(s.routers[0], "POST", "/v1/chat/completions", chat("w", 8, false))
		})
		Eventually(func() int64 {
			retried := int64(0)
			s.routers[0].Metrics().EachRetry(func(r request.Reason, n int64) {
				if r == request.RetryBroken {
					retried = n
				}
			})
			return retried
		}, "10s").Should(BeNumerically(">", 0))
		s.engine.SetFaults(standin.Faults{})
		var a answer
		Eventually(answered, "20s").Should(Receive(&a))
		g.Wait()
		Expect(a.outcome).To(Equal(request.Completed), a.body)
		Expect(strings.Count(a.body, strings.TrimSpace(standin.Token("w", 0)))).To(Equal(1), a.body)
	})

	It("ends a broken stream so that no client takes it for complete", func() {
		s.engine.SetFaults(standin.Faults{BreakAfterTokens: 2, ForgetBroken: true})
		defer s.engine.SetFaults(standin.Faults{})
		a := s.do(s.routers[0], "POST", "/v1/chat/completions", chat("b", 9, true))
		Expect(a.body).NotTo(ContainSubstring("[DONE]"))
		Expect(a.body).To(ContainSubstring(`"outcome":"unknown"`))
		whole := s.do(s.routers[0], "POST", "/v1/chat/completions", chat("b", 9, false), httpcaller.HeaderRepeatable, "false")
		Expect(whole.outcome).To(Equal(request.Unknown))
		Expect(whole.status).To(Equal(502))
	})

	It("drops requests that wait beyond their deadline, and reports not-run", func() {
		g := group.New(context.Background())
		for range 2 {
			g.Go(func() {
				defer GinkgoRecover()
				s.do(s.routers[0], "POST", "/v1/chat/completions", chat("long", 1000, false))
			})
		}
		Eventually(func() int { return s.routers[0].Status().Running }, "5s").Should(Equal(2))
		a := s.do(s.routers[0], "POST", "/v1/chat/completions", chat("late", 1, false), httpcaller.HeaderDeadline, "50ms")
		Expect(a.reason).To(Equal(request.ReasonDeadline))
		Expect(a.outcome).To(Equal(request.NotRun))
		queued := make(chan answer, 3)
		for range 3 {
			g.Go(func() {
				defer GinkgoRecover()
				queued <- s.do(s.routers[0], "POST", "/v1/chat/completions", chat("q", 1, false), "Authorization", "Bearer k2")
			})
		}
		full := 0
		for range 3 {
			if a := <-queued; a.reason == request.ReasonQueueFull {
				full++
				Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		}
		Expect(full).To(Equal(2))
		g.Wait()
	})

	It("frees the slot of a caller that disconnects, and of one that cancels by id", func() {
		conn, err := net.Dial("tcp", s.routers[0].Address())
		Expect(err).NotTo(HaveOccurred())
		body := chat("gone", 100000, true)
		fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		Eventually(func() int { return s.routers[0].Status().Running }, "5s").Should(Equal(1))
		conn.Close()
		Eventually(func() int { return s.routers[0].Status().Running }, "5s").Should(BeZero())

		reserved := s.do(s.routers[0], "POST", "/v1/requests", "")
		var status struct{ ID string }
		Expect(json.Unmarshal([]byte(reserved.body), &status)).To(Succeed())
		ended := make(chan answer, 1)
		g := group.New(context.Background())
		g.Go(func() {
			defer GinkgoRecover()
			ended <- s.do(s.routers[0], "POST", "/v1/chat/completions", chat("c", 100000, false), httpcaller.HeaderRequestID, status.ID)
		})
		Eventually(func() int { return s.routers[0].Status().Running }, "5s").Should(Equal(1))
		s.do(s.routers[0], "DELETE", "/v1/requests/"+status.ID, "")
		var a answer
		Eventually(ended, "5s").Should(Receive(&a))
		Expect(a.reason).To(Equal(request.ReasonCancelled))
		Expect(a.status).To(Equal(a.reason.Status()))
		Expect(a.outcome).To(Equal(request.Unknown))
		g.Wait()
	})

	It("keeps serving after malformed requests", func() {
		for _, text := range []string{
			"\x00\x01\x02\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
			"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
			"GET / HTTP/1.1\r\n" + strings.Repeat("X-Filler: "+strings.Repeat("y", 1000)+"\r\n", 200) + "\r\n",
		} {
			conn, err := net.Dial("tcp", s.routers[0].Address())
			Expect(err).NotTo(HaveOccurred())
			_, _ = conn.Write([]byte(text))
			conn.Close()
		}
		a := s.do(s.routers[0], "POST", "/v1/chat/completions", chat("ok", 1, false))
		Expect(a.outcome).To(Equal(request.Completed))
	})

	It("keeps serving through an outage of the platform and applies later changes", func() {
		s.platform.SetFaults(standin.Faults{Outage: true})
		a := s.do(s.routers[0], "POST", "/v1/chat/completions", chat("out", 1, false))
		Expect(a.outcome).To(Equal(request.Completed))
		s.platform.SetFaults(standin.Faults{})
		s.seed(config.KindOrganisation, "roads", config.Organisation{Name: "roads", Keys: []string{config.HashKey("k3")}})
		Eventually(func() int {
			return s.do(s.routers[1], "POST", "/v1/chat/completions", chat("new", 1, false), "Authorization", "Bearer k3").status
		}, "30s").Should(Equal(200))
	})

	It("keeps the last valid object in force if a later one is invalid", func() {
		s.seed(config.KindPool, "chat", config.Pool{Name: "chat", Policy: "nonsense"})
		s.seed(config.KindOrganisation, "parks", config.Organisation{Name: "parks", Keys: []string{config.HashKey("k4")}})
		Eventually(func() int {
			return s.do(s.routers[0], "POST", "/v1/chat/completions", chat("n", 1, false), "Authorization", "Bearer k4").status
		}, "30s").Should(Equal(200))

		late := s.start("r4")
		Eventually(func() request.Outcome {
			return s.do(late, "POST", "/v1/chat/completions", chat("late", 1, false)).outcome
		}, "30s").Should(Equal(request.Completed))
		s.seed(config.KindPool, "chat", config.Pool{Name: "chat", Policy: "share"})
	})

	It("starts during an outage of the platform with the configuration of the other routers", func() {
		s.platform.SetFaults(standin.Faults{Outage: true})
		defer s.platform.SetFaults(standin.Faults{})
		before := s.routers[1]
		client := platform.New(s.platform.Address())
		before.Stop()
		r, err := router.New(router.Options{
			ID: "r2", Listen: before.Address(), PeerListen: before.Self().Peer, Platform: client, Seed: 1,
			Log: logr.Discard(), ReportPeriod: 100 * time.Millisecond, RouterTimeout: time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		s.routers[1] = r
		Eventually(func() request.Outcome {
			return s.do(r, "POST", "/v1/chat/completions", chat("restarted", 1, false)).outcome
		}, "30s").Should(Equal(request.Completed))
	})

	It("forwards changes to the routers that do not watch the platform", func() {
		Eventually(func() int { return s.routers[0].Status().Routers }, "5s").Should(Equal(3), s.do(s.routers[0], "GET", "/v1/addresses", "").body)
		s.seed(config.KindOrganisation, "ponds", config.Organisation{Name: "ponds", Keys: []string{config.HashKey("k5")}})
		for _, r := range s.routers {
			Eventually(func() int {
				return s.do(r, "POST", "/v1/chat/completions", chat("p", 1, false), "Authorization", "Bearer k5").status
			}, "30s").Should(Equal(200))
		}
	})

	It("drains, and meanwhile serves callers that have an older list of addresses", func() {
		r3 := s.start("r3")
		Eventually(func() int { return s.routers[0].Status().Routers }, "10s").Should(Equal(4))
		drained := make(chan error, 1)
		g := group.New(context.Background())
		g.GoContext(func(ctx context.Context) { drained <- r3.Drain(ctx) })
		Eventually(func() string { return s.do(s.routers[0], "GET", "/v1/addresses", "").body }, "10s").
			ShouldNot(ContainSubstring(r3.Address()))
		a := s.do(r3, "POST", "/v1/chat/completions", chat("old", 2, false))
		Expect(a.outcome).To(Equal(request.Completed), a.body)
		Eventually(drained, "30s").Should(Receive(BeNil()))
		refused := s.do(r3, "POST", "/v1/chat/completions", chat("older", 2, false))
		Expect(refused.reason).To(Equal(request.ReasonRouterLeaving))
		Expect(refused.outcome).To(Equal(request.NotRun))
	})

	It("documents every metric in the operators' page", func() {
		page, err := os.ReadFile("../../docs/OPERATING.md")
		Expect(err).NotTo(HaveOccurred())
		recorder := httptest.NewRecorder()
		s.routers[0].Metrics().ServeHTTP(recorder, nil)
		var vars map[string]map[string]any
		Expect(json.Unmarshal(recorder.Body.Bytes(), &vars)).To(Succeed())
		Expect(len(vars)).To(BeNumerically(">", 5))
		for group, values := range vars {
			for name := range values {
				Expect(string(page)).To(ContainSubstring("`"+name+"`"), group+"."+name)
			}
		}
	})

	It("counts refusals by reason", func() {
		var out bytes.Buffer
		s.routers[0].Metrics().EachRefusal(func(r request.Reason, n int64) { fmt.Fprintln(&out, r, n) })
		Expect(out.String()).To(ContainSubstring("bad-request"))
		Expect(invariant.Total()).To(BeZero())
	})
})
