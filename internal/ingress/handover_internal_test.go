package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/room"
)

// TestReceivedBacklog guards against senders that together hand over more than a router has CPU time
// for, before its measured utilisation shows it.
func TestReceivedBacklog(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newTestServer(rejectedOnly{t}, false)
	in := receivedListener{l, s}
	defer in.Close()
	var accepted []net.Conn
	for s.room.ReserveReceived() {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "x")
		a, err := in.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, a)
	}
	if len(accepted) != room.MaxUnreadReceived || !s.ReceivesLate() {
		t.Fatalf("%d accepted, want %d; late: %v", len(accepted), room.MaxUnreadReceived, s.ReceivesLate())
	}
	// Reading one makes room, and so does closing one.
	if _, err := accepted[0].Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = accepted[0].Close()
	_ = accepted[1].Close()
	for i, want := range []bool{true, true, false} {
		if got := s.room.ReserveReceived(); got != want {
			t.Errorf("reservation %d: %v", i, got)
		}
	}
	s.ReleaseReceived()
	if s.ReceivesLate() {
		t.Error("a lost connection still counts")
	}
}

// delayingTaker gives connections back after a time.
type delayingTaker struct {
	group *group.Group
	delay time.Duration
}

func (delayingTaker) Wanted() bool { return true }

func (d delayingTaker) Take(a handover.Arrival) bool {
	if _, err := a.Open(); err != nil {
		return false
	}
	d.group.Go(func() {
		time.Sleep(d.delay)
		a.ServeLocally()
	})
	return true
}

// TestOffersCountAsWait guards against serving callers late that have waited for other routers.
func TestOffersCountAsWait(t *testing.T) {
	for name, c := range map[string]struct {
		delay    time.Duration
		short    bool
		rejected int64
	}{
		"short of CPU time, long offers":  {150 * time.Millisecond, true, 1},
		"short of CPU time, short offers": {0, true, 0},
		"not short, long offers":          {150 * time.Millisecond, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := newTestServer(ignoreAll{}, c.short)
			g := group.New(t.Context())
			defer g.Stop()
			defer checkAccount(t, s)
			s.HandOver(delayingTaker{g, c.delay})
			g.Go(func() { _ = s.Serve(l) })
			caller, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprint(caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			got, err := io.ReadAll(caller)
			if err != nil {
				t.Fatal(err)
			}
			if n := s.RejectedConnections(); n != c.rejected || strings.Contains(string(got), string(refusal.Overdue)) != (n > 0) {
				t.Errorf("%d rejected, want %d: %s", n, c.rejected, got)
			}
		})
	}
}

// ignoreAll is an observer that does nothing.
type ignoreAll struct{}

// RequestEnded implements Observer.
func (ignoreAll) RequestEnded(forward.Request, forward.Result, time.Duration) {}
