package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
)

var _ = Describe("Requests that have arrived before their connection is accepted", func() {
	var l net.Listener
	var g *group.Group

	BeforeEach(func() {
		g = group.New(context.Background())
		DeferCleanup(func() { g.Stop() })
		var err error
		l, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
	})

	// arrive sends text on a connection that is not accepted yet.
	arrive := func(text string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = io.WriteString(c, text)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		return c, bufio.NewReader(c)
	}
	// outcome reads an answer and returns it with the reason in its body.
	outcome := func(answers *bufio.Reader) (*http.Response, string) {
		res, err := http.ReadResponse(answers, nil)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		reason, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		return res, strings.TrimSpace(string(reason))
	}
	// large is a body size, in bytes, above what the HTTP server reads in one call.
	const large = 9000
	request := func(key string) string {
		return head("/engine/a", key, "r", large, "") + strings.Repeat("x", large)
	}

	It("are refused with a Retry-After, and their connection is closed", func() {
		_, answers := arrive(request("k1"))
		serve(g, l)
		res, reason := outcome(answers)
		Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(reason).To(Equal(string(forward.ReasonOrganisationQueueFull)))
		Expect(res.Header.Get("X-Id")).To(Equal("r"))
		Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(res.Close).To(BeTrue())
		_, err := answers.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("reach the HTTP server complete if they are not refused, and so does the next request", func() {
		c, answers := arrive(request("k2"))
		serve(g, l)
		_, reason := outcome(answers)
		Expect(reason).To(Equal("no-target"))
		fmt.Fprint(c, request("k2"))
		_, reason = outcome(answers)
		Expect(reason).To(Equal("no-target"))
	})

	It("are refused after the rest of their body is read if that arrives later", func() {
		text := request("k1")
		c, answers := arrive(text[:large/2])
		serve(g, l)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(c, text[large/2:])
		_, reason := outcome(answers)
		Expect(reason).To(Equal(string(forward.ReasonOrganisationQueueFull)))
		fmt.Fprint(c, request("k2"))
		_, reason = outcome(answers)
		Expect(reason).To(Equal("no-target"))
	})
})
