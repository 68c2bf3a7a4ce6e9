package handover

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
)

// testArrival is a new connection of an unknown organisation; local is closed if it is served locally.
type testArrival struct {
	conn  net.Conn
	local chan struct{}
}

func (testArrival) Organisation() (string, bool)      { return "", true }
func (testArrival) AwaitOrganisation() (string, bool) { return "", true }
func (a testArrival) Open() (net.Conn, error)         { return a.conn, nil }
func (testArrival) ReadAhead() []byte                 { return nil }
func (a testArrival) ServeLocally()                   { close(a.local) }

// TestOwnDelay guards against putting healthy routers aside because this one had no CPU time to
// notice that it was connected.
func TestOwnDelay(t *testing.T) {
	for name, c := range map[string]struct {
		delay     time.Duration
		backedOff int
	}{
		"in time": {0, 1},
		"delayed": {2 * dialTimeout, 0},
	} {
		t.Run(name, func(t *testing.T) {
			// This router never answers.
			silent, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer silent.Close()
			g := group.New(context.Background())
			defer g.Stop()
			s := NewSender(g, Limits{Relays: 1, Connecting: 1}, 0, func() time.Duration { return 0 }, func() float64 { return 1 }, logr.Discard())
			s.dialer.Control = func(string, string, syscall.RawConn) error {
				time.Sleep(c.delay)
				return nil
			}
			s.SetCandidates([]Candidate{{ID: "r", Address: silent.Addr().String(), Cores: 1}})
			caller, other := net.Pipe()
			defer caller.Close()
			defer other.Close()
			local := make(chan struct{})
			if !s.Take(testArrival{conn: caller, local: local}) {
				t.Fatal("not offered")
			}
			<-local
			if n := s.selector.BackedOff(clock.Now()); n != c.backedOff {
				t.Errorf("%d routers put aside, want %d", n, c.backedOff)
			}
			if got := s.Stats(); got.Failed != 1 {
				t.Errorf("%+v, want 1 failed", got)
			}
		})
	}
}
