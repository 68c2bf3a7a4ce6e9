package handover

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// declineAbove is the CPU utilisation above which a router declines connections of others. From
// there on it would hand its own connections over.
const declineAbove = handOverAbove

// Receiver is a listener for connections that other routers hand over. Use Listen to create one.
type Receiver struct {
	net.Listener
	// reserve reports whether the router may serve another connection, and counts it if so.
	reserve func() bool
	// release undoes a call of reserve.
	release            func()
	received, declined atomic.Int64
}

// Listen opens a listener for connections that other routers hand over. reserve decides on each one,
// without blocking; release is called if a connection is lost after that.
func Listen(ctx context.Context, address string, reserve func() bool, release func()) (*Receiver, error) {
	// Accepted connections inherit the options of the listener.
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: sockopt.UserTimeout(unackedTimeout)}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for handed-over connections on %s", address)
	}
	return &Receiver{Listener: l, reserve: reserve, release: release}, nil
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
		if !r.reserve() {
			r.declined.Add(1)
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

// AddStats adds the counts of received connections.
func (r *Receiver) AddStats(s Stats) Stats {
	s.Received, s.ReceivedDeclined = r.received.Load(), r.declined.Load()
	return s
}
