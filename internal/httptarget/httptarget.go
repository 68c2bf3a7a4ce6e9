// Package httptarget is the router's HTTP/1.1 client for targets. Unlike the client of the
// standard library it never retries a request by itself, reports whether any byte can have
// reached the target, skips answers that belong to earlier requests, and reuses a connection
// only if no unexpected bytes have arrived on it.
package httptarget

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httpanswer"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

var (
	// ErrNotSent means that no byte of the request can have reached the target.
	ErrNotSent = errors.New("request not sent")
	// ErrConnectionRefused means that the target refused the connection, usually because its
	// process has exited. It wraps ErrNotSent.
	ErrConnectionRefused = errors.WithMessage(ErrNotSent, "connection refused")
	// ErrBroken means that the target may have run the request, but its answer is
	// incomplete or invalid.
	ErrBroken = errors.New("connection to target broke")
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes, enough for the head of
	// an answer. Large reads of a body bypass the buffer.
	readBufferSize = 4 << 10
	// dialTimeout bounds the time to connect. Zones are about a millisecond apart, and the
	// kernel retransmits a lost SYN only after a second: trying another target is faster.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is the time after which the kernel closes a connection whose data is
	// not acknowledged (TCP_USER_TIMEOUT). It leaves time for a few retransmissions and is
	// well below the pause after which callers abandon a stream.
	unackedTimeout = 1500 * time.Millisecond
	// writeTimeout bounds the time to write a request.
	writeTimeout = 2 * time.Second
	// maxIdleTime is how long an unused connection is kept, unless the target's Keep-Alive
	// header asks for less.
	maxIdleTime = 8 * time.Second
	// maxKeepAlivePercent is the percentage of the target's Keep-Alive timeout after which a
	// connection is no longer reused, because the target may be about to close it.
	maxKeepAlivePercent = 70
	// maxHeadBytes bounds the head of an answer in bytes, with interim answers before it and the body of
	// an answer to an earlier request. It is the same as for callers' heads.
	maxHeadBytes = 64 << 10
	// maxStrayAnswers is the number of answers to earlier requests that are skipped before a
	// connection is closed.
	maxStrayAnswers = 2
	// longRequestSize is the size in bytes from which a target may take a while to read a request: it is not
	// given up while it reads nothing, as the kernel does not tell a peer that is slow from one that has
	// gone once its receive buffer is full. Targets may have small ones.
	longRequestSize = 4 << 10
	// asyncBodySize is the size in bytes from which a body is written by another goroutine
	// while the answer is read: the target may answer before it has read the whole body.
	asyncBodySize = 4 << 10
)

// Request is a request to send. Head has the request line and the headers, up to and
// including the empty line.
type Request struct {
	Method string
	Head   []byte
	Body   memory.Buffer
	// ID is the value that IDHeader has in the answer. An answer with another value belongs to an
	// earlier request and is skipped; see Answer.Identified for one without it. If IDHeader is empty,
	// answers are not checked.
	ID       string
	IDHeader string
	// Instance names the process that the request is for. A connection made for another
	// process at the same address is not reused.
	Instance string
	// OnSent, if it is set, is called once there is a connection and the request is written, but for a long body. Until
	// the exchange is over, hasInput reports whether something has arrived that this process has not read. It may be
	// called by any goroutine.
	OnSent func(hasInput func() bool)
	// Witness asks whether the process goes on, which must be known where the answer has neither a length nor
	// chunks; nil if nobody can be asked.
	Witness Witness
	// NotRunHeader is the header by which a target says in an answer that it did not run the request: nothing depends on
	// the end of such an answer, and nobody is asked about it.
	NotRunHeader string
	// Asks is set if the request asks the target about itself. If its answer has neither a length nor chunks, it counts
	// as whole if its connection ends without a reset: its content tells more, or does not matter.
	Asks bool
	// Apart is set if the target is asked on no connection that has carried other requests.
	Apart bool
	// Precedes is set if the question is which process listens, and another request follows it: its connection, on which
	// that process has answered, is not the spare one.
	Precedes bool
}

// asksAside reports whether the request is a question that no other request follows on its connection.
func (r Request) asksAside() bool { return r.Asks && !r.Precedes }

// Stats counts connections and unexpected answers since the start.
type Stats struct {
	Dialled      int64 `json:"dialled"`
	DialFailed   int64 `json:"dial_failed"`
	Reused       int64 `json:"reused"`
	StrayAnswers int64 `json:"stray_answers"`
	// UnidentifiedAnswers counts answers that do not name the request they belong to.
	UnidentifiedAnswers int64 `json:"unidentified_answers"`
	// UnexpectedBytes counts unused connections that were found to have unread bytes, or to
	// have been closed by the target.
	UnexpectedBytes int64 `json:"unexpected_bytes"`
	// OversizedHeads counts answers that were given up because their head had no end.
	OversizedHeads int64 `json:"oversized_heads"`
	// InvalidHeads counts answers that were given up because their head is none of HTTP.
	InvalidHeads int64 `json:"invalid_heads"`
	// UnframedAnswers counts answers with neither a length nor chunks that ended with their connection, and
	// CutUnframedAnswers those of them that were not complete, or not known to be.
	UnframedAnswers    int64 `json:"unframed_answers"`
	CutUnframedAnswers int64 `json:"cut_unframed_answers"`
	// UnframedEnds counts the answers of UnframedAnswers by what showed that they were complete or cut.
	UnframedEnds map[Evidence]int64 `json:"unframed_ends"`
}

// Transport holds the connections to targets. Use New to make one. It is safe for concurrent
// use.
type Transport struct {
	group  *group.Group
	dialer net.Dialer

	probes, exitChecks, spareDials singleflight.Group

	mu   sync.Mutex
	idle map[endpoint][]*conn
	// spares has unused connections to processes that may have to be asked whether they go on, one each.
	spares map[endpoint]*conn
	// closed is set once unused connections are no longer kept.
	closed bool
	// inUse has the connections that carry an exchange, by process.
	inUse map[endpoint]map[*conn]struct{}
	// broken has the last signs that processes may have ended.
	broken map[endpoint]breakSign
	// ends has connections that targets closed lately before their time, by process.
	ends map[endpoint][]end

	dialled, dialFailed, reused, strayAnswers, unidentifiedAnswers, unexpectedBytes, oversizedHeads, invalidHeads atomic.Int64

	unframedAnswers, cutUnframedAnswers atomic.Int64
	// unframedEnds is guarded by mu.
	unframedEnds map[Evidence]int64
}

// New returns a transport that runs its goroutines in g.
func New(g *group.Group) *Transport {
	return &Transport{
		group: g,
		idle:  map[endpoint][]*conn{},
		inUse: map[endpoint]map[*conn]struct{}{},

		spares: map[endpoint]*conn{},

		broken: map[endpoint]breakSign{},
		ends:   map[endpoint][]end{},

		unframedEnds: map[Evidence]int64{},
		dialer: net.Dialer{
			Timeout:   dialTimeout,
			KeepAlive: -1,
			Control:   sockopt.UserTimeout(unackedTimeout),
		},
	}
}

// Stats returns the counts since the start.
func (t *Transport) Stats() Stats {
	return Stats{
		Dialled: t.dialled.Load(), DialFailed: t.dialFailed.Load(), Reused: t.reused.Load(),
		StrayAnswers: t.strayAnswers.Load(), UnidentifiedAnswers: t.unidentifiedAnswers.Load(),
		UnexpectedBytes: t.unexpectedBytes.Load(), OversizedHeads: t.oversizedHeads.Load(), InvalidHeads: t.invalidHeads.Load(),
		UnframedAnswers: t.unframedAnswers.Load(), CutUnframedAnswers: t.cutUnframedAnswers.Load(), UnframedEnds: t.endsByEvidence(),
	}
}

// Send sends r to the target at address and reads the head of its answer. The connection is
// closed as soon as ctx ends. An error wraps ErrNotSent or ErrBroken. The caller must call
// Close on the answer.
func (t *Transport) Send(ctx context.Context, address string, r Request) (*Answer, error) {
	c, err := t.connect(ctx, endpoint{address, r.Instance}, r)
	if err != nil {
		return nil, err
	}
	a := &Answer{ctx: ctx, transport: t, conn: c, method: r.Method, witness: r.Witness, asks: r.Asks, spare: r.asksAside()}
	a.stopCloseOnCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := a.write(r); err != nil {
		t.noteBroken(c, err)
		a.Close()
		return nil, errors.Wrapf(ErrBroken, "write to %s: %v", address, err)
	}
	if r.OnSent != nil {
		r.OnSent(func() bool { return sockopt.HasInput(c.Conn) })
	}
	if err := a.readHead(r); err != nil {
		t.noteBroken(c, err)
		a.Close()
		if errors.Is(err, ErrHeadTooLong) {
			t.oversizedHeads.Add(1)
		}
		return nil, errors.Wrapf(ErrBroken, "read answer of %s: %v", address, err)
	}
	if r.Witness != nil && !a.framed() && !a.isRejection(r) {
		t.prepareSpare(a)
	}
	return a, nil
}

// endpoint identifies a process at an address, to which connections belong.
type endpoint struct{ address, instance string }

// connect returns an unused connection for a request, or a new one if there is none.
func (t *Transport) connect(ctx context.Context, e endpoint, r Request) (*conn, error) {
	address := e.address
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(ErrNotSent, "connect to %s: %v", address, err)
	}
	if c := t.take(e, r); c != nil {
		t.reused.Add(1)
		t.use(c, r.asksAside())
		return c, nil
	}
	raw, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		t.dialFailed.Add(1)
		return nil, errors.Wrapf(connectError(err), "connect to %s: %v", address, err)
	}
	t.dialled.Add(1)
	c := newConn(raw, e)
	c.afterEnd = t.endedLately(e)
	t.use(c, r.asksAside())
	return c, nil
}

// take returns an unused connection for a request, or nil. A question is asked on the spare one if possible, and before
// another request if there is no other.
func (t *Transport) take(e endpoint, r Request) *conn {
	if r.asksAside() {
		if c := t.takeToAsk(e, r.Apart); c != nil || r.Apart {
			return c
		}
	}
	if c := t.takeIdle(e); c != nil || !r.Precedes {
		return c
	}
	return t.takeToAsk(e, false)
}

// endedLately reports whether any connection to a process has ended lately, whether that was seen or not.
func (t *Transport) endedLately(e endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.connsTo(e)
	if spare := t.spares[e]; spare != nil {
		list = append(list, spare)
	}
	return clock.Since(t.broken[e].seen) < brokenTTL || slices.ContainsFunc(list, func(c *conn) bool {
		_, ended := sockopt.Received(c.Conn)
		return ended
	})
}

// use records that a connection carries an exchange. A question leaves one that has carried others as it was.
func (t *Transport) use(c *conn, asks bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inUse[c.endpoint] == nil {
		t.inUse[c.endpoint] = map[*conn]struct{}{}
	}
	t.inUse[c.endpoint][c] = struct{}{}
	if asks && c.carried {
		return
	}
	c.idleSince, c.usedSince, c.carried = time.Time{}, clock.Now(), !asks
}

// release closes a connection that no longer carries an exchange.
func (t *Transport) release(c *conn) {
	t.mu.Lock()
	delete(t.inUse[c.endpoint], c)
	t.mu.Unlock()
	_ = c.Close()
}

// keep keeps a connection that no longer carries an exchange for the next one. idleTimeout is that of the answer.
func (t *Transport) keep(c *conn, asked bool, idleTimeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inUse[c.endpoint], c)
	if t.closed {
		_ = c.Close()
		return
	}
	if asked && c.carried {
		if idleTimeout > 0 && (c.idleTimeout == 0 || idleTimeout < c.idleTimeout) {
			c.idleTimeout = idleTimeout
		}
		t.idle[c.endpoint] = slices.Insert(t.idle[c.endpoint], 0, c)
		return
	}
	c.idleSince, c.idleTimeout = clock.Now(), idleTimeout
	if asked && t.spares[c.endpoint] == nil {
		t.spares[c.endpoint] = c
		return
	}
	t.idle[c.endpoint] = append(t.idle[c.endpoint], c)
}

// connectError returns the exported error for a failure to connect.
func connectError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrConnectionRefused
	}
	return ErrNotSent
}

// takeIdle returns the usable connection that was used last, or nil, and closes unusable ones.
func (t *Transport) takeIdle(e endpoint) *conn {
	for {
		c := t.popIdle(e)
		if c == nil {
			return nil
		}
		if t.usable(c) {
			return c
		}
	}
}

// usable reports whether an unused connection can be used again, and closes it if not.
func (t *Transport) usable(c *conn) bool {
	switch c.checkUnused() {
	case unusedOpen:
		return true
	case unusedExpired:
		_ = c.Close()
	case unusedEnded:
		t.closeEnded(c)
	}
	return false
}

// closeEnded closes an unused connection that was found to have ended, or to have unread bytes.
func (t *Transport) closeEnded(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropEnded(c)
}

// dropEnded is closeEnded with the mutex held.
func (t *Transport) dropEnded(c *conn) {
	t.unexpectedBytes.Add(1)
	t.noteEnd(c)
	t.noteSign(c.endpoint, breakSign{seen: clock.Now(), used: c.lastUsed()})
	_ = c.Close()
}

// brokenTTL is how long a connection that broke counts as a sign that its process has ended.
const brokenTTL = time.Second

// noteBroken records that a connection in use broke, unless this router closed it or it may have ended as it should.
func (t *Transport) noteBroken(c *conn, err error) {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, errEndUnknown) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteSign(c.endpoint, breakSign{seen: clock.Now(), used: c.lastUsed()})
	t.noteEnd(c)
}

// breakSign tells that connections to a process ended before their time: when that was seen, and when one of them brought
// something last. Connections that were made later may be to the next process, however late the ends are seen.
type breakSign struct{ seen, used time.Time }

// noteSign adds a sign that a process may have ended, which counts for brokenTTL, whoever saw it. The mutex must be held.
func (t *Transport) noteSign(e endpoint, s breakSign) {
	if before, ok := t.broken[e]; ok && s.seen.Sub(before.seen) < brokenTTL && before.used.After(s.used) {
		s.used = before.used
	}
	t.broken[e] = s
}

// CheckUnused reports whether an unused connection to the process of a target is open, or else whether any
// connections have ended before their time lately: the process may have ended, and another one may listen at
// its address. An open connection that was made after these were last used may be to that one.
func (t *Transport) CheckUnused(address, instance string) (open, ended bool) {
	e := endpoint{address, instance}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkSpare(e)
	kept := t.idle[e][:0]
	for _, c := range t.idle[e] {
		switch c.checkUnused() {
		case unusedOpen:
			kept = append(kept, c)
		case unusedExpired:
			_ = c.Close()
		case unusedEnded:
			t.dropEnded(c)
		}
	}
	clear(t.idle[e][len(kept):])
	t.idle[e] = kept
	var endedAt time.Time
	if s := t.broken[e]; clock.Since(s.seen) < brokenTTL {
		endedAt = s.used
	}
	open = slices.ContainsFunc(kept, func(c *conn) bool { return endedAt.IsZero() || c.madeAt.Before(endedAt) })
	return open, !open && !endedAt.IsZero()
}

func (t *Transport) popIdle(e endpoint) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[e]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	t.idle[e] = list[:len(list)-1]
	return c
}

func (t *Transport) putIdle(c *conn) {
	c.idleSince = clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return
	}
	t.idle[c.endpoint] = append(t.idle[c.endpoint], c)
}

// CloseExpired closes expired unused connections and forgets processes without any. Call it periodically.
func (t *Transport) CloseExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for e, list := range t.idle {
		kept := list[:0]
		for _, c := range list {
			if c.expired(now, maxIdleTime) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		t.idle[e] = kept
		if len(kept) == 0 {
			delete(t.idle, e)
		}
	}
	t.closeSpares(now)
	t.forgetEnds(now)
	maps.DeleteFunc(t.inUse, func(_ endpoint, conns map[*conn]struct{}) bool { return len(conns) == 0 })
	maps.DeleteFunc(t.broken, func(_ endpoint, s breakSign) bool { return now.Sub(s.seen) >= brokenTTL })
}

// Close closes the unused connections, and others as soon as they are unused.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.closeUnused()
}

// CloseUnused closes the unused connections.
func (t *Transport) CloseUnused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeUnused()
}

// closeUnused is CloseUnused with the mutex held.
func (t *Transport) closeUnused() {
	for _, list := range t.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(t.idle)
	for _, c := range t.spares {
		_ = c.Close()
	}
	clear(t.spares)
}

// Answer is a target's answer. Its head has been read; Read reads the body as it arrives.
type Answer struct {
	Status int
	Header http.Header
	// Identified is set if the answer carries the id of the request. Bytes of a faulty target that look
	// like an answer do not, and some targets leave the id out of an answer by which they reject a
	// request. What belongs to the request may still follow an answer without an id, so that its
	// connection is not reused.
	Identified bool

	ctx               context.Context
	transport         *Transport
	conn              *conn
	method            string
	response          *http.Response
	stopCloseOnCancel func() bool
	// bodyWritten is closed once another goroutine has written the body, and writeErr then
	// has its error. It is nil if the request was written synchronously.
	bodyWritten chan struct{}
	writeErr    error
	complete    bool
	// cut is why an answer that ended with its connection is not complete, evidence what showed whether it is.
	cut      error
	evidence Evidence
	// slowReading is set if the target may take its time to read the request.
	slowReading bool
	// knownBefore is set if the process that the request is for had answered on the connection before.
	knownBefore bool
	// witness and asks are those of the request. spare is set if its connection may be kept for questions.
	witness     Witness
	asks, spare bool
}

func (a *Answer) write(r Request) error {
	if err := a.conn.SetWriteDeadline(clock.Deadline(writeTimeout)); err != nil {
		return err
	}
	if len(r.Head)+r.Body.Len() >= longRequestSize {
		if err := a.allowSlowReading(); err != nil {
			return err
		}
	}
	if r.Body.Len() < asyncBodySize {
		_, err := a.conn.Write(append(r.Head, r.Body.Bytes()...))
		return err
	}
	buffers := r.Body.Behind(r.Head)
	a.bodyWritten = make(chan struct{})
	a.transport.group.Go(func() {
		defer close(a.bodyWritten)
		_, a.writeErr = buffers.WriteTo(a.conn.Conn)
	})
	return nil
}

// allowSlowReading lifts the bounds on the time that the target takes to read the request; the exchange's context
// still bounds it.
func (a *Answer) allowSlowReading() error {
	if err := a.conn.SetWriteDeadline(time.Time{}); err != nil {
		return err
	}
	a.slowReading = true
	return sockopt.SetUserTimeout(a.conn.Conn, 0)
}

// readHead reads the head of the answer to r. It skips interim (1xx) answers and answers to
// earlier requests on the connection.
func (a *Answer) readHead(r Request) error {
	a.conn.head.left = maxHeadBytes
	defer func() { a.conn.head.left = unlimited }()
	for range maxStrayAnswers + 1 {
		res, err := httpanswer.Read(a.conn.reader, r.Method)
		if err != nil {
			if a.conn.head.failed == nil {
				a.transport.invalidHeads.Add(1)
			}
			return err
		}
		id := answerID(res, r)
		if id == "" || id == r.ID {
			a.response = res
			a.Status = res.StatusCode
			a.Header = res.Header
			unframed := !a.framed() && !a.asks
			a.conn.closes.Store(!unframed && (res.Close || !a.framed()))
			a.conn.unframed.Store(unframed)
			a.Identified = id == r.ID
			a.knownBefore = a.conn.known.Load()
			if id != "" && res.StatusCode/100 == 2 {
				a.SetConnectionKnown()
			}
			if !a.Identified {
				a.transport.unidentifiedAnswers.Add(1)
			}
			return nil
		}
		a.transport.strayAnswers.Add(1)
		if res.ContentLength < 0 && res.Close {
			return errors.Errorf("answer to another request %s has no end before the connection closes", id)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return errors.Wrapf(err, "skip answer to another request %s", id)
		}
	}
	return errors.New("too many answers to other requests")
}

// answerID returns the id of the request that an answer belongs to, or "" if it names none or several.
func answerID(res *http.Response, r Request) string {
	if r.IDHeader == "" {
		return r.ID
	}
	ids := res.Header.Values(r.IDHeader)
	if len(ids) != 1 {
		return ""
	}
	return ids[0]
}

// SetReadDeadline sets the time by which the next byte of the answer must have arrived.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.conn.SetReadDeadline(t) }

// ConnectedAt returns when the connection was made that the answer arrives on.
func (a *Answer) ConnectedAt() time.Time { return a.conn.madeAt }

// ConnectedAfterEnd reports whether other connections to the target had ended lately when that connection was made, so
// that another process may have accepted it.
func (a *Answer) ConnectedAfterEnd() bool { return a.conn.afterEnd }

// IsConnectionKnown reports whether the process that the request was for had answered another one on the same connection.
func (a *Answer) IsConnectionKnown() bool { return a.knownBefore }

// SetConnectionKnown records that the process that the request was for has answered it.
func (a *Answer) SetConnectionKnown() { a.conn.known.Store(true) }

// SetConnectionAnswered records that somebody has answered a question as the process that it was for would, but without a
// name. If that process is seen alive afterwards, it was that.
func (a *Answer) SetConnectionAnswered() {
	a.transport.mu.Lock()
	defer a.transport.mu.Unlock()
	a.conn.answeredAt = clock.Now()
}

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// isRejection reports whether the target says in the head of its answer that it did not run a request.
func (a *Answer) isRejection(r Request) bool {
	return r.NotRunHeader != "" && a.Header.Get(r.NotRunHeader) != "" && a.Status >= http.StatusBadRequest || a.Status == http.StatusMisdirectedRequest
}

// Read reads the body. It returns io.EOF at the end of a complete body and another error if
// the body was cut off.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.response.Body.Read(b)
	if errors.Is(err, io.EOF) && !a.complete && !a.framed() {
		err = a.connectionEnd()
	}
	if errors.Is(err, io.EOF) {
		a.complete = true
		return n, io.EOF
	}
	if err != nil {
		a.transport.noteBroken(a.conn, err)
		return n, errors.Wrapf(ErrBroken, "read answer of %s: %v", a.conn.address, err)
	}
	return n, nil
}

// connectionEnd returns io.EOF if a body without a length that ended with its connection counts as complete.
func (a *Answer) connectionEnd() error {
	if !a.asks {
		return a.unframedEnd()
	}
	if err := a.reset(); err != nil {
		return err
	}
	return io.EOF
}

// Close ends the exchange. The connection is kept for reuse if the whole request has been
// written, the answer was read to its end and no bytes follow it.
func (a *Answer) Close() {
	if !a.stopCloseOnCancel() || !a.reusable() {
		a.transport.release(a.conn)
		return
	}
	a.transport.keep(a.conn, a.spare, keepAliveTimeout(a.Header.Get("Keep-Alive")))
}

func (a *Answer) reusable() bool {
	if !a.complete || !a.Identified || a.response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if !a.framed() || !a.requestWritten() {
		return false
	}
	if a.slowReading && sockopt.SetUserTimeout(a.conn.Conn, unackedTimeout) != nil {
		return false
	}
	return a.conn.SetDeadline(time.Time{}) == nil
}

// writeFailed reports whether the write of the body has failed.
func (a *Answer) writeFailed() bool {
	select {
	case <-a.bodyWritten:
		return a.writeErr != nil
	default:
		return false
	}
}

// requestWritten reports whether the whole request has been written.
func (a *Answer) requestWritten() bool {
	if a.bodyWritten == nil {
		return true
	}
	select {
	case <-a.bodyWritten:
		return a.writeErr == nil
	default:
		return false
	}
}
