// Package sockopt sets options of sockets that the standard library does not
// offer.
package sockopt

import (
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
