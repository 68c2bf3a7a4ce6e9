package peer

import (
	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// maxVersionBytes is the longest version that is accepted, in bytes.
const maxVersionBytes = 256

// encodeStreamVersions encodes a message. Streams of which the same is said are listed together.
func encodeStreamVersions(m message.StreamVersions) *peerpb.StreamVersions {
	out := &peerpb.StreamVersions{Asked: encodeKeys(m.Asked), Unknown: encodeKeys(m.Unknown)}
	groups := map[streamversion.Record]*peerpb.BegunStreams{}
	for _, r := range m.Records {
		same := streamversion.Record{Version: r.Version, Corrections: r.Corrections}
		b := groups[same]
		if b == nil {
			b = &peerpb.BegunStreams{Version: r.Version, Corrections: r.Corrections}
			groups[same] = b
			out.Begun = append(out.Begun, b)
		}
		b.Keys = append(b.Keys, uint64(r.Key))
	}
	out.StoredAt = m.StoredAt
	for _, v := range m.Stored {
		out.Stored = append(out.Stored, &peerpb.ServiceVersion{Service: v.Service, Version: v.Version})
	}
	return out
}

// decodeStreamVersions decodes a message. It skips versions that are too long.
func decodeStreamVersions(m *peerpb.StreamVersions) message.StreamVersions {
	out := streamversion.Message{Asked: decodeKeys(m.GetAsked()), Unknown: decodeKeys(m.GetUnknown()), StoredAt: m.GetStoredAt()}
	for _, b := range m.GetBegun() {
		if len(b.GetVersion()) > maxVersionBytes {
			continue
		}
		for _, k := range b.GetKeys() {
			out.Records = append(out.Records, streamversion.Record{Key: streamversion.Key(k), Version: b.GetVersion(), Corrections: b.GetCorrections()})
		}
	}
	for _, v := range m.GetStored() {
		if len(v.GetVersion()) <= maxVersionBytes {
			out.Stored = append(out.Stored, streamversion.ServiceVersion{Service: v.GetService(), Version: v.GetVersion()})
		}
	}
	return message.StreamVersions{Message: out}
}

func encodeKeys(list []streamversion.Key) []uint64 {
	out := make([]uint64, 0, len(list))
	for _, k := range list {
		out = append(out, uint64(k))
	}
	return out
}

func decodeKeys(list []uint64) []streamversion.Key {
	out := make([]streamversion.Key, 0, len(list))
	for _, k := range list {
		out = append(out, streamversion.Key(k))
	}
	return out
}
