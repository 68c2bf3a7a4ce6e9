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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/metrics"
)

// benchEvents is the number of events of a stream, eventPause the time between two. The caller waits
// for readPause after each read, so that its own part does not depend on how a router splits answers.
const (
	benchEvents = 30
	eventPause  = 40 * time.Millisecond
	readPause   = 250 * time.Millisecond
)

// slowReader reads in intervals of readPause.
type slowReader struct{ io.Reader }

func (r slowReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err == nil {
		time.Sleep(readPause)
	}
	return n, err
}

// BenchmarkStream measures the CPU time of a stream of 30 events: of the caller and the engine
// alone, with a router that serves it, and with one that hands the connection over. What a router needs
// is the difference from the first one.
func BenchmarkStream(b *testing.B) {
	engine := httptest.NewServer(streamer(benchEvents, benchEvents, eventPause))
	defer engine.Close()
	address := engine.Listener.Addr().String()
	b.Run("direct", func(b *testing.B) { benchmarkStreams(b, address) })
	b.Run("served", func(b *testing.B) { benchmarkStreams(b, benchRouter(b, address)) })
	b.Run("handed over", func(b *testing.B) { benchmarkStreams(b, benchHandover(b, 0.55)) })
	b.Run("handed over while short of CPU time", func(b *testing.B) { benchmarkStreams(b, benchHandover(b, 1)) })
}

// benchmarkStreams requests streams from an address, each on a new connection, 32 at a time.
func benchmarkStreams(b *testing.B, address string) {
	const concurrent = 64
	b.ReportAllocs()
	before := metrics.ProcessorTime()
	var wait sync.WaitGroup
	jobs := make(chan int)
	for range concurrent {
		wait.Go(func() {
			for n := range jobs {
				if err := readWholeStream(address, n); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for n := range b.N {
		jobs <- n
	}
	close(jobs)
	wait.Wait()
	b.ReportMetric(float64((metrics.ProcessorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}

func readWholeStream(address string, n int) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: h\r\n%s: b%d\r\n%s: 9000\r\nAuthorization: Bearer key\r\nContent-Length: 8\r\n\r\nquestion",
		headerNames.RequestID, n, headerNames.Deadline)
	res, err := http.ReadResponse(bufio.NewReader(slowReader{c}), nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil && string(body) != fullStream(benchEvents) {
		return fmt.Errorf("status %d: %s", res.StatusCode, body)
	}
	return err
}

// benchRouter starts a router with one engine and returns its address.
func benchRouter(b *testing.B, engine string) string {
	b.Helper()
	g, err := gateway.New(context.Background(), gateway.Options{
		ID: "bench", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Incarnation: 1,
		Headers: headerNames, Codec: codec{}, Log: logr.Discard(), Metrics: counters.New(),
		Limits: balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, QuotaWindow: 4 * time.Second},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(g.Stop)
	config, err := json.Marshal(spec(1))
	if err != nil {
		b.Fatal(err)
	}
	target, err := json.Marshal(balance.Target{ID: "t", Service: "s", Address: engine, Zone: "z", Slots: 64})
	if err != nil {
		b.Fatal(err)
	}
	g.SetConfig(1, config)
	g.SetTargets(1, []message.StoredObject{{Name: "t", Revision: 1, Value: target}})
	for !g.Ready() {
		time.Sleep(time.Millisecond)
	}
	return g.Self().Address
}

// benchArrival is a new connection, which must be handed over.
type benchArrival struct {
	net.Conn
	b *testing.B
}

func (benchArrival) Organisation() (string, bool)      { return "", true }
func (benchArrival) AwaitOrganisation() (string, bool) { return "", true }
func (a benchArrival) Open() (net.Conn, error)         { return a.Conn, nil }
func (benchArrival) ReadAhead() []byte                 { return nil }
func (a benchArrival) ServeLocally() {
	a.b.Error("connection not handed over")
	_ = a.Close()
}

// benchHandover starts a sender that hands all connections over to an engine, which stands for the
// other router, and returns its address. utilisation is that of the sender, after the first
// connection.
func benchHandover(b *testing.B, utilisation float64) string {
	b.Helper()
	receiver, err := handover.Listen(context.Background(), "127.0.0.1:0", func() handover.Decline { return "" }, func() {})
	if err != nil {
		b.Fatal(err)
	}
	engine := httptest.NewUnstartedServer(streamer(benchEvents, benchEvents, eventPause))
	_ = engine.Listener.Close()
	engine.Listener = receiver
	engine.Start()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g := group.New(context.Background())
	var measured atomic.Int64
	control := func() float64 {
		if measured.Add(1) == 1 {
			return 1
		}
		return utilisation
	}
	limits := handover.Limits{Relays: 1000, Connecting: 1000}
	sender := handover.NewSender(g, limits, 0, metrics.ProcessorTime, control, logr.Discard())
	sender.SetSpacing(true)
	sender.SetCandidates([]handover.Candidate{{ID: "r", Address: receiver.Addr().String(), Cores: 1}})
	g.Go(func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			if a := (benchArrival{caller, b}); !sender.Take(a) {
				a.ServeLocally()
			}
		}
	})
	b.Cleanup(func() {
		_ = l.Close()
		g.Stop()
		engine.Close()
	})
	return l.Addr().String()
}
