package peer

import (
	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/message"
)

func encodeTargetExits(m message.TargetExits) *peerpb.TargetExits {
	out := &peerpb.TargetExits{}
	for _, p := range m.Ended {
		out.Incarnations = append(out.Incarnations, p.Incarnation)
		out.Versions = append(out.Versions, p.Version)
		out.Writes = append(out.Writes, p.Writes)
		out.Revisions = append(out.Revisions, p.Revision)
	}
	return out
}

// decodeTargetExits decodes a message. Routers that do not tell more than the incarnations leave the rest out.
func decodeTargetExits(m *peerpb.TargetExits) message.TargetExits {
	var out message.TargetExits
	names := m.GetIncarnations()
	complete := len(m.GetVersions()) == len(names) && len(m.GetWrites()) == len(names) && len(m.GetRevisions()) == len(names)
	for i, name := range names {
		p := message.TargetProcess{Incarnation: name}
		if complete && len(m.GetVersions()[i]) <= maxVersionBytes {
			p.Version, p.Writes, p.Revision = m.GetVersions()[i], m.GetWrites()[i], m.GetRevisions()[i]
		}
		out.Ended = append(out.Ended, p)
	}
	return out
}
