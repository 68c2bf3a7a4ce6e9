package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/metrics"
)

// streamEvents answers each request on a connection with events 50 ms apart.
func streamEvents(c net.Conn, count int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get(headerNames.RequestID))
		for i := range count {
			event := fmt.Sprintf("id: %d\ndata: %050d\n\n", i+1, i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(50 * time.Millisecond)
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// BenchmarkStreams measures the CPU time of 100 concurrent streams of 40 events, including that of
// the engine and the callers: 2.2 ms per stream if each event is forwarded by itself, and 1.8 ms
// if the router is short of CPU time and coalesces events.
func BenchmarkStreams(b *testing.B) {
	const streams, length = 100, 40
	cases := map[string]struct {
		cores   float64
		buffers feature.Switch
	}{
		"enough CPU time":             {buffers: feature.Off},
		"enough CPU time, buffered":   {buffers: feature.On},
		"short of CPU time":           {cores: 0.001, buffers: feature.Off},
		"short of CPU time, buffered": {cores: 0.001, buffers: feature.On},
	}
	for name, c := range cases {
		b.Run(name, func(b *testing.B) {
			g, err := gateway.New(context.Background(), gateway.Options{
				ID: "r", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Incarnation: 1, Capacity: c.cores,
				Headers: headerNames, Codec: codec{}, Log: logr.Discard(), Metrics: counters.New(),
				Features: feature.Set{AnswerBuffers: c.buffers},
				Limits:   balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second},
			})
			if err != nil {
				b.Fatal(err)
			}
			defer g.Stop()
			engine, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			background := group.New(context.Background())
			defer background.Stop()
			defer engine.Close()
			background.Go(func() {
				for {
					c, err := engine.Accept()
					if err != nil {
						return
					}
					background.Go(func() { streamEvents(c, length) })
				}
			})
			configuration := spec(1)
			for i := range configuration.Routes {
				configuration.Routes[i].MaxPause = 400 * time.Millisecond
			}
			g.SetConfig(1, asJSON(b, configuration))
			target := balance.Target{ID: "e", Service: "s", Address: engine.Addr().String(), Zone: "z", Slots: streams}
			g.SetTargets(2, []message.StoredObject{{Name: "e", Revision: 2, Value: asJSON(b, target)}})
			for !g.Ready() {
				time.Sleep(time.Millisecond)
			}
			used := metrics.ProcessorTime()
			for b.Loop() {
				var wait sync.WaitGroup
				for i := range streams {
					wait.Go(func() { readStream(b, g.Self().Address, i) })
				}
				wait.Wait()
			}
			spent := metrics.ProcessorTime() - used
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N*streams)/1000, "ms_processor/stream")
			g.Stop()
		})
	}
}

func readStream(b *testing.B, address string, id int) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Error(err)
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Id: r%d\r\nX-Wait-Ms: 9000\r\nAuthorization: Bearer key\r\nContent-Length: 1\r\n\r\nx", id)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		b.Error(err)
		return
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		b.Error(res.Status, err)
	}
}

func asJSON(b *testing.B, v any) []byte {
	b.Helper()
	out, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return out
}
