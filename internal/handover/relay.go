package handover

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

const (
	// bufferSize is the size of a buffer in bytes. A buffer is held only while there is something
	// to read or to write, so that an idle relay has none.
	bufferSize = 16 << 10
	// idleTimeout is the time without a byte in either direction after which a relay is closed. The
	// router that serves the connection closes it after 60 s and ends requests earlier, so the
	// limit applies only if that router or the link to it has failed unnoticed.
	idleTimeout = 90 * time.Second
	// lingerTimeout is how long a relay waits for the caller to close after the other router has
	// closed, so that the caller can read its answer to the end.
	lingerTimeout = time.Second
	// settleTime is how long a relay that is about to be closed reads nothing from its caller and
	// waits for bytes of the other router. Routers of a zone are about a millisecond apart.
	settleTime = 50 * time.Millisecond
	// maxSpacing is the longest time that a piece of an answer may wait for the next one, so that
	// both are written together, while the router is short of CPU time. It is a quarter of the
	// shortest pause between events that callers accept when pieces are spaced: the other router
	// delays events too. A pause that is longer already does not grow by it.
	maxSpacing = 100 * time.Millisecond
)

// ErrReset means that one side of a relayed connection has reset it, or cannot be reached.
var ErrReset = errors.New("relayed connection broke")

// ErrIdle means that a relay was closed because no bytes arrived for a long time.
var ErrIdle = errors.New("relayed connection idle for too long")

// Result is the number of bytes that a relay copied.
type Result struct{ FromCaller, ToCaller int64 }

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// buffers holds buffers for bytes that have been read and not written yet.
var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// Relay copies bytes between a caller and another router, without reading any of them. It ends, with
// both connections closed, when both sides have closed, when one of them breaks, or with ctx. If one
// side only stops sending, the other one receives an end of input and may still send. If one side
// breaks, the other one is reset, so that a part of an answer does not look complete.
//
// Run starts a function in another goroutine, which copies the bytes of the caller. spacing returns
// how long to wait after writing a piece of an answer; nil means not at all.
func Relay(ctx context.Context, caller, peer net.Conn, run func(func()), spacing func() time.Duration) (Result, error) {
	return newRelay(caller, peer, spacing).run(ctx, run)
}

// relay is a connection between a caller and another router.
type relay struct {
	caller, peer net.Conn
	spacing      func() time.Duration
	// ahead holds the bytes that were read from the caller before the relay began.
	ahead []byte
	// observe is called with the time that the caller waited for the first piece of an answer; nil if
	// that is of no interest.
	observe func(time.Duration)
	// lastMoved is the time at which bytes were last read or written, in nanoseconds since began.
	began     time.Time
	lastMoved atomic.Int64
	// asked is the number of pieces that came from the caller, plus one. answered is what it was when
	// the last piece of an answer arrived that has been written to the caller; writing is set while
	// one is written.
	asked, answered atomic.Int64
	writing         atomic.Bool
	// aborted, finishing, finished and peerClosed are set before the deadlines that make reads notice
	// them. finishing is reset if the relay stays open.
	aborted, finishing, finished, peerClosed atomic.Bool
	// toPeer is held while bytes are written to the other router, and guards peerErr, the first error of that.
	toPeer  sync.Mutex
	peerErr error
	// ended is closed when the relay is aborted.
	ended     chan struct{}
	endedOnce sync.Once
}

func newRelay(caller, peer net.Conn, spacing func() time.Duration) *relay {
	r := &relay{caller: caller, peer: peer, spacing: spacing, began: clock.Now(), ended: make(chan struct{})}
	r.asked.Store(1)
	return r
}

// run copies in both directions until the relay ends.
func (r *relay) run(ctx context.Context, run func(func())) (Result, error) {
	defer context.AfterFunc(ctx, r.abort)()
	var result Result
	var callerErr error
	done := make(chan struct{})
	run(func() {
		defer close(done)
		result.FromCaller, callerErr = r.copyFromCaller()
	})
	var peerErr error
	result.ToCaller, peerErr = r.copy(r.caller, r.peer, true)
	if peerErr == nil {
		// The other router serves nothing more on this connection.
		r.peerClosed.Store(true)
		_ = r.caller.SetReadDeadline(clock.Deadline(lingerTimeout))
	}
	<-done
	// Errors mean that a side has disconnected already.
	_ = r.caller.Close()
	_ = r.peer.Close()
	if peerErr != nil {
		return result, peerErr
	}
	return result, callerErr
}

// copyFromCaller passes on what was read ahead, and then copies from the caller.
func (r *relay) copyFromCaller() (int64, error) {
	// If the other router does not take them, reading from it ends the relay.
	if n, _ := r.writeToPeer(r.ahead); n > 0 {
		r.noteMoved()
	}
	total, err := r.copy(r.peer, r.caller, false)
	return total + int64(len(r.ahead)), err
}

// copy copies from one side to the other until the first one stops sending.
func (r *relay) copy(to, from net.Conn, answer bool) (int64, error) {
	in := newReader(from, &r.asked)
	var total int64
	for {
		if !r.setReadDeadline(from) {
			return total, ErrReset
		}
		n, err := r.copyUntilTimeout(in, to, answer)
		total += n
		switch {
		case err == io.EOF && answer && r.peerBroke():
			r.abort()
			return total, errors.Wrap(ErrReset, "pass on what the caller sent")
		case err == io.EOF:
			closeWrite(to)
			return total, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && !r.aborted.Load():
			if r.peerClosed.Load() {
				return total, nil
			}
			if r.finished.Load() || !answer && r.finishIfQuiet() {
				return total, nil
			}
			if r.quietFor() >= idleTimeout {
				r.abort()
				return total, ErrIdle
			}
		default:
			r.abort()
			return total, errors.Wrap(ErrReset, err.Error())
		}
	}
}

// setReadDeadline sets when a read ends to check whether the relay has been idle for too long. It
// is called once in that time, not for each read. It returns false if the relay has been aborted.
func (r *relay) setReadDeadline(from net.Conn) bool {
	err := from.SetReadDeadline(clock.Deadline(max(idleTimeout-r.quietFor(), time.Second)))
	// abort, finish and run set their flags before their own deadlines, so one that was overwritten
	// here is noticed.
	switch {
	case r.finished.Load(), r.finishing.Load() && from == r.caller:
		err = from.SetReadDeadline(past)
	case r.peerClosed.Load():
		err = from.SetReadDeadline(clock.Deadline(lingerTimeout))
	}
	return err == nil && !r.aborted.Load()
}

// copyUntilTimeout copies until an error, io.EOF or os.ErrDeadlineExceeded.
func (r *relay) copyUntilTimeout(in *reader, to net.Conn, answer bool) (int64, error) {
	var total int64
	for {
		buffer, n, err := in.next()
		if err != nil {
			return total, err
		}
		if answer {
			r.writing.Store(true)
			if r.observe != nil && r.answered.Load() != in.asked {
				r.observe(r.quietFor())
			}
		} else {
			r.asked.Add(1)
		}
		r.noteMoved()
		if answer {
			_, err = to.Write(buffer[:n])
		} else {
			_, err = r.writeToPeer(buffer[:n])
		}
		// The write may have waited for a slow reader.
		r.noteMoved()
		later := answer && r.answered.Load() == in.asked
		if answer {
			r.answered.Store(in.asked)
			r.writing.Store(false)
		}
		buffers.Put(buffer)
		switch {
		case err == nil:
			total += int64(n)
		case answer:
			return total, errors.Wrap(ErrReset, err.Error())
		}
		// If the other router does not take the caller's bytes, they are dropped: it may have
		// closed after its last answer, which is still to be delivered. If the connection broke,
		// the goroutine that reads from it aborts the relay.
		// The first piece of an answer may be all of it, or a head that is followed by a long body. If
		// the buffer was full, more has arrived already.
		if later && n < bufferSize && r.spacing != nil {
			if d := r.spacing(); d > 0 {
				r.wait(min(d, maxSpacing))
			}
		}
	}
}

// writeToPeer writes bytes of the caller to the other router.
func (r *relay) writeToPeer(b []byte) (int, error) {
	r.toPeer.Lock()
	defer r.toPeer.Unlock()
	n, err := r.peer.Write(b)
	if r.peerErr == nil {
		r.peerErr = err
	}
	return n, err
}

// peerBroke reports whether the connection to the other router, from which an end of input was read, broke before: the
// kernel reports that to one call, here to a write, and an end of input to all later ones. EPIPE only tells that the other
// router had closed the connection.
func (r *relay) peerBroke() bool {
	if !sockopt.Closed(r.peer) {
		return false
	}
	// A write that has been told may not have returned yet, and none blocks any more.
	r.toPeer.Lock()
	defer r.toPeer.Unlock()
	return r.peerErr != nil && !errors.Is(r.peerErr, syscall.EPIPE)
}

func (r *relay) noteMoved() { r.lastMoved.Store(int64(clock.Since(r.began))) }

// quietFor returns the time since bytes were last read or written.
func (r *relay) quietFor() time.Duration {
	return clock.Since(r.began) - time.Duration(r.lastMoved.Load())
}

// betweenRequests reports whether the last byte came from the other router and was written at least
// d ago: the caller keeps the connection open without a request, or its answer pauses.
func (r *relay) betweenRequests(d time.Duration) bool {
	return r.answered.Load() == r.asked.Load() && !r.writing.Load() && r.quietFor() >= d
}

// unanswered reports whether nothing has been written to the caller since its last bytes.
func (r *relay) unanswered() bool { return r.answered.Load() != r.asked.Load() }

// finishIfQuiet ends a relay that is to finish, and returns true, unless the caller has sent
// something since its last answer or more of an answer arrives. Otherwise the relay stays open. It is
// called by the goroutine that reads from the caller, so that nothing is read meanwhile.
func (r *relay) finishIfQuiet() bool {
	if !r.finishing.Load() {
		return false
	}
	moved := r.lastMoved.Load()
	if r.betweenRequests(0) && r.wait(settleTime) && moved == r.lastMoved.Load() && r.betweenRequests(0) &&
		!r.peerClosed.Load() && sockopt.Idle(r.peer) && sockopt.Idle(r.caller) {
		r.finished.Store(true)
		_ = r.peer.SetReadDeadline(past)
		return true
	}
	r.finishing.Store(false)
	return false
}

// wait waits for some time. It returns false at once when the relay is aborted.
func (r *relay) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.ended:
		return false
	case <-timer.C:
		return true
	}
}

// abort resets both connections and ends all reads and writes. The goroutines close the connections
// when both of them have noticed.
func (r *relay) abort() {
	r.aborted.Store(true)
	r.endedOnce.Do(func() { close(r.ended) })
	for _, c := range []net.Conn{r.caller, r.peer} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.SetDeadline(past)
	}
}

// finish stops reading from the caller and closes both connections settleTime later if nothing moves.
// A request that the caller sends meanwhile has not run anywhere if the connection is closed.
func (r *relay) finish() {
	r.finishing.Store(true)
	_ = r.caller.SetReadDeadline(past)
}

// closeWrite shuts down the sending side of a connection. An error means that the connection is
// closed already.
func closeWrite(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// reader reads from a connection. For TCP connections it takes a buffer only when there is something
// to read.
type reader struct {
	conn net.Conn
	raw  syscall.RawConn
	// askedNow is relay.asked, and asked what it was before the last read.
	askedNow *atomic.Int64
	asked    int64
	// try is passed to raw.Read; it sets the fields below.
	try    func(fd uintptr) bool
	buffer *[bufferSize]byte
	n      int
	err    error
}

func newReader(c net.Conn, asked *atomic.Int64) *reader {
	r := &reader{conn: c, askedNow: asked}
	if tcp, ok := c.(*net.TCPConn); ok {
		r.raw, _ = tcp.SyscallConn()
	}
	r.try = r.tryRead
	return r
}

// tryRead reads what has arrived. It returns false if nothing has.
func (r *reader) tryRead(fd uintptr) bool {
	r.buffer = buffers.Get().(*[bufferSize]byte)
	for {
		r.asked = r.askedNow.Load()
		r.n, r.err = syscall.Read(int(fd), r.buffer[:])
		if r.err != syscall.EINTR {
			break
		}
	}
	if r.err == nil && r.n > 0 {
		return true
	}
	buffers.Put(r.buffer)
	r.buffer = nil
	return r.err != syscall.EAGAIN
}

// next waits for input and returns a buffer with n bytes, to be put back by the caller. At the end
// of input it returns io.EOF.
func (r *reader) next() (buffer *[bufferSize]byte, n int, err error) {
	if r.raw == nil {
		return r.nextPlain()
	}
	if err := r.raw.Read(r.try); err != nil {
		return nil, 0, err
	}
	if r.err != nil {
		return nil, 0, r.err
	}
	if r.n == 0 {
		return nil, 0, io.EOF
	}
	return r.buffer, r.n, nil
}

// nextPlain is next for connections that are not TCP.
func (r *reader) nextPlain() (buffer *[bufferSize]byte, n int, err error) {
	buffer = buffers.Get().(*[bufferSize]byte)
	n, err = r.conn.Read(buffer[:])
	r.asked = r.askedNow.Load()
	if n > 0 {
		return buffer, n, nil
	}
	buffers.Put(buffer)
	return nil, 0, err
}
