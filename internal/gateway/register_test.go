package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/metrics"
)

// BenchmarkRegistration measures the processor time that each router spends while thousands of
// targets register within seconds, as after a start of the whole deployment.
func BenchmarkRegistration(b *testing.B) {
	const routers, targets, batch = 40, 10_000, 130
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var fleet []*gateway.Gateway
	var seeds []string
	var counts []*counters.Registry
	for i := range routers {
		counts = append(counts, counters.New())
		g, err := gateway.New(ctx, gateway.Options{
			ID: fmt.Sprint("reg-", i), Zone: fmt.Sprint("z", i%5), Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
			Seeds: seeds, Incarnation: incarnation.Add(1), Headers: headerNames, Codec: codec{}, Log: logr.Discard(),
			Metrics: counts[i], Limits: balance.Limits{QuotaWindow: time.Second},
		})
		if err != nil {
			b.Fatal(err)
		}
		defer g.Stop()
		fleet = append(fleet, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.Self().Peer)
		}
	}
	time.Sleep(2 * time.Second)
	began, used := time.Now(), metrics.ProcessorTime()
	for b.Loop() {
		revision := int64(0)
		for i := 0; i < targets; i += batch {
			var changes []catalog.Change
			for j := range batch {
				revision++
				value := fmt.Sprintf(`{"address":"10.128.%d.%d:8080","id":"i-%08x","models":[{"name":"m","version":1,"adapters":[]}],"seq":4,"service":"llm-pool","slots":64,"stage":"dual","state":"ready","version":"v1","zone":"hall-north"}`, (i+j)/250, (i+j)%250, uint32(i+j)*2654435761)
				changes = append(changes, catalog.Change{StoredObject: message.StoredObject{Name: fmt.Sprintf("i-%08x", uint32(i+j)*2654435761), Revision: revision, Value: []byte(value)}})
			}
			fleet[0].ChangeTargets(revision, changes)
			time.Sleep(100 * time.Millisecond)
		}
	}
	spent := metrics.ProcessorTime() - used
	var sent struct {
		Datagrams struct{ Sent, Bytes int64 }     `json:"peer_datagrams"`
		Streams   struct{ Messages, Bytes int64 } `json:"peer_messages"`
	}
	w := httptest.NewRecorder()
	counts[1].ServeHTTP(w, nil)
	if err := json.Unmarshal(w.Body.Bytes(), &sent); err != nil {
		b.Fatal(err)
	}
	seconds := time.Since(began).Seconds()
	b.ReportMetric(float64(sent.Datagrams.Sent)/seconds, "datagrams/s")
	b.ReportMetric(float64(sent.Datagrams.Bytes)/seconds, "datagram_bytes/s")
	b.ReportMetric(float64(sent.Streams.Bytes)/seconds, "stream_bytes/s")
	b.ReportMetric(100*spent.Seconds()/time.Since(began).Seconds()/routers, "percent_of_a_core/router")
}
