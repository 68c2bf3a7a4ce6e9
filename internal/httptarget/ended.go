package httptarget

import (
	"context"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

const (
	// probeTimeout bounds the time to connect of a probe. A refusal arrives within a round trip, which
	// takes some milliseconds between zones.
	probeTimeout = 100 * time.Millisecond
	// A process that was killed may go on to accept connections for a while: the kernel closes its sockets
	// one after another, the listening one about last. Therefore the check is repeated exitChecks times, an
	// interval apart, with at most maxExitProbes attempts to connect: a target that has no room resets the
	// connection or lets the attempt time out, and so does a pause of this process. On a busy machine, pauses make
	// the whole longer, like the end of a process there.
	exitChecks        = 5
	exitCheckInterval = 5 * time.Millisecond
	maxExitProbes     = 3
)

// errProcessExited is why an answer that ended with its connection is not complete.
var errProcessExited = errors.New("connection was closed as the process exited")

// unframedEnd returns io.EOF if a body without a length that ended with its connection is complete. The kernel
// closes the connections of a process that was killed as the process itself does at the end of an answer, so that
// the end counts only if the process goes on and the connection has not been reset. A process that goes on may refuse
// connections, to finish what it has begun.
func (a *Answer) unframedEnd() error {
	if a.cut != nil {
		return a.cut
	}
	a.transport.unframedAnswers.Add(1)
	a.cut = a.brokenWrite()
	if a.cut == nil && a.transport.exits(a.ctx, a.conn.endpoint) {
		a.cut = errProcessExited
	}
	if a.cut == nil {
		return io.EOF
	}
	a.transport.cutUnframedAnswers.Add(1)
	return a.cut
}

// brokenWrite returns the error of another goroutine's write of the body if it tells that the connection broke:
// the kernel reports a reset once, and an end of input from then on. EPIPE only tells that the target had closed the
// connection before that.
func (a *Answer) brokenWrite() error {
	if a.bodyWritten == nil {
		return nil
	}
	if sockopt.Closed(a.conn.Conn) {
		<-a.bodyWritten
	}
	select {
	case <-a.bodyWritten:
	default:
		return nil
	}
	if errors.Is(a.writeErr, syscall.EPIPE) {
		return nil
	}
	return errors.Wrap(a.writeErr, "write request")
}

// exitCheck is a check that began at a time.
type exitCheck struct {
	exited bool
	began  time.Time
}

// exits reports whether the process of a target that has closed a connection has exited or is about to: whether
// it refuses connections within some time, and is not seen to go on with other answers. An unused connection that stays
// open shows that it goes on, too. Concurrent calls for the same process share their checks.
func (t *Transport) exits(ctx context.Context, e endpoint) bool {
	called := clock.Now()
	for {
		v, _, _ := t.exitChecks.Do(e.address+" "+e.instance, func() (any, error) { return t.checkExit(ctx, e), nil })
		// That the process ran when an earlier check began tells nothing about this call.
		if c := v.(exitCheck); c.exited || !c.began.Before(called) {
			return c.exited
		}
	}
}

func (t *Transport) checkExit(ctx context.Context, e endpoint) exitCheck {
	ctx = context.WithoutCancel(ctx)
	c := exitCheck{began: clock.Now()}
	probes := 0
	for i := range exitChecks {
		if i > 0 {
			group.SleepUntil(ctx, clock.Now().Add(exitCheckInterval))
		}
		if t.hasOpenIdle(e) {
			continue
		}
		if probes++; probes > maxExitProbes {
			break
		}
		if t.probe(ctx, e) {
			c.exited = !t.delivers(ctx, e)
			break
		}
	}
	return c
}

// hasOpenIdle reports whether there is an unused connection to a process that is open.
func (t *Transport) hasOpenIdle(e endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.idle[e], (*conn).quiet)
}

// ProcessExited reports whether the process of a target has exited: it probes the target with a
// connection, and a refused one counts as an exit. Concurrent calls for the same process, as
// when a target breaks off many answers at once, share one probe. A connection that is made is
// kept for reuse.
func (t *Transport) ProcessExited(ctx context.Context, address, instance string) bool {
	e := endpoint{address, instance}
	exited, _, _ := t.probes.Do(address+" "+instance, func() (any, error) { return t.probe(ctx, e), nil })
	return exited.(bool)
}

func (t *Transport) probe(ctx context.Context, e endpoint) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	raw, err := t.dialer.DialContext(ctx, "tcp", e.address)
	if err != nil {
		t.dialFailed.Add(1)
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	t.dialled.Add(1)
	t.putIdle(newConn(raw, e))
	return false
}
