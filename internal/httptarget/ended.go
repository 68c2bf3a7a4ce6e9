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
	// A process that exits may go on for a moment after it has closed a connection, and so may the ends of its other
	// connections. Therefore it is asked after endChecks intervals, which take longer on a busy machine, like the end
	// of a process there.
	endChecks        = 4
	endCheckInterval = 5 * time.Millisecond
	// maxAsks bounds the attempts to ask a process, as one that has no room resets connections. The next one begins after
	// askInterval without an answer, while those before go on.
	maxAsks     = 3
	askInterval = 100 * time.Millisecond
	// witnessTimeout bounds how long a process has to show that it goes on. Callers wait as long for the end of an
	// answer, but not for any part of it.
	witnessTimeout = 500 * time.Millisecond
)

var (
	// ErrOtherProcess means that another process than the one of a request has answered.
	ErrOtherProcess = errors.New("another process listens at the target's address")
	// errReset is why an answer that ended with its connection is not complete: it was reset.
	errReset = errors.New("connection was reset")
	// errNoWitness is why such an answer counts as cut: nothing shows that its target's process has gone on since.
	errNoWitness = errors.New("connection was closed and the process is not known to go on")
	// errClosedTogether is why such an answer counts as cut: all others of the process ended in the same moment.
	errClosedTogether = errors.New("connection was closed together with all others to the process")
	// errEndUnknown means that the exchange was cancelled before it was known whether its answer is complete.
	errEndUnknown = errors.New("not known whether the answer is complete")
)

// Witness asks the process that a request was sent to whether it goes on. It returns nil if that process has answered,
// ErrOtherProcess if another one has, and another error if nobody has. An answer need not name the process
// if it came on a connection that was made before a time and on which the process had answered, see IsConnectionKnown. If
// that time is zero, the answer is for later ones on its connection, and the question has to be apart.
type Witness func(ctx context.Context, before time.Time) error

// unframedEnd returns io.EOF if a body without a length that ended with its connection is complete. The kernel closes
// the connections of a process that was killed as the process itself does at the end of an answer, and other processes,
// relays and the kernel may accept new ones in its place. Therefore the end counts only if the connection has not
// been reset, the same process has shown since that it goes on, and other answers of the process did not end with it.
func (a *Answer) unframedEnd() error {
	if a.cut != nil {
		return a.cut
	}
	ended, plainly := endOf(a.conn)
	a.transport.unframedAnswers.Add(1)
	if plainly {
		a.transport.noteUnframedEnd(ended)
	}
	a.evidence, a.cut = a.findEnd(ended, plainly)
	a.transport.countEnd(a.evidence)
	if a.cut == nil {
		return io.EOF
	}
	if a.ctx.Err() == nil {
		a.transport.cutUnframedAnswers.Add(1)
	}
	return a.cut
}

// findEnd returns why an answer that ended with its connection is not complete, nil if it is, and what shows that.
func (a *Answer) findEnd(ended end, plainly bool) (Evidence, error) {
	if err := a.reset(); err != nil {
		return ByReset, err
	}
	evidence, err := a.transport.findWitness(a.ctx, a.conn.endpoint, a.witness, a.runningAt(ended, plainly))
	if err == nil && plainly && a.transport.endedTogether(ended) {
		return ByOtherEnds, errClosedTogether
	}
	return evidence, err
}

// runningAt returns a time, as late as is known, at which the process of an answer that ended had not ended.
func (a *Answer) runningAt(e end, plainly bool) time.Time {
	if plainly && a.bodyWritten == nil {
		return e.at.Add(-maxTick)
	}
	// Since the end, a reset may have arrived, or the receipt of more of the body.
	ago, ok := sockopt.LastDataFor(a.conn.Conn)
	if !ok {
		return time.Time{}
	}
	return clock.Now().Add(-ago - maxTick)
}

// reset returns an error if the connection was reset rather than closed. Another goroutine's write of the body may have
// been told of the reset, as the kernel reports it once, and an end of input from then on. EPIPE only tells
// that the target had closed the connection before that.
func (a *Answer) reset() error {
	if sockopt.Closed(a.conn.Conn) {
		if a.bodyWritten != nil {
			<-a.bodyWritten
		}
		if !errors.Is(a.writeErr, syscall.EPIPE) && sockopt.WasReset(a.conn.Conn) {
			return errors.Wrap(errReset, "read answer")
		}
	}
	if !a.requestWritten() && a.writeFailed() && !errors.Is(a.writeErr, syscall.EPIPE) {
		return errors.Wrap(a.writeErr, "write request")
	}
	return nil
}

// exitCheck is a check that began at a time, err is why the process is not known to go on.
type exitCheck struct {
	err      error
	evidence Evidence
	began    time.Time
}

// findWitness returns an error if the process of a target that has closed a connection after a time is not known to go on,
// or errEndUnknown if ctx ends before that is known. What shows that it does:
//
//  1. It answers, see Witness, once a process that was exiting would have ended.
//  2. Nobody else answers, and it sends more on another connection in use, see deliveries.
//
// That a connection is accepted tells nothing, nor that others are open, used or not: their ends may have been lost on
// the way, as the kernel repeats them after 200 ms at the earliest, and a reset never. Concurrent calls for the same
// process share their checks.
func (t *Transport) findWitness(ctx context.Context, e endpoint, w Witness, before time.Time) (Evidence, error) {
	called := clock.Now()
	for {
		checked := make(chan exitCheck, 1)
		t.group.Go(func() {
			v, _, _ := t.exitChecks.Do(e.address+" "+e.instance, func() (any, error) {
				return t.checkExit(context.WithoutCancel(ctx), e, w, before), nil
			})
			checked <- v.(exitCheck)
		})
		select {
		case <-ctx.Done():
			return ByNothing, errors.Wrapf(errEndUnknown, "check whether the process has exited: %v", context.Cause(ctx))
		case c := <-checked:
			// That the process went on when an earlier check began tells nothing about this call.
			if c.err != nil || !c.began.Before(called) {
				return c.evidence, c.err
			}
		}
	}
}

// checkExit checks whether a process goes on that closed connections after a time.
func (t *Transport) checkExit(ctx context.Context, e endpoint, w Witness, before time.Time) exitCheck {
	c := exitCheck{began: clock.Now()}
	for range endChecks {
		group.SleepUntil(ctx, clock.Now().Add(endCheckInterval))
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	q := &questions{transport: t, ctx: ctx, witness: w, before: before, answers: make(chan error, maxAsks)}
	others := t.connsInUse(e, before)
	q.ask()
	for {
		group.SleepUntil(ctx, clock.Now().Add(endCheckInterval))
		pending, answer := q.check()
		sends, open := others.look()
		switch {
		case answer == nil:
			c.evidence = ByAnswer
		case errors.Is(answer, ErrOtherProcess):
			c.evidence, c.err = ByOtherProcess, answer
		case sends:
			c.evidence = ByBytes
		case ctx.Err() == nil && (pending || open):
			continue
		case errors.Is(answer, ErrConnectionRefused):
			c.evidence, c.err = ByRefusal, errors.Wrap(errNoWitness, answer.Error())
		default:
			c.evidence, c.err = ByNothing, errors.Wrap(errNoWitness, answer.Error())
		}
		return c
	}
}

// errNotAnswered means that nobody has answered a question so far.
var errNotAnswered = errors.New("no answer")

// questions asks a process whether it goes on, a few times. It is used by one goroutine.
type questions struct {
	transport *Transport
	ctx       context.Context
	witness   Witness
	before    time.Time
	// answers are those to come; asked is the number of questions, the last of them at askedAt, and failed that of those
	// without an answer.
	answers       chan error
	asked, failed int
	askedAt       time.Time
	// last is why the last one that failed did, and refused is set if a connection was refused.
	last    error
	refused bool
}

func (q *questions) ask() {
	if q.witness == nil {
		q.asked, q.failed, q.last = maxAsks, maxAsks, errors.New("target cannot be asked")
		return
	}
	q.asked, q.askedAt = q.asked+1, clock.Now()
	q.transport.group.Go(func() { q.answers <- q.witness(q.ctx, q.before) })
}

// check returns no error if the process has answered, ErrOtherProcess if another one has, or else why not so far and
// whether one still may. It asks again if the last question has failed, or has not been answered for a time.
func (q *questions) check() (pending bool, err error) {
	for {
		select {
		case err := <-q.answers:
			if err == nil || errors.Is(err, ErrOtherProcess) {
				return false, err
			}
			q.failed, q.last = q.failed+1, err
			q.refused = q.refused || errors.Is(err, ErrConnectionRefused)
			continue
		default:
		}
		if q.asked < maxAsks && !q.refused && (q.failed == q.asked || clock.Since(q.askedAt) >= askInterval) {
			q.ask()
		}
		if q.last == nil {
			return true, errNotAnswered
		}
		return q.failed < q.asked, q.last
	}
}

// ProcessExited reports whether the process of a target has exited, or closed its listener, and since when at the
// latest: it probes the target with a connection, and a refused one counts. Concurrent calls for the same process, as
// when a target breaks off many answers at once, share one probe. A connection that is made is
// kept for reuse.
func (t *Transport) ProcessExited(ctx context.Context, address, instance string) (refusedAt time.Time, exited bool) {
	e := endpoint{address, instance}
	v, _, _ := t.probes.Do(address+" "+instance, func() (any, error) {
		began := clock.Now()
		if _, err := t.probe(ctx, e); !errors.Is(err, syscall.ECONNREFUSED) {
			return time.Time{}, nil
		}
		return began, nil
	})
	refusedAt = v.(time.Time)
	return refusedAt, !refusedAt.IsZero()
}

// probe makes a connection to a process, which is kept for reuse.
func (t *Transport) probe(ctx context.Context, e endpoint) (*conn, error) {
	c, err := t.dial(ctx, e)
	if err == nil {
		t.putIdle(c)
	}
	return c, err
}

// dial makes a connection to a process, whether ctx ends or not.
func (t *Transport) dial(ctx context.Context, e endpoint) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	raw, err := t.dialer.DialContext(ctx, "tcp", e.address)
	if err != nil {
		t.dialFailed.Add(1)
		return nil, err
	}
	t.dialled.Add(1)
	return newConn(raw, e), nil
}
