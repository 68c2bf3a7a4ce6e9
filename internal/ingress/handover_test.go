package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/ingress"
	"github.com/stepcroft/stepcroft/internal/refusal"
)

// taker is an ingress.Handover that takes all connections; those that it is not to keep are given
// back from another goroutine.
type taker struct {
	group *group.Group
	keep  bool
	taken atomic.Int64
	// organisation is that of the last connection.
	organisation string
}

func (t *taker) Wanted() bool { return true }

func (t *taker) Take(a handover.Arrival) bool {
	t.taken.Add(1)
	c, err := a.Open()
	Expect(err).NotTo(HaveOccurred())
	t.group.Go(func() {
		defer GinkgoRecover()
		t.organisation, _ = a.AwaitOrganisation()
		if t.keep {
			_, _ = io.WriteString(c, "taken")
			_ = c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
		a.ServeLocally()
	})
	return true
}

var _ = Describe("Connections that are handed over", func() {
	var l net.Listener
	var g *group.Group
	var t *taker

	BeforeEach(func() {
		g = group.New(context.Background())
		DeferCleanup(func() { g.Stop() })
		t = &taker{group: g}
		var err error
		l, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
	})

	dial := func(l net.Listener, text string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = io.WriteString(c, text)
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	// reason reads an answer and returns the reason in its body.
	reason := func(in *bufio.Reader) string {
		res, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		return strings.TrimSpace(string(body))
	}
	request := func(key string) string { return head("/engine/a", key, "r", 4, "") + "body" }

	It("are so before their requests are refused", func() {
		// The server refuses all requests of this organisation.
		t.keep = true
		serveObserved(g, l, ignoringObserver{}, func(s *ingress.Server) { s.HandOver(t) })
		got, err := io.ReadAll(dial(l, request("k1")))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal("taken"))
		Expect(t.organisation).To(Equal("loud"))
	})

	It("are not those of HTTP/1.0, to whose callers an answer would look complete if the router that relays it is killed", func() {
		t.keep = true
		serveObserved(g, l, ignoringObserver{}, func(s *ingress.Server) { s.HandOver(t) })
		_, err := io.ReadAll(dial(l, strings.Replace(request("k1"), "HTTP/1.1", "HTTP/1.0", 1)))
		Expect(err).NotTo(HaveOccurred())
		// A connection whose organisation stays unknown is served here.
		Expect(t.organisation).To(BeEmpty())
	})

	DescribeTable(
		"are served like others if no router takes them", func(key, want string) {
			serveObserved(g, l, ignoringObserver{}, func(s *ingress.Server) { s.HandOver(t) })
			for range 20 {
				Expect(reason(bufio.NewReader(dial(l, request(key))))).To(Equal(want))
			}
			Expect(t.taken.Load()).To(Equal(int64(20)))
		},
		Entry("those of an organisation with too many requests", "k1", string(forward.ReasonOrganisationQueueFull)),
		Entry("those of another one", "k2", "no-target"),
	)

	It("keep their connection for the next request if no router takes them", func() {
		serveObserved(g, l, ignoringObserver{}, func(s *ingress.Server) { s.HandOver(t) })
		c := dial(l, request("k2"))
		in := bufio.NewReader(c)
		Expect(reason(in)).To(Equal("no-target"))
		_, err := io.WriteString(c, request("k2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reason(in)).To(Equal("no-target"))
	})

	Context("at the router that receives them", func() {
		var received net.Listener
		var s *ingress.Server

		BeforeEach(func() {
			var err error
			received, err = net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			serveObserved(g, l, ignoringObserver{}, func(server *ingress.Server) {
				s = server
				s.HandOver(t)
				g.Go(func() { _ = s.ServeReceived(received) })
			})
		})

		It("are not handed over again", func() {
			Expect(s.ReserveReceived()).To(BeTrue())
			Expect(reason(bufio.NewReader(dial(received, request("k2"))))).To(Equal("no-target"))
			Expect(t.taken.Load()).To(BeZero())
		})

		It("are closed when their request is refused", func() {
			Expect(s.ReserveReceived()).To(BeTrue())
			in := bufio.NewReader(dial(received, request("k1")))
			Expect(reason(in)).To(Equal(string(forward.ReasonOrganisationQueueFull)))
			_, err := in.ReadByte()
			Expect(err).To(MatchError(io.EOF))
		})

		// A relay cannot tell an answer that pauses from the time between two requests.
		Context("whose router leaves", func() {
			none := head("/none", "k2", "r", 4, "") + "body"
			self := netip.MustParseAddr("127.0.0.1")
			var c net.Conn
			var in *bufio.Reader

			BeforeEach(func() {
				Expect(s.ReserveReceived()).To(BeTrue())
				c = dial(received, none)
				in = bufio.NewReader(c)
				Expect(reason(in)).To(Equal(string(refusal.NoRoute)))
			})

			DescribeTable(
				"are closed when they have no request", func(staying map[netip.Addr]bool) {
					s.EndReceived(staying)
					_, err := in.ReadByte()
					Expect(err).To(MatchError(io.EOF))
				},
				Entry("with no other router", map[netip.Addr]bool{}),
				Entry("with one that stays", map[netip.Addr]bool{netip.MustParseAddr("10.0.0.1"): true}),
			)

			It("stay open if they come from another router", func() {
				s.EndReceived(map[netip.Addr]bool{self: true})
				_, err := io.WriteString(c, none)
				Expect(err).NotTo(HaveOccurred())
				Expect(reason(in)).To(Equal(string(refusal.NoRoute)))
				s.EndReceived(nil)
				_, err = io.WriteString(c, none)
				Expect(err).NotTo(HaveOccurred())
				Expect(reason(in)).To(Equal(string(refusal.NoRoute)))
			})

			It("answer a request that has begun, and are closed after it", func() {
				_, err := io.WriteString(c, none[:20])
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(50 * time.Millisecond)
				s.EndReceived(map[netip.Addr]bool{})
				time.Sleep(50 * time.Millisecond)
				_, err = io.WriteString(c, none[20:])
				Expect(err).NotTo(HaveOccurred())
				res, err := http.ReadResponse(in, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(res.Close).To(BeTrue())
				Expect(res.StatusCode).To(Equal(http.StatusNotFound))
				_, err = io.ReadAll(res.Body)
				Expect(err).NotTo(HaveOccurred())
				_, err = in.ReadByte()
				Expect(err).To(MatchError(io.EOF))
			})

			It("answer or refuse a request that arrives meanwhile", func() {
				_, err := io.WriteString(c, none)
				Expect(err).NotTo(HaveOccurred())
				s.EndReceived(map[netip.Addr]bool{})
				Expect(reason(in)).To(BeElementOf(string(refusal.NoRoute), string(refusal.Leaving)))
				_, err = in.ReadByte()
				Expect(err).To(MatchError(io.EOF))
			})
		})

		It("take at most half of its connections", func() {
			var open []net.Conn
			for s.ReserveReceived() {
				open = append(open, dial(received, "POST"))
			}
			Expect(open).To(HaveLen(maxConnections / 2))
			Expect(open[0].Close()).To(Succeed())
			Eventually(s.ReserveReceived).Should(BeTrue())
			s.ReleaseReceived()
		})

		It("make room for others if they are idle", func() {
			var open []net.Conn
			for range maxConnections / 2 {
				Expect(s.ReserveReceived()).To(BeTrue())
				// Unlike other refusals, this one leaves the connection open.
				c := dial(received, head("/none", "k2", "r", 4, "")+"body")
				Expect(reason(bufio.NewReader(c))).To(Equal(string(refusal.NoRoute)))
				open = append(open, c)
			}
			Eventually(s.ReserveReceived).Should(BeTrue())
			s.ReleaseReceived()
			Eventually(func() error {
				_, err := open[0].Read(make([]byte, 1))
				return err
			}).Should(MatchError(io.EOF))
		})
	})
})
