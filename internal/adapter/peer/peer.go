// Package peer transports messages between routers. Transport sends them in order over one gRPC
// stream per receiving router, which it opens for the first message and closes when it has been
// idle. Datagrams sends small messages over UDP, where they may be lost. Both drop and count a
// message that cannot be sent; neither retries it.
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
	// linkQueueSize is the number of messages queued for one router; further ones are dropped.
	linkQueueSize = 1024
	// redialDelay is the delay before a failed stream is opened again.
	redialDelay = 200 * time.Millisecond
	// maxMessageSize bounds one received message, in bytes. The largest is the list of all targets.
	maxMessageSize = 4 << 20
	// flowControlWindow is the fixed window of streams and connections, in bytes. A window above
	// gRPC's default disables its estimation of the bandwidth-delay product, which costs a ping
	// and its acknowledgement for most messages.
	flowControlWindow = 1 << 18
	// connBufferSize is the size of a connection's read buffer and of its write buffer, in bytes.
	// It is small since a router of a large fleet has hundreds of them. Reports fit; larger
	// messages only take more system calls.
	connBufferSize = 4 << 10
	// dialTimeout bounds the time to connect, unackedTimeout the time that sent data may stay
	// unacknowledged (TCP_USER_TIMEOUT). Both make a stream recover soon after a partition ends,
	// whereas TCP alone would wait for its next retransmission.
	dialTimeout    = time.Second
	unackedTimeout = time.Second
	// idleTimeout is the time without messages after which a stream is closed: an open stream
	// takes about 85 KB of memory, both ends together. A stream is closed after one to two times
	// this time.
	idleTimeout = 10 * time.Second
)

// errIdle means that a stream was closed because it was idle.
var errIdle = errors.New("stream is idle")

// Receiver is called with each received message and the router that sent it.
type Receiver func(from member.Member, m message.Message)

// Transport holds all streams from and to one router. Create one with New.
type Transport struct {
	peerpb.UnimplementedPeerServer

	self     member.Member
	receive  Receiver
	log      logr.Logger
	group    *group.Group
	server   *grpc.Server
	listener net.Listener
	// closeAccepted closes the connections that other routers opened.
	closeAccepted context.CancelFunc

	mu sync.Mutex
	// links holds the open links by the peer address of the other router.
	links map[string]*link

	// sent and dropped count messages, bytes what was written to connections.
	sent    atomic.Int64
	bytes   atomic.Int64
	dropped atomic.Int64
	// blocked holds the peer addresses set by BlockPeers.
	blocked atomic.Pointer[map[string]bool]
}

// link is the stream to one other router, with the queue of messages to send on it.
type link struct {
	address string
	queue   chan *peerpb.Envelope
}

// New returns a transport and starts serving on listener. receive may be called from several
// goroutines, one for each router that sends.
func New(ctx context.Context, self member.Member, listener net.Listener, receive Receiver, log logr.Logger) *Transport {
	open, closeAccepted := context.WithCancel(ctx)
	t := &Transport{
		self:          self,
		receive:       receive,
		log:           log,
		group:         group.New(ctx),
		listener:      listener,
		closeAccepted: closeAccepted,
		links:         map[string]*link{},
		server: grpc.NewServer(
			grpc.MaxRecvMsgSize(maxMessageSize), grpc.InitialWindowSize(flowControlWindow), grpc.InitialConnWindowSize(flowControlWindow),
			grpc.ReadBufferSize(connBufferSize), grpc.WriteBufferSize(connBufferSize), grpc.SharedWriteBuffer(true),
		),
	}
	peerpb.RegisterPeerServer(t.server, t)
	t.group.Go(func() {
		if err := t.server.Serve(&countingListener{listener, &t.bytes, open}); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			log.Error(err, "gRPC server for peers failed")
		}
	})
	return t
}

// Send queues a message for another router. It never blocks.
func (t *Transport) Send(to member.Member, m message.Message) { t.send(to, encode(m)) }

// SendAll queues a message for several routers. It encodes the message only once, so it costs
// less than a Send for each.
func (t *Transport) SendAll(to []member.Member, m message.Message) {
	e := encode(m)
	for _, router := range to {
		t.send(router, e)
	}
}

// send queues an envelope, which must not be modified afterwards: other queues may share it.
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

// link returns the link to an address, and creates it if there is none. t.mu must be held.
func (t *Transport) link(address string) *link {
	l := t.links[address]
	if l == nil {
		l = &link{address: address, queue: make(chan *peerpb.Envelope, linkQueueSize)}
		t.links[address] = l
		t.group.GoContext(func(ctx context.Context) { t.runLink(ctx, l) })
	}
	return l
}

// runLink keeps a stream to another router open, and opens it again after failures. It returns
// when the stream has been idle.
func (t *Transport) runLink(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		err := t.runStream(ctx, l)
		if ctx.Err() != nil || errors.Is(err, errIdle) {
			return
		}
		t.log.V(1).Info("stream to router ended", "peer", l.address, "cause", err.Error())
		t.dropQueued(l)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// dropQueued drops the queued messages for a router that is unreachable: outdated control
// messages do more harm than missing ones.
func (t *Transport) dropQueued(l *link) {
	for {
		select {
		case <-l.queue:
			t.dropped.Add(1)
		default:
			return
		}
	}
}

// runStream opens a stream to another router, identifies this router on it and sends queued
// messages until the stream fails or has been idle.
func (t *Transport) runStream(ctx context.Context, l *link) error {
	conn, err := grpc.NewClient(
		"passthrough:///"+l.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(t.dial),
		grpc.WithInitialWindowSize(flowControlWindow),
		grpc.WithInitialConnWindowSize(flowControlWindow),
		grpc.WithReadBufferSize(connBufferSize),
		grpc.WithWriteBufferSize(connBufferSize),
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
		return errors.Wrapf(err, "send greeting to %s", l.address)
	}
	return t.sendLoop(stream, l)
}

// sendLoop sends the queued messages on an open stream.
func (t *Transport) sendLoop(stream peerpb.Peer_ExchangeClient, l *link) error {
	idleTicker := time.NewTicker(idleTimeout)
	defer idleTicker.Stop()
	active := true
	for {
		select {
		case <-idleTicker.C:
			if !active && t.removeIfEmpty(l) {
				return errIdle
			}
			active = false
		case <-stream.Context().Done():
			return errors.Wrapf(stream.Context().Err(), "stream to %s", l.address)
		case e := <-l.queue:
			active = true
			if t.isBlocked(l.address) {
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

// removeIfEmpty removes a link if no message is queued on it, and reports whether it did.
func (t *Transport) removeIfEmpty(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(t.links, l.address)
	return true
}

// dial connects to a peer address, and counts the bytes written to the connection.
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

// countingListener counts the bytes written to the connections it accepts, and closes them when open
// ends.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
	open  context.Context
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	forget := context.AfterFunc(l.open, func() { _ = conn.Close() })
	return &acceptedConn{countingConn{Conn: conn, bytes: l.bytes}, forget}, nil
}

// acceptedConn is a connection that a countingListener accepted.
type acceptedConn struct {
	countingConn
	// forget makes the listener no longer close the connection.
	forget func() bool
}

func (c *acceptedConn) Close() error {
	c.forget()
	return c.countingConn.Close()
}

// Exchange receives the messages on a stream from another router. It implements
// peerpb.PeerServer.
func (t *Transport) Exchange(stream peerpb.Peer_ExchangeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetId() == "" {
		return errors.New("stream does not begin with a greeting")
	}
	from := member.Member{
		ID: message.RouterID(hello.GetId()), Zone: hello.GetZone(), Address: hello.GetAddress(),
		Peer: hello.GetPeer(), Incarnation: hello.GetIncarnation(),
	}
	for {
		e, err := stream.Recv()
		if err != nil {
			return err
		}
		m := decode(e, from)
		if m == nil || t.isBlocked(from.Peer) {
			t.dropped.Add(1)
			continue
		}
		if r, ok := m.(message.Report); ok {
			from.Leaving = r.Leaving
		}
		t.receive(from, m)
	}
}

// BlockPeers makes the transport drop all messages to and from the given peer addresses, to
// simulate a network partition in tests. Each call replaces the previous addresses; nil ends
// the partition.
func (t *Transport) BlockPeers(addresses map[string]bool) { t.blocked.Store(&addresses) }

func (t *Transport) isBlocked(address string) bool {
	blocked := t.blocked.Load()
	return blocked != nil && (*blocked)[address]
}

// Stats are counters since the start. Messages counts those sent; Dropped includes received
// ones.
type Stats struct {
	Messages int64 `json:"messages"`
	// Bytes is the number of bytes written to connections, including framing.
	Bytes   int64 `json:"bytes"`
	Dropped int64 `json:"dropped"`
}

// Stats returns the counters.
func (t *Transport) Stats() Stats {
	return Stats{Messages: t.sent.Load(), Bytes: t.bytes.Load(), Dropped: t.dropped.Load()}
}

// Stop closes all streams and waits for their goroutines.
func (t *Transport) Stop() {
	// The server waits for handshakes in progress, which take up to two minutes where nothing arrives.
	t.closeAccepted()
	t.server.Stop()
	t.group.Stop()
}
