package peer

import (
	"encoding/binary"
	"net/netip"
)

// A message that is too large for one datagram is sent as up to maxFragments fragments. Opening a
// stream for it would cost both ends a connection, which a router of a large fleet would soon
// have with hundreds of others. If a fragment is lost, the message is.
const (
	// maxFragments is the number of fragments of the largest message, some 17 KB.
	maxFragments = 12
	// fragmentMark is the first byte of a fragment. No encoded envelope begins with it, since
	// protobuf has no field of number 0.
	fragmentMark = 0
	// fragmentHeader is the size of a fragment's header: the mark, the message's number, the
	// fragment's index and the number of fragments.
	fragmentHeader  = 1 + 8 + 1 + 1
	fragmentPayload = maxDatagram - fragmentHeader
	// maxPartial bounds the messages of which some fragments have arrived. The oldest one is
	// dropped first.
	maxPartial = 64
)

// split returns the fragments of an encoded message, or nil if it has too many.
func split(number uint64, data []byte) [][]byte {
	count := (len(data) + fragmentPayload - 1) / fragmentPayload
	if count > maxFragments {
		return nil
	}
	list := make([][]byte, 0, count)
	for i := range count {
		payload := data[i*fragmentPayload : min((i+1)*fragmentPayload, len(data))]
		f := make([]byte, 0, fragmentHeader+len(payload))
		f = append(f, fragmentMark)
		f = binary.BigEndian.AppendUint64(f, number)
		f = append(f, byte(i), byte(count))
		list = append(list, append(f, payload...))
	}
	return list
}

// messageKey identifies a message in fragments.
type messageKey struct {
	from   netip.AddrPort
	number uint64
}

// partialMessage holds the fragments of a message that have arrived, by index.
type partialMessage struct {
	fragments [][]byte
	missing   int
}

// assembler puts fragments together. The zero value is ready to use.
type assembler struct {
	partial map[messageKey]*partialMessage
	// order has the keys of partial, oldest first, and those of messages that are complete.
	order []messageKey
	// dropped counts messages given up before they were complete, and malformed fragments.
	dropped int64
}

// add adds a fragment and returns the message if it is complete, else nil.
func (a *assembler) add(from netip.AddrPort, fragment []byte) []byte {
	if len(fragment) < fragmentHeader {
		a.dropped++
		return nil
	}
	index, count := int(fragment[fragmentHeader-2]), int(fragment[fragmentHeader-1])
	if count < 1 || count > maxFragments || index >= count {
		a.dropped++
		return nil
	}
	key := messageKey{from, binary.BigEndian.Uint64(fragment[1:])}
	m := a.partial[key]
	if m == nil {
		m = &partialMessage{fragments: make([][]byte, count), missing: count}
		a.insert(key, m)
	}
	if len(m.fragments) != count {
		a.dropped++
		return nil
	}
	if m.fragments[index] == nil {
		m.fragments[index] = append([]byte{}, fragment[fragmentHeader:]...)
		m.missing--
	}
	if m.missing > 0 {
		return nil
	}
	delete(a.partial, key)
	var data []byte
	for _, f := range m.fragments {
		data = append(data, f...)
	}
	return data
}

func (a *assembler) insert(key messageKey, m *partialMessage) {
	if a.partial == nil {
		a.partial = map[messageKey]*partialMessage{}
	}
	a.partial[key] = m
	a.order = append(a.order, key)
	for len(a.order) > maxPartial {
		if _, ok := a.partial[a.order[0]]; ok {
			delete(a.partial, a.order[0])
			a.dropped++
		}
		a.order = a.order[1:]
	}
}
