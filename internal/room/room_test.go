package room_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stepcroft/stepcroft/internal/arrivals"
	"github.com/stepcroft/stepcroft/internal/room"
)

// newRoom returns a room of a router that is never short of CPU time.
func newRoom(limit int) *room.Room {
	return room.New(limit, arrivals.New(), func() bool { return false })
}

// enter admits a connection that has been read, of another router if handedOver is set.
func enter(t *testing.T, r *room.Room, handedOver bool) *room.Place {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	p := &room.Place{}
	switch {
	case !handedOver:
		if !r.Reserve() {
			t.Fatal("no room")
		}
		r.Admit(p, c, r.Accept())
	case r.ReserveReceived():
		r.AdmitReceived(p, c)
	default:
		t.Fatal("no room for a connection of another router")
	}
	if p.Dequeue() || !p.MarkInUse() {
		t.Fatal("to be closed at its first read")
	}
	return p
}

func TestWhichConnectionMakesRoom(t *testing.T) {
	for name, c := range map[string]struct {
		// handedOver tells of each connection whether another router handed it over, idle are those that become idle in turn.
		handedOver []bool
		idle       []int
		evicted    int
	}{
		"the one idle for longest":               {make([]bool, 4), []int{2, 0}, 2},
		"none if all are in use":                 {make([]bool, 4), nil, -1},
		"one of another router if half are such": {[]bool{false, true, true, false}, []int{0, 2}, 2},
		"none of a caller's own then":            {[]bool{false, true, true, false}, []int{0, 3}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRoom(len(c.handedOver))
			places := make([]*room.Place, len(c.handedOver))
			for i, handedOver := range c.handedOver {
				places[i] = enter(t, r, handedOver)
			}
			for _, i := range c.idle {
				places[i].MarkIdle()
			}
			if got := r.ReserveReceived(); got != (c.evicted >= 0) {
				t.Error("room for another one:", got)
			}
			for i, p := range places {
				if p.Evicted() != (i == c.evicted) {
					t.Errorf("connection %d: evicted %t", i, p.Evicted())
				}
			}
			if open, _ := r.Counts(); open != len(places) {
				t.Error(open, "connections open")
			}
		})
	}
}

// TestEndsOfConnections guards against a request that begins on a connection that has ended, and one in use that ends.
func TestEndsOfConnections(t *testing.T) {
	for name, end := range map[string]func(r *room.Room){
		"the server shuts down":  (*room.Room).End,
		"another router leaves":  func(r *room.Room) { r.EndReceived(map[netip.Addr]bool{}) },
		"half are handed over":   func(r *room.Room) { r.ReserveReceived() },
		"no router leaves after": func(r *room.Room) { r.EndReceived(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRoom(4)
			idle, used := enter(t, r, true), enter(t, r, true)
			idle.MarkIdle()
			end(r)
			ends := name != "no router leaves after"
			if idle.Evicted() != ends || used.Evicted() {
				t.Errorf("evicted: idle %t, in use %t", idle.Evicted(), used.Evicted())
			}
			if idle.MarkInUse() == ends {
				t.Error("another request begins:", !ends)
			}
		})
	}
}

// TestCloseIsLeft guards against a close by the HTTP server, as it shuts down, of a connection on which a request may
// have arrived behind the last answer.
func TestCloseIsLeft(t *testing.T) {
	r := newRoom(1)
	p := enter(t, r, false)
	p.EndHead()
	if p.LeaveOpen() {
		t.Error("left open while the server runs")
	}
	r.End()
	r.Stop()
	if !p.LeaveOpen() || r.Lasting() != 1 {
		t.Fatal("not left open")
	}
	p.MarkIdle()
	if leftOpen, refuses := p.FinishClose(true); !leftOpen || !refuses {
		t.Errorf("left open %t, refuses %t", leftOpen, refuses)
	}
	p.EndLast()
	if toClose, _ := p.Release(); toClose || r.Lasting() != 0 {
		t.Error("closed twice, or never")
	}
}
