// Package peer carries messages between routers: over gRPC, a stream from each
// router to each other that it has something to tell, in order, dialled when the
// first message is sent and closed when there have been none for a while; and, for
// small ones that may be lost, as datagrams. A message that cannot be sent is
// dropped and counted, never kept.
package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

const (
	// backlog is the number of messages kept for a router that is slow.
	backlog = 1024
	// redial is the pause after a stream has failed.
	redial = 200 * time.Millisecond
	// maxMessage bounds one message, in bytes.
	maxMessage = 1 << 20
	// window is the flow control window, in bytes. A fixed one above gRPC's
	// default turns off its probing for bandwidth, which costs a ping and
	// its answer for most messages.
	window = 1 << 18
	// buffer is the size of a stream's buffers for reading and writing, in
	// bytes, of which a router in a large fleet has hundreds: reports are
	// smaller, and what is larger takes some more calls.
	buffer = 4 << 10
	// dialTimeout and unackedTimeout bound the time to connect and the time
	// without an acknowledgement: a router behind a partition is dialled anew
	// at once when it ends, where TCP alone would wait for its next
	// retransmission.
	dialTimeout    = time.Second
	unackedTimeout = time.Second
	// idleTime is after how long without messages a stream is closed: one takes
	// some 85 KB at both ends together.
	idleTime = 10 * time.Second
)

// errIdle means that a stream has carried nothing for a while.
var errIdle = errors.New("stream is idle")

// Receiver is called with each message that comes in.
type Receiver func(from member.Member, m message.Message)

// Transport is one router's end of all its streams. Use New to make one.
type Transport struct {
	peerpb.UnimplementedPeerServer

	self     member.Member
	receive  Receiver
	log      logr.Logger
	group    *group.Group
	server   *grpc.Server
	listener net.Listener

	mu    sync.Mutex
	links map[string]*link

	sent    atomic.Int64
	bytes   atomic.Int64
	dropped atomic.Int64
	cut     atomic.Pointer[map[string]bool]
}

// link is the stream to one other router.
type link struct {
	address string
	queue   chan *peerpb.Envelope
}

// New starts to serve on listener and returns the transport.
func New(ctx context.Context, self member.Member, listener net.Listener, receive Receiver, log logr.Logger) *Transport {
	t := &Transport{
		self:     self,
		receive:  receive,
		log:      log,
		group:    group.New(ctx),
		listener: listener,
		links:    map[string]*link{},
		server: grpc.NewServer(
			grpc.MaxRecvMsgSize(maxMessage), grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window),
			grpc.ReadBufferSize(buffer), grpc.WriteBufferSize(buffer), grpc.SharedWriteBuffer(true),
		),
	}
	peerpb.RegisterPeerServer(t.server, t)
	t.group.Go(func() {
		if err := t.server.Serve(&countingListener{listener, &t.bytes}); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			log.Error(err, "peer server ended")
		}
	})
	return t
}

// Send queues a message for another router. It does not block.
func (t *Transport) Send(to member.Member, m message.Message) { t.send(to, encode(m)) }

// SendAll queues a message for other routers, which costs less than one Send for
// each.
func (t *Transport) SendAll(to []member.Member, m message.Message) {
	e := encode(m)
	for _, other := range to {
		t.send(other, e)
	}
}

// send queues an envelope, which nobody may change afterwards.
func (t *Transport) send(to member.Member, e *peerpb.Envelope) {
	if to.Peer == "" {
		t.dropped.Add(1)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.link(to.Peer).queue <- e:
	default:
		t.dropped.Add(1)
	}
}

// link returns the link to an address; t.mu is locked.
func (t *Transport) link(address string) *link {
	l := t.links[address]
	if l == nil {
		l = &link{address: address, queue: make(chan *peerpb.Envelope, backlog)}
		t.links[address] = l
		t.group.GoContext(func(ctx context.Context) { t.run(ctx, l) })
	}
	return l
}

// run keeps a stream to another router, dialling again when it fails.
func (t *Transport) run(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		err := t.stream(ctx, l)
		if ctx.Err() != nil || errors.Is(err, errIdle) {
			return
		}
		t.log.V(1).Info("stream to router ended", "peer", l.address, "cause", err.Error())
		t.drain(l)
		select {
		case <-ctx.Done():
		case <-time.After(redial):
		}
	}
}

// drain drops what has queued up for a router that cannot be reached: old
// control messages do more harm than missing ones.
func (t *Transport) drain(l *link) {
	for {
		select {
		case <-l.queue:
			t.dropped.Add(1)
		default:
			return
		}
	}
}

func (t *Transport) stream(ctx context.Context, l *link) error {
	conn, err := grpc.NewClient(
		"passthrough:///"+l.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(t.dial),
		grpc.WithInitialWindowSize(window),
		grpc.WithInitialConnWindowSize(window),
		grpc.WithReadBufferSize(buffer),
		grpc.WithWriteBufferSize(buffer),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: time.Second}),
	)
	if err != nil {
		return errors.Wrapf(err, "set up connection to %s", l.address)
	}
	defer conn.Close()
	stream, err := peerpb.NewPeerClient(conn).Exchange(ctx)
	if err != nil {
		return errors.Wrapf(err, "open stream to %s", l.address)
	}
	hello := &peerpb.Hello{
		Id: string(t.self.ID), Zone: t.self.Zone, Address: t.self.Address,
		Peer: t.self.Peer, Incarnation: t.self.Incarnation,
	}
	if err := stream.Send(&peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: hello}}); err != nil {
		return errors.Wrapf(err, "greet %s", l.address)
	}
	return t.pump(stream, l)
}

func (t *Transport) pump(stream peerpb.Peer_ExchangeClient, l *link) error {
	idle := time.NewTicker(idleTime)
	defer idle.Stop()
	used := true
	for {
		select {
		case <-idle.C:
			if !used && t.forget(l) {
				return errIdle
			}
			used = false
		case <-stream.Context().Done():
			return errors.Wrapf(stream.Context().Err(), "stream to %s", l.address)
		case e := <-l.queue:
			used = true
			if t.isCut(l.address) {
				t.dropped.Add(1)
				continue
			}
			if err := stream.Send(e); err != nil {
				return errors.Wrapf(err, "send to %s", l.address)
			}
			t.sent.Add(1)
		}
	}
}

// forget takes a link out unless there is something to send.
func (t *Transport) forget(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(t.links, l.address)
	return true
}

func (t *Transport) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: sockopt.UserTimeout(unackedTimeout)}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &t.bytes}, nil
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes written to the connections it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}

// Exchange receives the messages of another router; it is called by gRPC.
func (t *Transport) Exchange(stream peerpb.Peer_ExchangeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	h := first.GetHello()
	if h.GetId() == "" {
		return errors.New("stream does not begin with a greeting")
	}
	from := member.Member{
		ID: message.RouterID(h.GetId()), Zone: h.GetZone(), Address: h.GetAddress(),
		Peer: h.GetPeer(), Incarnation: h.GetIncarnation(),
	}
	for {
		e, err := stream.Recv()
		if err != nil {
			return err
		}
		m := decode(e, from)
		if m == nil || t.isCut(from.Peer) {
			t.dropped.Add(1)
			continue
		}
		if r, ok := m.(message.Report); ok {
			from.Leaving = r.Leaving
		}
		t.receive(from, m)
	}
}

// Cut drops all messages to and from the given peer addresses, as a
// partition would; nil ends it. It is for experiments.
func (t *Transport) Cut(addresses map[string]bool) { t.cut.Store(&addresses) }

func (t *Transport) isCut(address string) bool {
	cut := t.cut.Load()
	return cut != nil && (*cut)[address]
}

// Stats are running totals of what was sent to other routers.
type Stats struct {
	Messages int64 `json:"messages"`
	// Bytes counts what was written to connections, framing included.
	Bytes   int64 `json:"bytes"`
	Dropped int64 `json:"dropped"`
}

// Stats returns the totals since the start.
func (t *Transport) Stats() Stats {
	return Stats{Messages: t.sent.Load(), Bytes: t.bytes.Load(), Dropped: t.dropped.Load()}
}

// Stop ends all streams and waits for their goroutines.
func (t *Transport) Stop() {
	t.server.Stop()
	t.group.Stop()
}
