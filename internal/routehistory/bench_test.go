package routehistory_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// manyRoutes returns a configuration of 5,000 routes, of which some lead to a service of their own or to the next one.
func manyRoutes(b testing.TB, moved, turn int) *routing.Table {
	b.Helper()
	var routes []routing.Route
	for i := range 5000 {
		service := i
		if i < moved {
			service += turn % 2
		}
		routes = append(routes, stream(fmt.Sprintf("/%d/", i), only(fmt.Sprint("service-", service))))
	}
	table, err := routing.New(routing.Spec{Routes: routes})
	if err != nil {
		b.Fatal(err)
	}
	return table
}

// BenchmarkStorm plays a minute of ten configurations a second, of which each moves some of 5,000 routes.
func BenchmarkStorm(b *testing.B) {
	for _, moved := range []int{0, 1, 50, 5000} {
		b.Run(fmt.Sprint(moved), func(b *testing.B) {
			tables := []*routing.Table{manyRoutes(b, moved, 0), manyRoutes(b, moved, 1)}
			var before, after runtime.MemStats
			for range 2 {
				runtime.GC()
			}
			runtime.ReadMemStats(&before)
			now := time.Unix(1000, 0)
			h := routehistory.New(now, keep)
			h.Restore(now, nil, nil)
			b.ResetTimer()
			for i := range b.N {
				if i%600 == 0 {
					h = routehistory.New(now, keep)
				}
				now = now.Add(100 * time.Millisecond)
				h.Set(now, tables[i%2])
			}
			b.StopTimer()
			for i := range 600 {
				now = now.Add(100 * time.Millisecond)
				h.Set(now, tables[i%2])
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1e6, "MB")
			b.ReportMetric(float64(len(h.Uses(now))), "uses")
			runtime.KeepAlive(tables)
		})
	}
}

func BenchmarkServices(b *testing.B) {
	now := time.Unix(1000, 0)
	h := routehistory.New(now, keep)
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		h.Set(now, manyRoutes(b, 50, i))
	}
	for b.Loop() {
		h.Services(now, "h", "/7/a/b/c", "id", "service-7")
	}
}

// BenchmarkMoves asks for moves in all goroutines, alone and while another one puts ten configurations a second in force.
func BenchmarkMoves(b *testing.B) {
	for name, interval := range map[string]time.Duration{"alone": 0, "beside changes": 100 * time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			now := time.Unix(1000, 0)
			h := routehistory.New(now, keep)
			tables := []*routing.Table{manyRoutes(b, 50, 0), manyRoutes(b, 50, 1)}
			change := func(i int) {
				now = now.Add(100 * time.Millisecond)
				h.Set(now, tables[i%2])
			}
			for i := range 3 {
				change(i)
			}
			m, g := h.Moves(), group.New(b.Context())
			if interval > 0 {
				g.GoContext(func(ctx context.Context) {
					for i := 3; group.SleepUntil(ctx, time.Now().Add(interval)); i++ {
						change(i)
					}
				})
			}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					m.Services("h", "/7/a/b/c", "id", "service-7")
				}
			})
			g.Stop()
		})
	}
}
