package httptarget

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// conn is a connection to a target. It carries one exchange at a time.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	reader  *bufio.Reader
	address string
	// idleLimit is how long the target keeps the connection open unused, as
	// it said; 0 if it did not.
	idleLimit time.Duration
	idleSince time.Time
}

func newConn(c net.Conn, address string) (*conn, error) {
	out := &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBuffer)}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return out, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "get at the socket")
	}
	out.raw = raw
	return out, nil
}

// quiet reports whether an unused connection is still open and nothing has
// arrived on it: bytes there belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	silent := false
	var one [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// expired reports whether the target may be about to close the connection.
func (c *conn) expired(now time.Time, limit time.Duration) bool {
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit*idleShare/100)
	}
	return now.Sub(c.idleSince) >= limit
}

// keepAliveTimeout returns the timeout in a Keep-Alive header, 0 if none.
func keepAliveTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
