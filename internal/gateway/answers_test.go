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
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// wideEvents events of wideEventSize bytes are more than the kernel takes up for a caller with a
// small receive buffer.
const wideEvents, wideEventSize = 24, 180 << 10

// streamWide answers with a stream of them.
func streamWide(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
	text := strings.Repeat("x", wideEventSize)
	for n := range wideEvents {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, text)
		_ = http.NewResponseController(w).Flush()
	}
}

// peakBuffered returns the most bytes that a router has buffered for slow callers.
func (r *rig) peakBuffered() int64 {
	answer := httptest.NewRecorder()
	r.metrics.ServeHTTP(answer, nil)
	var m struct {
		AnswerBuffers struct {
			PeakBytes int64 `json:"peak_bytes"`
		} `json:"answer_buffers"`
	}
	Expect(json.NewDecoder(answer.Body).Decode(&m)).To(Succeed())
	return m.AnswerBuffers.PeakBytes
}

var _ = Describe("A caller that stops reading", func() {
	// open asks for a stream, on a connection with a small receive buffer.
	open := func(r *rig) net.Conn {
		d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		}}
		c, err := d.Dial("tcp", r.Self().Address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprint(c, "POST /single/x HTTP/1.1\r\nHost: h\r\nX-Id: wide\r\nX-Wait-Ms: 9000\r\nAuthorization: Bearer key\r\nContent-Length: 1\r\n\r\nx")
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	// read reads the answer and returns the number of its events.
	read := func(c net.Conn) int {
		Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		return strings.Count(string(body), "\n\n")
	}
	configuration := func(pause time.Duration) routing.Spec {
		c := spec(1)
		for i := range c.Routes {
			c.Routes[i].MaxPause = pause
		}
		return c
	}

	It("gets the rest of its answer during a planned stop", func() {
		r := newRig()
		r.configure(configuration(400 * time.Millisecond))
		r.serve("t", streamWide)
		c := open(r)
		Eventually(r.peakBuffered).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		stopped := make(chan bool)
		background(func() {
			defer close(stopped)
			r.Drain(context.Background(), 5*time.Second)
		})
		Consistently(stopped, 300*time.Millisecond).ShouldNot(BeClosed())
		Expect(read(c)).To(Equal(wideEvents))
		Eventually(stopped).WithTimeout(5 * time.Second).Should(BeClosed())
	})

	// bounded returns a router whose callers may read nothing for half a second after their deadline.
	bounded := func() *rig {
		r := newRigWithStall(balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, QuotaWindow: 4 * time.Second}, 500*time.Millisecond)
		c := configuration(400 * time.Millisecond)
		for i := range c.Routes {
			c.Routes[i].Timeout = time.Second
		}
		r.configure(c)
		r.serve("t", streamWide)
		return r
	}
	// expectCut reads what the kernel holds of the answer, which must not look complete.
	expectCut := func(c net.Conn) {
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		text, err := io.ReadAll(c)
		var timeout net.Error
		Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeFalse(), "the connection is open")
		Expect(strings.Count(string(text), "\r\n0\r\n\r\n")).To(BeZero())
	}

	// Guards against a write to a caller's connection that goes on after the router has given up on it, so
	// that its request never ends.
	It("is cut off if it does not read again", func() {
		r := bounded()
		c := open(r)
		Eventually(r.peakBuffered).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		began := time.Now()
		r.Drain(context.Background(), 20*time.Second)
		Expect(time.Since(began)).To(And(BeNumerically(">", time.Second), BeNumerically("<", 10*time.Second)))
		expectCut(c)
	})

	It("is cut off at the limit of a planned stop", func() {
		r := newRig()
		r.configure(configuration(400 * time.Millisecond))
		r.serve("t", streamWide)
		c := open(r)
		Eventually(r.peakBuffered).WithTimeout(5 * time.Second).Should(BeNumerically(">", 0))
		began := time.Now()
		r.Drain(context.Background(), time.Second)
		r.Stop()
		Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
		expectCut(c)
	})

	It("has nothing buffered if the routes do not accept long pauses", func() {
		r := newRig()
		r.configure(configuration(150 * time.Millisecond))
		r.serve("t", streamWide)
		c := open(r)
		time.Sleep(300 * time.Millisecond)
		Expect(read(c)).To(Equal(wideEvents))
		Expect(r.peakBuffered()).To(BeZero())
	})
})
