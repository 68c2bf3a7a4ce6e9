package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/group"
)

// callerConn is the caller's end of a connection.
type callerConn struct {
	net.Conn
	answers *bufio.Reader
}

var _ = Describe("Connections of callers", func() {
	var address string

	BeforeEach(func() {
		g := group.New(context.Background())
		DeferCleanup(g.Stop)
		address = newServer(g)
	})

	dial := func() callerConn {
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return callerConn{c, bufio.NewReader(c)}
	}
	write := func(c callerConn, text string) {
		_, err := c.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}
	status := func(c callerConn) (int, error) {
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		res, err := http.ReadResponse(c.answers, nil)
		if err != nil {
			return 0, err
		}
		defer res.Body.Close()
		_, err = res.Body.Read(make([]byte, 64))
		_ = err // Only the answer's status matters here.
		return res.StatusCode, nil
	}
	whole := head("/plain/a", "k2", "r", 1, "") + "x"

	It("are closed for a new one when they have been idle for the longest", func() {
		var list []callerConn
		for range maxConnections {
			c := dial()
			write(c, whole)
			Expect(status(c)).To(Equal(http.StatusServiceUnavailable))
			list = append(list, c)
		}
		write(list[0], whole)
		Expect(status(list[0])).To(Equal(http.StatusServiceUnavailable))
		c := dial()
		write(c, whole)
		Expect(status(c)).To(Equal(http.StatusServiceUnavailable))
		write(list[0], whole)
		Expect(status(list[0])).To(Equal(http.StatusServiceUnavailable))
		_, err := status(list[1])
		Expect(err).To(HaveOccurred())
	})

	It("wait to be accepted while all others are in use", func() {
		var list []callerConn
		for range maxConnections {
			c := dial()
			write(c, whole[:len(whole)-1])
			list = append(list, c)
		}
		// All three requests are being read.
		time.Sleep(50 * time.Millisecond)
		c := dial()
		write(c, whole)
		Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		write(list[0], "x")
		Expect(status(list[0])).To(Equal(http.StatusServiceUnavailable))
		Expect(status(c)).To(Equal(http.StatusServiceUnavailable))
	})

	It("are not closed for a new one before their first request is answered", func() {
		var list []callerConn
		for range maxConnections {
			list = append(list, dial())
		}
		c := dial()
		write(c, whole)
		Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		write(list[0], whole)
		Expect(status(list[0])).To(Equal(http.StatusServiceUnavailable))
		Expect(status(c)).To(Equal(http.StatusServiceUnavailable))
	})

	// Requests used to cross the close of connections that were idle for a moment, of which no answer had told.
	DescribeTable(
		"are not closed unannounced while callers go on sending", func(key string) {
			request := head("/engine/a", key, "r", 2, "") + "x"
			var list []callerConn
			for range maxConnections {
				c := dial()
				write(c, request)
				list = append(list, c)
			}
			c := dial()
			write(c, whole)
			time.Sleep(50 * time.Millisecond)
			announced := func(c callerConn) bool {
				Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
				res, err := http.ReadResponse(c.answers, nil)
				Expect(err).NotTo(HaveOccurred())
				_, err = io.Copy(io.Discard, res.Body)
				Expect(err).NotTo(HaveOccurred())
				return res.Close
			}
			write(list[0], "x")
			Expect(announced(list[0])).To(BeTrue(), "a connection waits for room")
			Expect(announced(c)).To(BeFalse(), "none waits")
			write(list[1], "x")
			Expect(announced(list[1])).To(BeFalse(), "none waits")
		},
		Entry("before an answer of the HTTP server", "k2"),
		Entry("before a refusal that it does not see", "k1"),
	)
})
