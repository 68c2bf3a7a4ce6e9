package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/freshness"
	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/metrics"
)

const (
	// agesLimit is the age at which a copy is too old, agesPeriod the time between two answers of the
	// store to a router that watches it.
	agesLimit  = 900 * time.Millisecond
	agesPeriod = 1300 * time.Millisecond
	// agesZones is the number of availability zones of large fleets.
	agesZones = 5
)

// agesFleet is an idle fleet whose store is simulated: it has one configuration and answers at once.
type agesFleet struct {
	routers []*gateway.Gateway
	counts  []*counters.Registry
	// silent is set while routers that watch the store get no answers, unavailable while no router
	// does.
	silent, unavailable atomic.Bool
	// reads counts the calls of routers whose copy was too old.
	reads atomic.Int64
}

func newAgesFleet(ctx context.Context, b *testing.B, background *group.Group, size int) *agesFleet {
	f := &agesFleet{}
	var seeds []string
	for i := range size {
		f.counts = append(f.counts, counters.New())
		g, err := gateway.New(ctx, gateway.Options{
			ID: fmt.Sprint("ages-", i), Zone: fmt.Sprint("z", i%min(agesZones, max(size/3, 1))), Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
			Seeds: seeds, Incarnation: incarnation.Add(1), Headers: headerNames, Codec: codec{}, Log: logr.Discard(), Metrics: f.counts[i],
			Limits: balance.Limits{QuotaWindow: time.Second}, CopyLimits: freshness.Limits{message.StoreConfig: agesLimit},
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(g.Stop)
		f.routers = append(f.routers, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.Self().Peer)
		}
	}
	config, err := json.Marshal(spec(1))
	if err != nil {
		b.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	for _, g := range f.routers {
		g.SetConfig(1, config)
		g.SetTargets(1, nil)
		background.GoContext(func(ctx context.Context) { f.read(ctx, g) })
	}
	return f
}

// read reads the store as a router should.
func (f *agesFleet) read(ctx context.Context, g *gateway.Gateway) {
	var due time.Time
	for group.SleepUntil(ctx, clock.Now().Add(20*time.Millisecond)) {
		now := clock.Now()
		duty := g.StoreDuty(ctx)
		if !duty.Watch {
			due = time.Time{}
		} else if due.IsZero() {
			due = now.Add(time.Duration(duty.Phase * float64(agesPeriod)))
		}
		switch {
		case duty.Watch && !now.Before(due):
			due = now.Add(agesPeriod)
			if !f.silent.Load() && !f.unavailable.Load() {
				g.StoreConfirmed(message.StoreConfig, now)
			}
		case duty.Read[message.StoreConfig]:
			f.reads.Add(1)
			if !f.unavailable.Load() {
				g.StoreConfirmed(message.StoreConfig, now)
				continue
			}
			group.SleepUntil(ctx, clock.Now().Add(2*time.Second))
		}
	}
}

// maxAge returns the greatest age of a copy, looked at for a while.
func (f *agesFleet) maxAge(b *testing.B, look time.Duration) time.Duration {
	worst := time.Duration(0)
	var mu sync.Mutex
	for end := time.Now().Add(look); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var wait sync.WaitGroup
		for part := range slices.Chunk(f.counts, 64) {
			wait.Go(func() {
				for _, m := range part {
					age := copyAge(b, m)
					mu.Lock()
					worst = max(worst, age)
					mu.Unlock()
				}
			})
		}
		wait.Wait()
	}
	return worst
}

// agesValues are the metrics of one router that matter here.
type agesValues struct {
	Copies map[string]struct {
		AgeMS int64 `json:"age_ms"`
	} `json:"store_copies"`
	Datagrams struct{ Bytes, Sent int64 } `json:"peer_datagrams"`
}

func readAges(b *testing.B, m *counters.Registry) agesValues {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	var values agesValues
	if err := json.Unmarshal(w.Body.Bytes(), &values); err != nil {
		b.Error(err)
	}
	return values
}

func copyAge(b *testing.B, m *counters.Registry) time.Duration {
	return time.Duration(readAges(b, m).Copies["config"].AgeMS) * time.Millisecond
}

// sentBytes returns the number of bytes that all routers have sent as datagrams.
func (f *agesFleet) sentBytes(b *testing.B) int64 {
	sum := int64(0)
	for _, m := range f.counts {
		sum += readAges(b, m).Datagrams.Bytes
	}
	return sum
}

// BenchmarkCopyAges measures how old copies of the store get in idle fleets, and how many routers
// read the store itself: while three watch it, while these get no answers, and while no router does.
func BenchmarkCopyAges(b *testing.B) {
	for _, size := range []int{8, 91, 295, 630} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			background := group.New(ctx)
			defer background.Stop()
			defer cancel()
			f := newAgesFleet(ctx, b, background, size)
			time.Sleep(3 * time.Second)
			for b.Loop() {
				const look = 5 * time.Second
				bytes := f.sentBytes(b)
				began, used, reads := time.Now(), metrics.ProcessorTime(), f.reads.Load()
				time.Sleep(look)
				b.ReportMetric(float64(f.sentBytes(b)-bytes)/look.Seconds()/float64(size), "sent_bytes/s/router")
				spent := metrics.ProcessorTime() - used
				b.ReportMetric(100*spent.Seconds()/time.Since(began).Seconds()/float64(size), "percent_of_a_core/router")
				b.ReportMetric(float64(f.reads.Load()-reads)/look.Seconds(), "reads/s")
				b.ReportMetric(float64(f.maxAge(b, look).Milliseconds()), "max_age_ms")
				f.silent.Store(true)
				reads = f.reads.Load()
				b.ReportMetric(float64(f.maxAge(b, look).Milliseconds()), "max_age_silent_ms")
				b.ReportMetric(float64(f.reads.Load()-reads)/look.Seconds(), "reads_silent/s")
				f.silent.Store(false)
				time.Sleep(2 * time.Second)
				reads = f.reads.Load()
				f.unavailable.Store(true)
				time.Sleep(look)
				b.ReportMetric(float64(f.reads.Load()-reads), "reads_in_5s_unavailable")
				f.unavailable.Store(false)
				time.Sleep(2 * time.Second)
			}
		})
	}
}
