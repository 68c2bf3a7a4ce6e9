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
	// maxSpacing is the longest time that a piece of an answer may wait for the next one, so that
	// both are written together, while the router is short of CPU time. It is half of the shortest
	// pause between events that callers accept when handover is in use. A pause that is longer
	// already does not grow by it.
	maxSpacing = 200 * time.Millisecond
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
	// lastMoved is the time of the last byte, in nanoseconds since began. answered is set if that
	// byte came from the other router and has been written to the caller.
	began     time.Time
	lastMoved atomic.Int64
	answered  atomic.Bool
	// aborted, finished and peerClosed are set before the deadlines that make reads notice them.
	aborted, finished, peerClosed atomic.Bool
}

func newRelay(caller, peer net.Conn, spacing func() time.Duration) *relay {
	return &relay{caller: caller, peer: peer, spacing: spacing, began: clock.Now()}
}

// run copies in both directions until the relay ends.
func (r *relay) run(ctx context.Context, run func(func())) (Result, error) {
	defer context.AfterFunc(ctx, r.abort)()
	var result Result
	var callerErr error
	done := make(chan struct{})
	run(func() {
		defer close(done)
		result.FromCaller, callerErr = r.copy(r.peer, r.caller, false)
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

// copy copies from one side to the other until the first one stops sending.
func (r *relay) copy(to, from net.Conn, answer bool) (int64, error) {
	in := newReader(from)
	var total int64
	for {
		if !r.setReadDeadline(from) {
			return total, ErrReset
		}
		n, err := r.copyUntilTimeout(in, to, answer)
		total += n
		switch {
		case err == io.EOF:
			closeWrite(to)
			return total, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && !r.aborted.Load():
			if r.peerClosed.Load() {
				return total, nil
			}
			if answer && r.finished.Load() {
				closeWrite(to)
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
	case r.finished.Load() && from == r.peer:
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
		r.lastMoved.Store(int64(clock.Since(r.began)))
		r.answered.Store(false)
		_, err = to.Write(buffer[:n])
		r.answered.Store(answer)
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
		if answer && r.spacing != nil {
			if d := r.spacing(); d > 0 {
				time.Sleep(min(d, maxSpacing))
			}
		}
	}
}

// quietFor returns the time since the last byte.
func (r *relay) quietFor() time.Duration {
	return clock.Since(r.began) - time.Duration(r.lastMoved.Load())
}

// betweenRequests reports whether the last byte came from the other router, at least d ago: the
// caller keeps the connection open without a request.
func (r *relay) betweenRequests(d time.Duration) bool {
	return r.answered.Load() && !r.finished.Load() && r.quietFor() >= d
}

// abort resets both connections and ends all reads and writes. The goroutines close the connections
// when both of them have noticed.
func (r *relay) abort() {
	r.aborted.Store(true)
	for _, c := range []net.Conn{r.caller, r.peer} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.SetDeadline(past)
	}
}

// finish closes both connections, once what has arrived is written, as if the other router had closed its own.
func (r *relay) finish() {
	r.finished.Store(true)
	_ = r.peer.SetReadDeadline(past)
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
	// try is passed to raw.Read; it sets the fields below.
	try    func(fd uintptr) bool
	buffer *[bufferSize]byte
	n      int
	err    error
}

func newReader(c net.Conn) *reader {
	r := &reader{conn: c}
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
	if n > 0 {
		return buffer, n, nil
	}
	buffers.Put(buffer)
	return nil, 0, err
}
