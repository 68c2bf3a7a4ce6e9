package httptarget

import (
	"context"
	"io"
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
	// one after another, the listening one about last. Therefore it is probed after exitChecks intervals, which take
	// longer on a busy machine, like the end of a process there. maxExitProbes bounds the attempts to connect: a
	// target that has no room resets the connection or lets the attempt time out, and so does a pause of this process.
	exitChecks        = 4
	exitCheckInterval = 5 * time.Millisecond
	maxExitProbes     = 3
)

// errProcessExited is why an answer that ended with its connection is not complete.
var errProcessExited = errors.New("connection was closed as the process exited")

// errEndUnknown means that the exchange was cancelled before it was known whether its answer is complete.
var errEndUnknown = errors.New("not known whether the answer is complete")

// unframedEnd returns io.EOF if a body without a length that ended with its connection is complete. The kernel
// closes the connections of a process that was killed as the process itself does at the end of an answer, so that
// the end counts only if the process goes on and the connection has not been reset. A process that goes on may refuse
// connections, to finish what it has begun. Another process may accept them at once: if all other connections to
// the target have ended in the same moment, and nothing foretold that, its process has ended.
func (a *Answer) unframedEnd() error {
	if a.cut != nil {
		return a.cut
	}
	ended, plainly := endOf(a.conn)
	a.transport.unframedAnswers.Add(1)
	a.evidence, a.cut = ByReset, a.brokenWrite()
	if a.cut == nil {
		a.evidence, a.cut = a.transport.checkExited(a.ctx, a.conn.endpoint)
	}
	if a.cut == nil && plainly && a.transport.endedWithAll(ended) {
		a.evidence, a.cut = ByOtherEnds, errProcessExited
	}
	a.transport.countEnd(a.evidence)
	if a.cut == nil {
		return io.EOF
	}
	if a.ctx.Err() == nil {
		a.transport.cutUnframedAnswers.Add(1)
	}
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
	exited   bool
	evidence Evidence
	began    time.Time
}

// checkExited returns errProcessExited if the process of a target that has closed a connection has exited or is about
// to, or errEndUnknown if ctx ends before that is known. What counts, the first that is known:
//
//  1. It accepts a new connection, once the kernel would have closed the listening socket of a process that was
//     killed, and keeps it open: it goes on.
//  2. It refuses one, and sends more on a connection in use, see delivers: it goes on.
//  3. It refuses one: it has exited.
//  4. It neither keeps a connection nor refuses one: it goes on, and has no room.
//
// That other connections are open tells nothing, used or not, since their ends may have been lost on the way: the kernel
// repeats them after 200 ms at the earliest, and a reset never. Concurrent calls for the same process share their checks.
func (t *Transport) checkExited(ctx context.Context, e endpoint) (Evidence, error) {
	called := clock.Now()
	for {
		checked := make(chan exitCheck, 1)
		t.group.Go(func() {
			v, _, _ := t.exitChecks.Do(e.address+" "+e.instance, func() (any, error) { return t.checkExit(ctx, e), nil })
			checked <- v.(exitCheck)
		})
		select {
		case <-ctx.Done():
			return ByNothing, errors.Wrapf(errEndUnknown, "check whether the process has exited: %v", context.Cause(ctx))
		case c := <-checked:
			if c.exited {
				return c.evidence, errProcessExited
			}
			// That the process ran when an earlier check began tells nothing about this call.
			if !c.began.Before(called) {
				return c.evidence, nil
			}
		}
	}
}

func (t *Transport) checkExit(ctx context.Context, e endpoint) exitCheck {
	ctx = context.WithoutCancel(ctx)
	c := exitCheck{began: clock.Now(), evidence: ByNothing}
	for range exitChecks {
		group.SleepUntil(ctx, clock.Now().Add(exitCheckInterval))
	}
	for range maxExitProbes {
		made, err := t.probe(ctx, e)
		if errors.Is(err, syscall.ECONNREFUSED) {
			if c.evidence = ByBytes; !t.delivers(ctx, e) {
				c.exited, c.evidence = true, ByRefusal
			}
			break
		}
		if err != nil {
			continue
		}
		group.SleepUntil(ctx, clock.Now().Add(exitCheckInterval))
		if !sockopt.RemoteClosed(made.Conn) {
			c.evidence = ByConnection
			break
		}
	}
	return c
}

// ProcessExited reports whether the process of a target has exited, or closed its listener, and since when at the
// latest: it probes the target with a connection, and a refused one counts. Concurrent calls for the same process, as
// when a target breaks off many answers at once, share one probe. A connection that is made is
// kept for reuse.
func (t *Transport) ProcessExited(ctx context.Context, address, instance string) (refusedAt time.Time, exited bool) {
	e := endpoint{address, instance}
	v, _, _ := t.probes.Do(address+" "+instance, func() (any, error) {
		c := exitCheck{began: clock.Now()}
		_, err := t.probe(ctx, e)
		c.exited = errors.Is(err, syscall.ECONNREFUSED)
		return c, nil
	})
	if c := v.(exitCheck); c.exited {
		return c.began, true
	}
	return time.Time{}, false
}

// probe makes a connection to a process, which is kept for reuse.
func (t *Transport) probe(ctx context.Context, e endpoint) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	raw, err := t.dialer.DialContext(ctx, "tcp", e.address)
	if err != nil {
		t.dialFailed.Add(1)
		return nil, err
	}
	t.dialled.Add(1)
	c := newConn(raw, e)
	t.putIdle(c)
	return c, nil
}
