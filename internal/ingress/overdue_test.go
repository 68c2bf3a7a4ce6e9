package ingress

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
)

// A router that is short of CPU time first reads connections up to two seconds after they were
// accepted. It must reject a connection that has waited too long, and new ones while one waits
// too long. A router that is not short of CPU time must reject none.
func TestOverdueConnectionIsRejected(t *testing.T) {
	for name, short := range map[string]bool{"short of processor time": true, "not short": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var served atomic.Int64
			s := newTestServer(rejectedOnly{t}, short)
			in := newListener(l, s)
			g := group.New(t.Context())
			defer g.Stop()
			defer in.Close()
			callers := make([]net.Conn, 2)
			for i := range callers {
				if callers[i], err = net.Dial("tcp", l.Addr().String()); err != nil {
					t.Fatal(err)
				}
				fmt.Fprint(callers[i], "x")
				if i == 0 {
					c, err := in.Accept()
					if err != nil {
						t.Fatal(err)
					}
					// The first read of the connection comes late.
					g.Go(func() {
						time.Sleep(200 * time.Millisecond)
						if _, err := c.Read(make([]byte, 1)); err == nil {
							served.Add(1)
						}
						_ = c.Close()
					})
					time.Sleep(100 * time.Millisecond)
				}
			}
			g.Go(func() {
				c, err := in.Accept()
				if err == nil {
					served.Add(1)
					_ = c.Close()
				}
			})
			for _, c := range callers {
				if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
					t.Fatal(err)
				}
				_, _ = c.Read(make([]byte, 1))
			}
			wantServed, wantRejected := int64(2), int64(0)
			if short {
				wantServed, wantRejected = 0, 2
			}
			if served.Load() != wantServed || s.RejectedConnections() != wantRejected {
				t.Errorf("%d served, %d rejected, want %d and %d", served.Load(), s.RejectedConnections(), wantServed, wantRejected)
			}
			if s.arrivals.Enqueue(time.Now().Add(time.Hour), true) == nil {
				t.Error("a closed connection still counts as waiting")
			}
		})
	}
}
