package handover

import (
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// declineAbove is the CPU utilisation above which a router declines connections of others. From
// there on it would hand its own connections over.
const declineAbove = handOverAbove

// Decline is why a router declines a connection; "" means that it accepts.
type Decline string

// The reasons for declining a connection.
const (
	// DeclinedOff means that the configuration or the settings switch the feature off, DeclinedBusy
	// that the router is short of CPU time, DeclinedNotReady that it is not ready or is leaving, and
	// DeclinedFull that it has as many connections as it may.
	DeclinedOff      Decline = "off"
	DeclinedBusy     Decline = "busy"
	DeclinedNotReady Decline = "not-ready"
	DeclinedFull     Decline = "full"
)

// Receiver is a listener for connections that other routers hand over. Use Listen to create one.
type Receiver struct {
	net.Listener
	// reserve decides whether the router serves another connection, and counts it if so.
	reserve func() Decline
	// release undoes a call of reserve.
	release  func()
	received atomic.Int64

	mu       sync.Mutex
	declined map[Decline]int64
}

// Listen opens a listener for connections that other routers hand over. reserve decides on each one,
// without blocking; release is called if a connection is lost after that.
func Listen(ctx context.Context, address string, reserve func() Decline, release func()) (*Receiver, error) {
	// Accepted connections inherit the options of the listener.
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: sockopt.UserTimeout(unackedTimeout)}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for handed-over connections on %s", address)
	}
	return &Receiver{Listener: l, reserve: reserve, release: release, declined: map[Decline]int64{}}, nil
}

// MayReceive reports whether a router at a CPU utilisation accepts connections of other routers.
func MayReceive(utilisation float64) bool { return utilisation <= declineAbove }

// Accept implements net.Listener. It returns the next connection that was accepted from another
// router, after telling that router. It closes those that are declined.
func (r *Receiver) Accept() (net.Conn, error) {
	for {
		c, err := r.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if why := r.reserve(); why != "" {
			r.countDeclined(why)
			_ = c.Close()
			continue
		}
		// The write does not block, since nothing was written before.
		if _, err := c.Write([]byte{accepted}); err != nil {
			r.release()
			_ = c.Close()
			continue
		}
		r.received.Add(1)
		return c, nil
	}
}

func (r *Receiver) countDeclined(why Decline) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.declined[why]++
}

// AddStats adds the counts of connections that other routers offered.
func (r *Receiver) AddStats(s Stats) Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Received, s.ReceivedDeclined = r.received.Load(), maps.Clone(r.declined)
	return s
}
