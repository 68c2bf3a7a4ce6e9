package peer

import (
	"context"
	"math/rand/v2"
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

// maxDatagram is the maximum size of a datagram in bytes: an Ethernet frame's 1500 less the
// headers of IPv4 and UDP, so that IP doesn't fragment it.
const maxDatagram = 1472

// errTooLarge means that an encoded message is larger than maxFragments fragments.
var errTooLarge = errors.New("message is too large for datagrams")

// maxListenTries is how many ports Listen tries to find one that is free for both TCP and UDP.
const maxListenTries = 16

// Listen listens on the same address and port for TCP connections and for UDP datagrams. The
// port may be 0, for any that is free for both.
func Listen(address string) (net.Listener, *net.UDPConn, error) {
	var lastErr error
	for range maxListenTries {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, errors.Wrap(err, "listen for streams")
		}
		tcpAddr := l.Addr().(*net.TCPAddr)
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: tcpAddr.IP, Port: tcpAddr.Port})
		if err == nil {
			return l, conn, nil
		}
		lastErr = errors.Wrap(err, "listen for datagrams")
		_ = l.Close()
	}
	return nil, nil, lastErr
}

// Datagrams sends and receives messages of up to some kilobytes over UDP, without delivery guarantee and without
// a connection to each peer. Create one with NewDatagrams.
type Datagrams struct {
	self    member.Member
	conn    *net.UDPConn
	receive Receiver
	log     logr.Logger
	group   *group.Group

	// numbers has the number of the last message sent in fragments.
	numbers   atomic.Uint64
	assembler assembler

	sent, bytes, received, dropped atomic.Int64
}

// NewDatagrams returns a Datagrams that uses conn, and starts receiving. It calls receive with
// each message, from a single goroutine.
func NewDatagrams(ctx context.Context, self member.Member, conn *net.UDPConn, receive Receiver, log logr.Logger) *Datagrams {
	d := &Datagrams{self: self, conn: conn, receive: receive, log: log, group: group.New(ctx)}
	d.numbers.Store(rand.Uint64())
	d.group.Go(d.readLoop)
	return d
}

// Send sends a message to the Peer address of another router, in fragments if necessary. It
// returns false if the message is too large for them. All other failures only count as dropped,
// like a datagram lost on the way.
func (d *Datagrams) Send(to member.Member, m message.Message) bool {
	return d.SendAll([]member.Member{to}, m)
}

// SendAll is Send for several routers. It encodes the message only once.
func (d *Datagrams) SendAll(to []member.Member, m message.Message) bool {
	list, err := d.encode(m)
	switch {
	case errors.Is(err, errTooLarge):
		return false
	case err != nil:
		d.dropped.Add(int64(len(to)))
		d.log.Error(err, "message not encoded")
		return true
	}
	for _, router := range to {
		if err := d.write(router.Peer, list); err != nil {
			d.dropped.Add(1)
			d.log.V(1).Info("datagram not sent", "peer", router.Peer, "cause", err.Error())
		}
	}
	return true
}

// encode returns the datagrams for a message.
func (d *Datagrams) encode(m message.Message) ([][]byte, error) {
	e := encode(m)
	if _, ok := m.(message.Ping); !ok {
		e.Sender, e.SenderPeer = string(d.self.ID), d.self.Peer
	}
	data, err := proto.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	if len(data) <= maxDatagram {
		return [][]byte{data}, nil
	}
	list := split(d.numbers.Add(1), data)
	if list == nil {
		return nil, errTooLarge
	}
	return list, nil
}

// write sends the datagrams of one message.
func (d *Datagrams) write(address string, list [][]byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "parse address of router")
	}
	for _, data := range list {
		if _, err := d.conn.WriteToUDPAddrPort(data, to); err != nil {
			return errors.Wrapf(err, "send datagram to %s", address)
		}
		d.bytes.Add(int64(len(data)))
	}
	d.sent.Add(1)
	return nil
}

// readLoop receives datagrams until the connection is closed. It continues after errors of
// single datagrams, such as an ICMP report that a peer's port is closed.
func (d *Datagrams) readLoop() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			d.dropped.Add(1)
			d.log.V(1).Info("datagram not received", "cause", err.Error())
			continue
		}
		data := buffer[:n]
		if n > 0 && data[0] == fragmentMark {
			before := d.assembler.dropped
			data = d.assembler.add(from, data)
			d.dropped.Add(d.assembler.dropped - before)
			if data == nil {
				continue
			}
		}
		d.handle(data)
	}
}

// handle decodes a datagram and passes its message to the receiver. It drops datagrams that do
// not name their sender: there would be no address to respond to.
func (d *Datagrams) handle(data []byte) {
	e := new(peerpb.Envelope)
	if err := proto.Unmarshal(data, e); err != nil {
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

// DatagramStats are counters of messages since the start. Bytes counts those of all datagrams sent, without
// the headers of IP and UDP.
type DatagramStats struct {
	Sent     int64 `json:"sent"`
	Bytes    int64 `json:"bytes"`
	Received int64 `json:"received"`
	Dropped  int64 `json:"dropped"`
}

// Stats returns the counters.
func (d *Datagrams) Stats() DatagramStats {
	return DatagramStats{Sent: d.sent.Load(), Bytes: d.bytes.Load(), Received: d.received.Load(), Dropped: d.dropped.Load()}
}

// Stop closes the connection and waits for the receiving goroutine.
func (d *Datagrams) Stop() {
	if err := d.conn.Close(); err != nil {
		d.log.Error(err, "failed to close the datagram socket")
	}
	d.group.Stop()
}
