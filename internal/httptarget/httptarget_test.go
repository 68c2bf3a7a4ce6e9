package httptarget_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/memory"
)

func TestHTTPTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httptarget")
}

// serve starts a server that calls f with each connection and its number, and returns the
// server's address.
func serve(f func(n int, c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var wait sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	wait.Go(func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			wait.Go(func() {
				defer c.Close()
				f(n, c)
			})
		}
	})
	DeferCleanup(func() {
		Expect(l.Close()).To(Succeed())
		mu.Lock()
		for _, c := range conns {
			_ = c.Close()
		}
		mu.Unlock()
		wait.Wait()
	})
	return l.Addr().String()
}

// serveRequests calls f for each request received on c, until f returns false.
func serveRequests(c net.Conn, f func(n int, r *http.Request) bool) {
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !f(n, r) {
			return
		}
	}
}

// beyondBuffers is a size in bytes that the buffers of two sockets do not hold: a body of that size
// is not written until it is read. Linux lets them grow to 10 MB in all by default.
const beyondBuffers = 16 << 20

func request(id string, body string) httptarget.Request {
	head := fmt.Sprintf("POST /p HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n", id, len(body))
	return httptarget.Request{Method: http.MethodPost, Head: []byte(head), Body: memory.Of([]byte(body)), ID: id, IDHeader: "X-Id"}
}

// okAnswer returns the text of an answer with status 200.
func okAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// testTransport is the transport under test.
type testTransport struct{ *httptarget.Transport }

func newTestTransport() testTransport {
	g := group.New(context.Background())
	DeferCleanup(g.Stop)
	return testTransport{httptarget.New(g)}
}

// send sends a request to a target that goes on and returns the body of its answer.
func (r testTransport) send(address, id, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	q := request(id, body)
	q.Witness = func(context.Context, time.Time) error { return nil }
	a, err := r.Send(ctx, address, q)
	if err != nil {
		return "", err
	}
	defer a.Close()
	text, err := io.ReadAll(a)
	return string(text), err
}

var _ = Describe("Transport", func() {
	It("reuses a connection", func() {
		r := newTestTransport()
		address := serve(func(_ int, c net.Conn) {
			serveRequests(c, func(n int, q *http.Request) bool {
				fmt.Fprint(c, okAnswer(q.Header.Get("X-Id"), fmt.Sprint("answer ", n)))
				return true
			})
		})
		for i := range 3 {
			Expect(r.send(address, fmt.Sprint("r", i), "b")).To(Equal(fmt.Sprint("answer ", i)))
		}
		Expect(r.Stats().Dialled).To(Equal(int64(1)))
	})

	It("does not reuse a connection that was made for another process at the same address", func() {
		r := newTestTransport()
		address := serve(func(_ int, c net.Conn) {
			serveRequests(c, func(_ int, q *http.Request) bool {
				fmt.Fprint(c, okAnswer(q.Header.Get("X-Id"), "answer"))
				return true
			})
		})
		for i, instance := range []string{"e@1", "e@1", "e@2", "e@2"} {
			q := request(fmt.Sprint("r", i), "b")
			q.Instance = instance
			a, err := r.Send(context.Background(), address, q)
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(a)).To(Equal([]byte("answer")))
			a.Close()
		}
		Expect(r.Stats().Dialled).To(Equal(int64(2)))
	})

	It("skips answers to earlier requests", func() {
		r := newTestTransport()
		address := serve(func(_ int, c net.Conn) {
			serveRequests(c, func(n int, q *http.Request) bool {
				if n == 1 {
					fmt.Fprint(c, okAnswer("r0", "late"))
				}
				fmt.Fprint(c, okAnswer(q.Header.Get("X-Id"), "own"))
				return true
			})
		})
		Expect(r.send(address, "r0", "b")).To(Equal("own"))
		Expect(r.send(address, "r1", "b")).To(Equal("own"))
		Expect(r.Stats().StrayAnswers).To(Equal(int64(1)))
	})

	It("does not reuse a connection on which bytes follow the answer", func() {
		for name, pause := range map[string]time.Duration{"at once": 0, "later": 30 * time.Millisecond} {
			r := newTestTransport()
			address := serve(func(n int, c net.Conn) {
				serveRequests(c, func(_ int, q *http.Request) bool {
					fmt.Fprint(c, okAnswer(q.Header.Get("X-Id"), "own"))
					if n == 0 {
						time.Sleep(pause)
						fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
					}
					return true
				})
			})
			Expect(r.send(address, "r0", "b")).To(Equal("own"), name)
			time.Sleep(60 * time.Millisecond)
			Expect(r.send(address, "r1", "b")).To(Equal("own"), name)
			Expect(r.Stats().Dialled).To(Equal(int64(2)), name)
		}
	})

	It("accepts an answer that arrives before a long body has been read, and closes the connection", func() {
		r := newTestTransport()
		long := strings.Repeat("x", beyondBuffers)
		answered := make(chan struct{})
		address := serve(func(_ int, c net.Conn) {
			q, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
			if err != nil {
				return
			}
			fmt.Fprint(c, okAnswer(q.Header.Get("X-Id"), "early"))
			// Closing before the rest is read resets the connection, and the answer may be lost.
			<-answered
		})
		defer close(answered)
		Expect(r.send(address, "r0", long)).To(Equal("early"))
		Expect(r.send(address, "r1", "b")).To(Equal("early"))
		Expect(r.Stats().Reused).To(BeZero())
	})

	It("closes a connection when its request is abandoned", func() {
		r := newTestTransport()
		closed := make(chan bool, 1)
		address := serve(func(_ int, c net.Conn) {
			serveRequests(c, func(int, *http.Request) bool {
				_, err := c.Read(make([]byte, 1))
				closed <- err != nil
				return false
			})
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := r.Send(ctx, address, request("r0", "b"))
		Expect(err).To(MatchError(httptarget.ErrBroken))
		Eventually(closed).Should(Receive(BeTrue()))
	})

	It("returns ErrNotSent if the connection is refused", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, err = newTestTransport().send(address, "r", "b")
		Expect(err).To(MatchError(httptarget.ErrNotSent))
	})
})

// readWithStdlib reads text as an answer with the standard library. The connection seems to
// close after it.
func readWithStdlib(text []byte) (string, error) {
	res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), &http.Request{Method: http.MethodPost})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

var _ = Describe("An answer cut at any byte", func() {
	texts := map[string]string{
		"length":  okAnswer("r", "hello"),
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"interim": "HTTP/1.1 100 Continue\r\n\r\n" + okAnswer("r", "hello"),
		"empty":   "HTTP/1.1 204 No Content\r\nX-Id: r\r\n\r\n",
		"no end":  "HTTP/1.1 200 OK\r\nX-Id: r\r\nConnection: close\r\n\r\nhello",
	}
	It("is read as by the standard library", func() {
		for name, text := range texts {
			for cut := range len(text) + 1 {
				address := serve(func(_ int, c net.Conn) {
					serveRequests(c, func(int, *http.Request) bool {
						fmt.Fprint(c, text[:cut])
						return false
					})
				})
				got, err := newTestTransport().send(address, "r", "b")
				plain := strings.TrimPrefix(text[:cut], "HTTP/1.1 100 Continue\r\n\r\n")
				if name == "interim" && len(plain) == cut {
					// The text has at most the interim answer.
					Expect(err).To(HaveOccurred(), "%s cut at %d", name, cut)
					continue
				}
				want, wantErr := readWithStdlib([]byte(plain))
				Expect(err != nil).To(Equal(wantErr != nil), "%s cut at %d: %v, %v", name, cut, err, wantErr)
				if wantErr == nil {
					Expect(got).To(Equal(want), "%s cut at %d", name, cut)
				}
			}
		}
	})
})
