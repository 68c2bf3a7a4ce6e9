package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

// maxDatagram is the most bytes in a datagram: what an Ethernet frame carries
// without being cut up, less the headers of IP and UDP.
const maxDatagram = 1472

// errTooLarge means that a message does not fit into a datagram.
var errTooLarge = errors.New("message is too large for a datagram")

// listenTries is how often Listen looks for a port that is free both for
// connections and for datagrams.
const listenTries = 16

// Listen listens for streams and for datagrams at one address; its port may be 0.
func Listen(address string) (net.Listener, *net.UDPConn, error) {
	var last error
	for range listenTries {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, errors.Wrap(err, "listen for streams")
		}
		at := l.Addr().(*net.TCPAddr)
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
		if err == nil {
			return l, conn, nil
		}
		last = errors.Wrap(err, "listen for datagrams")
		_ = l.Close()
	}
	return nil, nil, last
}

// Datagrams sends and receives messages that may be lost, without a connection to
// each other router. Use NewDatagrams to make one.
type Datagrams struct {
	self    member.Member
	conn    *net.UDPConn
	receive Receiver
	log     logr.Logger
	group   *group.Group

	sent, bytes, received, dropped atomic.Int64
}

// NewDatagrams starts to receive on conn.
func NewDatagrams(ctx context.Context, self member.Member, conn *net.UDPConn, receive Receiver, log logr.Logger) *Datagrams {
	d := &Datagrams{self: self, conn: conn, receive: receive, log: log, group: group.New(ctx)}
	d.group.Go(d.read)
	return d
}

// Send sends a message to another router's Peer address. It returns false if the
// message is too large; one that could not be sent otherwise counts as lost.
func (d *Datagrams) Send(to member.Member, m message.Message) bool {
	err := d.send(to.Peer, m)
	if errors.Is(err, errTooLarge) {
		return false
	}
	if err != nil {
		d.dropped.Add(1)
		d.log.V(1).Info("datagram not sent", "peer", to.Peer, "cause", err.Error())
	}
	return true
}

func (d *Datagrams) send(address string, m message.Message) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "router's address")
	}
	e := encode(m)
	if _, ok := m.(message.Ping); !ok {
		e.Sender, e.SenderPeer = string(d.self.ID), d.self.Peer
	}
	b, err := proto.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode datagram")
	}
	if len(b) > maxDatagram {
		return errTooLarge
	}
	if _, err := d.conn.WriteToUDPAddrPort(b, to); err != nil {
		return errors.Wrapf(err, "send datagram to %s", address)
	}
	d.sent.Add(1)
	d.bytes.Add(int64(len(b)))
	return nil
}

// read takes in datagrams until the connection is closed. Errors of single
// datagrams, such as a port that nobody listens on, end nothing.
func (d *Datagrams) read() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			d.dropped.Add(1)
			d.log.V(1).Info("datagram not received", "cause", err.Error())
			continue
		}
		d.take(buffer[:n])
	}
}

func (d *Datagrams) take(b []byte) {
	e := new(peerpb.Envelope)
	if err := proto.Unmarshal(b, e); err != nil {
		d.dropped.Add(1)
		d.log.V(1).Info("datagram ignored", "cause", err.Error())
		return
	}
	from := member.Member{ID: message.RouterID(e.GetSender()), Peer: e.GetSenderPeer()}
	m := decode(e, from)
	if ping, ok := m.(message.Ping); ok {
		from.ID, from.Peer = ping.From.ID, ping.From.Peer
	}
	if m == nil || from.ID == "" || from.Peer == "" {
		d.dropped.Add(1)
		return
	}
	d.received.Add(1)
	d.receive(from, m)
}

// DatagramStats are running totals of datagrams.
type DatagramStats struct {
	Sent     int64 `json:"sent"`
	Bytes    int64 `json:"bytes"`
	Received int64 `json:"received"`
	Dropped  int64 `json:"dropped"`
}

// Stats returns the totals since the start.
func (d *Datagrams) Stats() DatagramStats {
	return DatagramStats{Sent: d.sent.Load(), Bytes: d.bytes.Load(), Received: d.received.Load(), Dropped: d.dropped.Load()}
}

// Stop closes the connection and waits for its goroutine.
func (d *Datagrams) Stop() {
	if err := d.conn.Close(); err != nil {
		d.log.Error(err, "datagrams not closed")
	}
	d.group.Stop()
}
