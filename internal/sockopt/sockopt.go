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
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Control, unlike Read, does not wait for a reader.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}
