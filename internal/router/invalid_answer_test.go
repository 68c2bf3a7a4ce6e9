package router_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/adapter/engine"
	"github.com/stepcroft/stepcroft/internal/adapter/httpcaller"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/request"
)

// rawTarget is an engine and a service that sends a text in place of an answer.
type rawTarget struct{ text atomic.Pointer[string] }

func (t *rawTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == engine.PathLoad {
		fmt.Fprint(w, `{"slots":2}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = io.WriteString(c, *t.text.Load())
}

// text returns an answer that begins with a line.
func text(line string, headers ...string) string {
	return line + "\r\nContent-Length: 4\r\n" + strings.Join(headers, "") + "\r\nbody"
}

// closing says that the connection ends after the answer, as it does.
const closing = "Connection: close\r\n"

// interim is an answer before the final one.
const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

// noAnswers holds texts that HTTP does not have as an answer.
var noAnswers = map[string]string{
	"000": text("HTTP/1.1 000 x"), "-00": text("HTTP/1.1 -00 x"), "099": text("HTTP/1.1 099 x"), "+99": text("HTTP/1.1 +99 x"),
	"+200": text("HTTP/1.1 +200 x"), "20": text("HTTP/1.1 20 x"), "2000": text("HTTP/1.1 2000 x"),
	"600": text("HTTP/1.1 600 x"), "999": text("HTTP/1.1 999 x"),
	"only 100": "HTTP/1.1 100 Continue\r\n\r\n", "only 199": "HTTP/1.1 199 x\r\n\r\n",
	"101": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nbody",

	"600, not run":      text("HTTP/1.1 600 x", engine.HeaderNotRun+": 1\r\n"),
	"000, not run":      text("HTTP/1.1 000 x", engine.HeaderNotRun+": 1\r\n"),
	"000, no content":   "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n",
	"600, chunks":       "HTTP/1.1 600 x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"600, no length":    "HTTP/1.1 600 x\r\n\r\nbody",
	"600 after interim": interim + text("HTTP/1.1 600 x"),
	"000 after interim": interim + text("HTTP/1.1 000 x"),

	"version 9.9":         text("HTTP/9.9 200 OK"),
	"version 2.0":         text("HTTP/2.0 200 OK"),
	"two lengths":         text("HTTP/1.1 200 OK", "Content-Length: 3\r\n"),
	"negative length":     "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody",
	"line without colon":  text("HTTP/1.1 200 OK", "x\r\n"),
	"bytes without lines": "spoiled",
}

// exchange sends a request on a connection of its own and returns all that the caller receives.
func exchange(address, path, body string) string {
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = fmt.Fprintf(
		c, "POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer k1\r\n%s: false\r\n%s: 3s\r\nContent-Length: %d\r\n\r\n%s",
		path, httpcaller.HeaderRepeatable, httpcaller.HeaderDeadline, len(body), body,
	)
	Expect(err).NotTo(HaveOccurred())
	got, err := io.ReadAll(c)
	Expect(err).NotTo(HaveOccurred())
	return string(got)
}

// Guards against passing on what is no answer in HTTP, or taking it for one that the request was not run.
var _ = Describe("What is no answer", Ordered, ContinueOnFailure, func() {
	var s *site
	var target rawTarget
	paths := map[string]string{"/v1/services/raw/x": "call", "/v1/chat/completions": strings.Replace(chat("a", 1, false), `"chat"`, `"raw"`, 1)}

	BeforeAll(func() {
		s = newSite()
		empty := ""
		target.text.Store(&empty)
		server := httptest.NewServer(&target)
		DeferCleanup(server.Close)
		address := server.Listener.Addr().String()
		s.seed(config.KindPool, "raw", config.Pool{Name: "raw", Policy: "share"})
		// An engine is left alone for a while after a failure.
		for n := range 2 * len(noAnswers) {
			name := fmt.Sprint("raw-engine-", n)
			s.seed(config.KindBox, name, config.Box{Name: name, Role: config.RoleEngine, Address: address, Pool: "raw", Slots: 2})
		}
		s.seed(config.KindBox, "raw-service", config.Box{Name: "raw-service", Role: config.RoleService, Address: address, Pool: "raw"})
		for path, body := range paths {
			Eventually(func() string { return exchange(s.routers[0].Address(), path, body) }, "10s").Should(ContainSubstring(string(request.ReasonTargetFailed)))
		}
	})
	AfterAll(func() { s.stop() })

	for name, sent := range noAnswers {
		for path, body := range paths {
			It("is a failure of a request that may have run: "+name+", "+path, func() {
				target.text.Store(&sent)
				got := exchange(s.routers[0].Address(), path, body)
				Expect(got).To(HavePrefix("HTTP/1.1 502 "))
				Expect(got).To(ContainSubstring(httpcaller.HeaderOutcome + ": " + string(request.Unknown)))
				Expect(got).To(ContainSubstring(httpcaller.HeaderReason + ": " + string(request.ReasonTargetFailed)))
				Expect(got).NotTo(ContainSubstring("spoiled"))
			})
		}
	}

	It("is counted", func() {
		sent := noAnswers["600"]
		target.text.Store(&sent)
		invalid := func() (n int64) {
			w := httptest.NewRecorder()
			s.routers[0].Metrics().ServeHTTP(w, nil)
			var m struct{ Targets engine.Stats }
			Expect(json.Unmarshal(w.Body.Bytes(), &m)).To(Succeed())
			return m.Targets.InvalidAnswers
		}
		before := invalid()
		exchange(s.routers[0].Address(), "/v1/services/raw/x", "call")
		Expect(invalid()).To(Equal(before + 1))
	})

	for name, sent := range map[string]string{
		"HTTP/1.1 200 ": text("HTTP/1.1 200", closing), "HTTP/1.1 404 ": interim + text("HTTP/1.0 404 ", closing),
		"HTTP/1.1 599 ": interim + text("HTTP/1.1 599 x", closing), "HTTP/1.1 299 ": text("HTTP/1.1 299 ", closing),
		"HTTP/1.1 201 ": text("HTTP/1.2 201 x", closing, "Content-Length: 4\r\n"),
	} {
		It("is not an unusual answer: "+name, func() {
			target.text.Store(&sent)
			got := exchange(s.routers[0].Address(), "/v1/services/raw/x", "call")
			Expect(got).To(HavePrefix(name))
			Expect(got).To(HaveSuffix("\r\n\r\nbody"))
			Expect(got).To(ContainSubstring(httpcaller.HeaderOutcome + ": " + string(request.Completed)))
		})
	}
})
