package httptarget

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// conn is a connection to a target. It carries one exchange at a time.
type conn struct {
	net.Conn
	endpoint
	reader *bufio.Reader
	// idleTimeout is how long the target keeps an unused connection open according to its
	// Keep-Alive header; 0 if it sent none.
	idleTimeout time.Duration
	idleSince   time.Time
}

func newConn(c net.Conn, e endpoint) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize), endpoint: e}
}

// quiet reports whether an unused connection is still open and has no unread bytes, which
// would belong to no request.
func (c *conn) quiet() bool { return c.reader.Buffered() == 0 && sockopt.Idle(c.Conn) }

// expired reports whether a connection has been unused for limit, or so long that the target
// may be about to close it.
func (c *conn) expired(now time.Time, limit time.Duration) bool {
	if c.idleTimeout > 0 {
		limit = min(limit, c.idleTimeout*maxKeepAlivePercent/100)
	}
	return now.Sub(c.idleSince) >= limit
}

// keepAliveTimeout returns the timeout given in a Keep-Alive header, or 0 if there is none.
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
