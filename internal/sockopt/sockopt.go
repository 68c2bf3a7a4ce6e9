// Package sockopt does with sockets what the standard library does not offer.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux's tcp.h.
const tcpUserTimeout = 0x12

// UserTimeout returns a function for net.Dialer's Control that makes the
// kernel give a connection up after data has gone unacknowledged for d.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// Quiet reports whether a TCP connection is open and nothing has arrived on it
// that was not read. Another goroutine may wait in Read meanwhile. For other
// connections, of which that cannot be told, it returns true.
func Quiet(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// Ended reports whether a TCP connection was ended by the far side and all that had
// arrived before was read. Another goroutine may wait in Read meanwhile. For other
// connections, of which that cannot be told, it returns false.
func Ended(c net.Conn) bool {
	n, err := peek(c)
	return n <= 0 && !errors.Is(err, syscall.EAGAIN)
}

// peek looks for a byte that has arrived on a TCP connection. It returns EAGAIN where
// there is none, or for a connection of which that cannot be told, and neither a byte
// nor an error where the far side ended it.
func peek(c net.Conn) (int, error) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var failed error
	// Control, unlike Read, does not wait for a reader.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, failed = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, failed
}
