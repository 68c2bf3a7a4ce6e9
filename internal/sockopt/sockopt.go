// Package sockopt provides socket options and non-blocking operations on TCP connections that
// the standard library does not offer.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux's tcp.h.
const tcpUserTimeout = 0x12

// UserTimeout returns a value for net.Dialer.Control that makes the kernel abort a connection
// once sent data has been unacknowledged for d.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, d) }
}

// SetUserTimeout sets the same for a connection. With 0, the kernel's own bound of some minutes applies. It
// does nothing for a connection that is not TCP.
func SetUserTimeout(c net.Conn, d time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, d)
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var callErr error
	err := raw.Control(func(fd uintptr) {
		callErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return callErr
}

// SetBacklog sets the maximum number of connections in a TCP listener's accept queue. While the
// queue is full, the kernel drops SYN packets.
func SetBacklog(l *net.TCPListener, maxPending int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = syscall.Listen(int(fd), maxPending) }); err != nil {
		return err
	}
	return callErr
}

// AcceptQueue returns the number of connections in a TCP listener's accept queue, and the maximum.
func AcceptQueue(l *net.TCPListener) (queued, limit int, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	var info *unix.TCPInfo
	var callErr error
	if err := raw.Control(func(fd uintptr) { info, callErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return 0, 0, err
	}
	if callErr != nil {
		return 0, 0, callErr
	}
	// For listening sockets, these fields hold the queue's length and limit.
	return int(info.Unacked), int(info.Sacked), nil
}

// Idle reports whether a TCP connection is open and has no unread input. Another goroutine may
// be blocked in Read meanwhile. For connections that are not TCP it returns true.
func Idle(c net.Conn) bool {
	l, err := lookAt(c)
	return errors.Is(err, syscall.EAGAIN) || err == nil && !l.readable && !l.ended
}

// HasInput reports whether a TCP connection has unread input. Another goroutine may be blocked in Read meanwhile. For
// connections that are not TCP it returns false.
func HasInput(c net.Conn) bool {
	l, err := lookAt(c)
	return err == nil && l.readable
}

// RemoteClosed reports whether the remote side of a TCP connection has closed it and all input
// has been read. Another goroutine may be blocked in Read meanwhile. For connections that are
// not TCP it returns false.
func RemoteClosed(c net.Conn) bool {
	l, err := lookAt(c)
	return !errors.Is(err, syscall.EAGAIN) && (err != nil || l.ended && !l.readable)
}

// Closed reports whether a TCP connection is closed in both directions, as after a reset: reads and writes no
// longer block. For connections that are not TCP it returns false.
func Closed(c net.Conn) bool {
	closed := false
	err := withDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && closed
}

// RemoteClosedFor returns how long ago the remote side of a TCP connection closed it, whether what arrived before has been
// read or not, and false if it did not: it is open, was reset, is closed here or not TCP.
func RemoteClosedFor(c net.Conn) (time.Duration, bool) {
	var ago time.Duration
	closed := false
	err := withDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if closed = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT; closed {
			// Nothing but the end arrives on such a connection later.
			ago = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return ago, err == nil && closed
}

// RemoteClosedTick returns the tick of the kernel's clock at which the remote side of a TCP connection closed it, as the
// time from the start of that clock, and false where RemoteClosedFor does. The ticks of two connections that were closed
// in the same instant are the same or follow one another, whenever they are asked for.
func RemoteClosedTick(c net.Conn) (time.Duration, bool) {
	var tick time.Duration
	for range maxTickLooks {
		before, err := coarseNow()
		if err != nil {
			return 0, false
		}
		ago, closed := RemoteClosedFor(c)
		if !closed {
			return 0, false
		}
		tick = before - ago
		if after, err := coarseNow(); err != nil || after == before {
			break
		}
	}
	return tick, true
}

// maxTickLooks bounds the looks at a connection between two of which the kernel's clock goes on. On a clock without ticks
// it goes on between any two.
const maxTickLooks = 3

// coarseNow returns the time of the kernel's last tick.
func coarseNow() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_MONOTONIC_COARSE, &t)
	return time.Duration(t.Nano()), err
}

// LastDataFor returns how long ago data last arrived on a TCP connection, whatever has become of it since, and false if
// it is closed here or not TCP.
func LastDataFor(c net.Conn) (time.Duration, bool) {
	var ago time.Duration
	var callErr error
	err := withDescriptor(c, func(fd int) {
		var info *unix.TCPInfo
		if info, callErr = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); callErr == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago, err == nil && callErr == nil
}

// Received returns the number of bytes that have arrived on a TCP connection, read or not, and whether it is no longer
// open in both directions, whether what arrived before has been read or not. For connections that are not
// TCP it returns 0 and false. Another goroutine may be blocked in Read meanwhile.
func Received(c net.Conn) (n uint64, ended bool) {
	err := withDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.State != unix.BPF_TCP_ESTABLISHED {
			ended = true
			return
		}
		n = info.Bytes_received
	})
	return n, ended || err != nil && !errors.Is(err, syscall.EAGAIN)
}

// ReadNow reads what has arrived on a TCP connection, without blocking, and returns the number
// of bytes. It returns 0 if nothing has arrived, if the remote side has closed the connection,
// and for connections that are not TCP.
func ReadNow(c net.Conn, b []byte) int {
	n := 0
	if err := withDescriptor(c, func(fd int) { n, _ = syscall.Read(fd, b) }); err != nil {
		return 0
	}
	return max(n, 0)
}

// Unacknowledged returns the number of bytes written to a TCP connection that the remote host has
// not acknowledged, sent or not; 0 for connections that are closed or not TCP. Another goroutine
// may be blocked in Write meanwhile.
func Unacknowledged(c net.Conn) int {
	n := 0
	if err := withDescriptor(c, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.TIOCOUTQ) }); err != nil {
		return 0
	}
	return n
}

// withDescriptor calls f with the file descriptor of a TCP connection, unless it is closed. For
// connections that are not TCP it returns EAGAIN.
func withDescriptor(c net.Conn, f func(fd int)) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return syscall.EAGAIN
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	// RawConn.Control, unlike RawConn.Read, does not wait until another goroutine's Read of the
	// connection returns.
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// look is what the kernel tells of a TCP connection without taking anything from it. In particular its pending error
// stays: the kernel reports a reset to one call only, and an end of input to all later ones.
type look struct {
	// readable is set if there is unread input, and ended if no more will arrive.
	readable, ended bool
}

// lookAt returns EAGAIN for connections that are not TCP.
func lookAt(c net.Conn) (look, error) {
	var l look
	var callErr error
	err := withDescriptor(c, func(fd int) {
		// The state comes first: nothing arrives once the remote side has closed the connection.
		if l.ended, callErr = ended(fd); callErr == nil {
			l.readable, callErr = readable(fd)
		}
	})
	if err != nil {
		return look{}, err
	}
	return l, callErr
}

// ended reports whether a socket is in a state in which the remote side sends no more.
func ended(fd int) (bool, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false, err
	}
	switch info.State {
	case unix.BPF_TCP_ESTABLISHED, unix.BPF_TCP_FIN_WAIT1, unix.BPF_TCP_FIN_WAIT2:
		return false, nil
	}
	return true, nil
}

// readable reports whether a socket has unread input. Unlike poll, this sees what arrives during another goroutine's Read.
func readable(fd int) (bool, error) {
	unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil || unread > 0 {
		return unread > 0, err
	}
	// The number ends at urgent data. Where the kernel can't tell, there is none.
	atMark, err := unix.IoctlGetInt(fd, unix.SIOCATMARK)
	return err == nil && atMark > 0, nil
}

// WasReset reports whether the remote side reset a TCP connection, also if the error that tells so has been reported
// already. One that was closed by the remote side before, and reset then, counts as closed. It takes the pending error.
func WasReset(c net.Conn) bool {
	reset := false
	err := withDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.State != unix.BPF_TCP_CLOSE {
			return
		}
		// The kernel reports EPIPE for a reset after an end of input.
		pending, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		reset = err == nil && syscall.Errno(pending) != syscall.EPIPE
	})
	return err == nil && reset
}
