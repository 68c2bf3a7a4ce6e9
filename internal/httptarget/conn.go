package httptarget

import (
	"bufio"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// ErrHeadTooLong means that a target sent more than maxHeadBytes without the head of an answer. It
// wraps ErrBroken.
var ErrHeadTooLong = errors.WithMessage(ErrBroken, "head of the answer is too long")

// conn is a connection to a target. It carries one exchange at a time.
type conn struct {
	net.Conn
	endpoint
	reader *bufio.Reader
	// head limits what the reader takes from the connection while it reads a head.
	head *headLimit
	// idleTimeout is how long the target keeps an unused connection open according to its
	// Keep-Alive header; 0 if it sent none.
	idleTimeout time.Duration
	// idleSince is since when it is unused, usedSince since when it carries an exchange.
	idleSince, usedSince time.Time
	madeAt               time.Time
	// carried is set once it has carried a request that is no question.
	carried bool
	// afterEnd is set if others to the process had ended lately when it was made: another process may have accepted it.
	afterEnd bool
	// closes is set if the target closes the connection after the answer on it, unframed if the end of the connection
	// is all that marks the end of that answer.
	closes, unframed atomic.Bool
	// known is set once the process that requests on the connection are for has answered one of them. Until then, another
	// one may have accepted it, or may yet.
	known atomic.Bool
	// answeredAt is when somebody last answered a question on it as the process would, maybe without a name.
	answeredAt time.Time
}

func newConn(c net.Conn, e endpoint) *conn {
	head := &headLimit{source: c, left: unlimited}
	return &conn{Conn: c, madeAt: clock.Now(), reader: bufio.NewReaderSize(head, readBufferSize), head: head, endpoint: e}
}

// headLimit is a reader that fails once it has read a number of bytes.
type headLimit struct {
	source io.Reader
	left   int
	// failed is why the last read failed, or nil.
	failed error
}

// unlimited is the number of bytes left that is not counted.
const unlimited = math.MaxInt

func (l *headLimit) Read(b []byte) (int, error) {
	n, err := l.read(b)
	l.failed = err
	return n, err
}

func (l *headLimit) read(b []byte) (int, error) {
	if l.left == unlimited {
		return l.source.Read(b)
	}
	if l.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.source.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// quiet reports whether an unused connection is still open and has no unread bytes, which
// would belong to no request.
func (c *conn) quiet() bool { return c.reader.Buffered() == 0 && sockopt.Idle(c.Conn) }

// unusedState is what becomes of an unused connection.
type unusedState int

const (
	unusedOpen unusedState = iota
	// unusedExpired means that the connection is not to be used again, and its end, if there is one, tells nothing.
	unusedExpired
	// unusedEnded means that the target closed the connection before its time, or sent bytes that belong to no request.
	unusedEnded
)

// checkUnused returns the state of an unused connection. The time is taken after the look at the connection, so that an
// end at the target's idle time is not taken for one before it, however long this process pauses.
func (c *conn) checkUnused() unusedState {
	quiet := c.quiet()
	switch {
	case c.expired(clock.Now(), maxIdleTime):
		return unusedExpired
	case !quiet:
		return unusedEnded
	}
	return unusedOpen
}

// lastUsed returns a time, as late as is known, at which the process that the connection leads to had not ended: when
// something arrived last, if the kernel tells. The mutex of its transport must be held.
func (c *conn) lastUsed() time.Time {
	if ago, ok := sockopt.LastDataFor(c.Conn); ok {
		return clock.Now().Add(-ago - maxTick)
	}
	return c.madeAt
}

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
