package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/adapter/engine"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/standin"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

func startEngine(o standin.EngineOptions) *standin.Engine {
	o.Address, o.Slots, o.TokenTime = "127.0.0.1:0", 4, time.Millisecond
	e, err := standin.NewEngine(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Stop)
	return e
}

func completion(id, system, prompt string, from int) port.Completion {
	messages := fmt.Sprintf(`{"content":%q}`, prompt)
	if system != "" {
		messages = fmt.Sprintf(`{"content":%q},`, system) + messages
	}
	return port.Completion{ID: id, Body: []byte(`{"messages":[` + messages + `]}`), ResumeFrom: from}
}

// drain reads a stream to its end and returns the number of events received.
func drain(s port.Stream) (int, error) {
	defer s.Close()
	for n := 0; ; n++ {
		_, err := s.Next()
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
}

var _ = Describe("Client", func() {
	var (
		client *engine.Client
		ctx    = context.Background()
	)

	BeforeEach(func() {
		client = engine.New()
		DeferCleanup(client.Stop)
	})

	It("distinguishes an unreachable engine from one that refuses and one that breaks off", func() {
		_, err := client.Complete(ctx, "127.0.0.1:1", completion("a", "", "x", 0))
		Expect(errors.Is(err, port.ErrNotSent)).To(BeTrue())
		e := startEngine(standin.EngineOptions{})
		e.SetFaults(standin.Faults{Refuse: true})
		_, err = client.Complete(ctx, e.Address(), completion("a", "", "x", 0))
		Expect(errors.Is(err, port.ErrRefused)).To(BeTrue())
		e.SetFaults(standin.Faults{Outage: true})
		_, err = client.Complete(ctx, e.Address(), completion("a", "", "x", 0))
		Expect(errors.Is(err, port.ErrBroken)).To(BeTrue())
		e.SetFaults(standin.Faults{BreakAfterTokens: 2})
		s, err := client.Complete(ctx, e.Address(), completion("a", "", standin.Prompt("t", 1, 5), 0))
		Expect(err).NotTo(HaveOccurred())
		n, err := drain(s)
		Expect(n).To(Equal(2))
		Expect(errors.Is(err, port.ErrBroken)).To(BeTrue())
	})

	It("resumes a broken-off response on another engine after moving its KV cache there", func() {
		a, b := startEngine(standin.EngineOptions{}), startEngine(standin.EngineOptions{})
		a.SetFaults(standin.Faults{BreakAfterTokens: 2})
		prompt := standin.Prompt("t", 1, 5)
		s, err := client.Complete(ctx, a.Address(), completion("moved", "", prompt, 0))
		Expect(err).NotTo(HaveOccurred())
		got, _ := drain(s)
		_, err = client.Complete(ctx, b.Address(), completion("moved", "", prompt, got))
		Expect(errors.Is(err, port.ErrRefused)).To(BeTrue())
		kv, err := client.ExportKV(ctx, a.Address(), "moved")
		Expect(err).NotTo(HaveOccurred())
		Expect(client.ImportKV(ctx, b.Address(), "moved", kv)).To(Succeed())
		s, err = client.Complete(ctx, b.Address(), completion("moved", "", prompt, got))
		Expect(err).NotTo(HaveOccurred())
		rest, err := drain(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(got + rest).To(Equal(5 + 1)) // the last event contains the usage
		_, err = client.ExportKV(ctx, a.Address(), "other")
		Expect(errors.Is(err, port.ErrNotFound)).To(BeTrue())
	})

	It("reports an order with an old epoch as fenced only if the engine checks epochs", func() {
		for _, checks := range []bool{true, false} {
			e := startEngine(standin.EngineOptions{CheckEpoch: checks})
			Expect(client.Order(ctx, e.Address(), port.Order{Epoch: 2, Kind: port.OrderLoadModel, Name: "m", Version: "1"})).To(Succeed())
			err := client.Order(ctx, e.Address(), port.Order{Epoch: 1, Kind: port.OrderLoadModel, Name: "old"})
			Expect(errors.Is(err, port.ErrFenced)).To(Equal(checks))
			Expect(e.Orders()[0].Name).To(Equal("m"))
		}
	})

	It("reads cache events that are delayed or missing, from a cache of limited size", func() {
		e := startEngine(standin.EngineOptions{CacheTokens: 10})
		complete := func(system string) {
			s, err := client.Complete(ctx, e.Address(), completion("c", system, standin.Prompt("t", 1, 1), 0))
			Expect(err).NotTo(HaveOccurred())
			_, err = drain(s)
			Expect(err).NotTo(HaveOccurred())
		}
		complete("first system prompt")
		complete("second system prompt")
		complete("second system prompt")
		events, err := client.CacheEvents(ctx, e.Address(), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(3))
		Expect(events[0].Prefix).To(Equal(standin.PrefixKey("first system prompt")))
		Expect([]bool{events[0].Stored, events[1].Stored, events[2].Stored}).To(Equal([]bool{true, false, true}))
		e.SetFaults(standin.Faults{DropEveryNthEvent: 2})
		events, err = client.CacheEvents(ctx, e.Address(), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(2))
		e.SetFaults(standin.Faults{LoadAgeMS: 60000})
		events, err = client.CacheEvents(ctx, e.Address(), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(BeEmpty())
	})
})

// hangUpServer answers the first request on each connection and closes the connection without
// an answer after it has read the second one. It returns its address and a counter of the
// requests read.
func hangUpServer() (address string, read *atomic.Int64) {
	read = new(atomic.Int64)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	g := group.New(context.Background())
	DeferCleanup(func() {
		listener.Close()
		g.Stop()
	})
	serve := func(conn net.Conn) {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		reader := bufio.NewReader(conn)
		for n := range 2 {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			read.Add(1)
			if n == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	}
	g.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			g.Go(func() { serve(conn) })
		}
	})
	return listener.Addr().String(), read
}

var _ = Describe("A redirect", func() {
	It("is returned to the caller and not followed", func() {
		target := httptest.NewServer(http.RedirectHandler("http://127.0.0.1:1/elsewhere", http.StatusFound))
		DeferCleanup(target.Close)
		client := engine.New()
		DeferCleanup(client.Stop)
		answer, err := client.Call(context.Background(), target.Listener.Addr().String(),
			port.Call{ID: "a", Method: http.MethodGet, Path: "/", Header: http.Header{}})
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		Expect(answer.Status).To(Equal(http.StatusFound))
	})
})

var _ = Describe("A call whose response is lost on a reused connection", func() {
	for name, call := range map[string]port.Call{
		"GET":                      {ID: "a", Method: http.MethodGet, Path: "/", Header: http.Header{}},
		"POST with a caller's key": {ID: "a", Method: http.MethodPost, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("five soles")},
	} {
		It("is not retried by net/http: "+name, func() {
			client := engine.New()
			DeferCleanup(client.Stop)
			address, read := hangUpServer()
			first, err := client.Call(context.Background(), address, call)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.ReadAll(first.Body)
			first.Body.Close()
			_, err = client.Call(context.Background(), address, call)
			Expect(errors.Is(err, port.ErrBroken)).To(BeTrue())
			Expect(read.Load()).To(BeNumerically("==", 2))
		})
	}
})
