package peer

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/message"
)

// encodeStatus encodes a status. Some protobuf fields have other names than those of the
// message: Kept is SharedParts, Asked is Demand, Begun is Started, Unread is PendingTokens.
func encodeStatus(m message.Status) *peerpb.Status {
	out := &peerpb.Status{Config: m.Config, ConfigVersion: m.Version, Targets: m.Targets, Zones: m.Zones, Loads: encodeLoads(m.Loads)}
	for _, parts := range m.SharedParts {
		out.Kept = append(out.Kept, &peerpb.TargetParts{Target: parts.Target, Parts: parts.Parts})
	}
	for _, u := range m.Usage {
		out.Usage = append(out.Usage, &peerpb.OrganisationUsage{
			Organisation: u.Organisation, Asked: float32(u.Demand), Begun: float32(u.Started), Waiting: uint32(u.Waiting),
		})
	}
	return out
}

func decodeStatus(m *peerpb.Status) message.Status {
	out := message.Status{
		Revisions: message.Revisions{Config: m.GetConfig(), Version: m.GetConfigVersion(), Targets: m.GetTargets(), Zones: m.GetZones()},
		Loads:     decodeLoads(m.GetLoads()),
	}
	for _, parts := range m.GetKept() {
		out.SharedParts = append(out.SharedParts, message.TargetParts{Target: parts.GetTarget(), Parts: parts.GetParts()})
	}
	for _, u := range m.GetUsage() {
		out.Usage = append(out.Usage, message.OrganisationUsage{
			Organisation: u.GetOrganisation(), Demand: float64(u.GetAsked()), Started: float64(u.GetBegun()), Waiting: int(u.GetWaiting()),
		})
	}
	return out
}

func encodeLoads(list []message.TargetLoad) []*peerpb.TargetLoad {
	var out []*peerpb.TargetLoad
	for _, l := range list {
		out = append(out, &peerpb.TargetLoad{
			Target: l.Target, Unread: uint32(l.PendingTokens), Running: uint32(l.Running), Memory: uint32(l.MemoryTokens),
		})
	}
	return out
}

func decodeLoads(list []*peerpb.TargetLoad) []message.TargetLoad {
	var out []message.TargetLoad
	for _, l := range list {
		out = append(out, message.TargetLoad{
			Target: l.GetTarget(), PendingTokens: int(l.GetUnread()), Running: int(l.GetRunning()), MemoryTokens: int(l.GetMemory()),
		})
	}
	return out
}

// encodeCopy encodes a copy. The protobuf field Gone holds the removed objects.
func encodeCopy(m message.Copy) *peerpb.Copy {
	out := &peerpb.Copy{
		ConfigRevision: m.ConfigRevision, Config: m.Config, TargetsRevision: m.Targets.Revision,
		Since: m.Targets.Since, Targets: encodeObjects(m.Targets.List), Gone: encodeObjects(m.Targets.Removed),
		UnstableMs: uint32(m.UnstableFor.Milliseconds()),
	}
	if z := m.Zones; z.Revision > 0 {
		out.Zones = &peerpb.StoredObjects{Revision: z.Revision, Since: z.Since, List: encodeObjects(z.List), Gone: encodeObjects(z.Removed)}
	}
	return out
}

func encodeObjects(list []message.StoredObject) []*peerpb.StoredObject {
	var out []*peerpb.StoredObject
	for _, t := range list {
		out = append(out, &peerpb.StoredObject{Name: t.Name, Revision: t.Revision, Value: t.Value})
	}
	return out
}

func decodeCopy(m *peerpb.Copy) message.Copy {
	z := m.GetZones()
	return message.Copy{
		ConfigRevision: m.GetConfigRevision(), Config: m.GetConfig(),
		Targets: message.StoredObjects{
			Revision: m.GetTargetsRevision(), Since: m.GetSince(), List: decodeObjects(m.GetTargets()), Removed: decodeObjects(m.GetGone()),
		},
		Zones: message.StoredObjects{
			Revision: z.GetRevision(), Since: z.GetSince(), List: decodeObjects(z.GetList()), Removed: decodeObjects(z.GetGone()),
		},
		UnstableFor: time.Duration(m.GetUnstableMs()) * time.Millisecond,
	}
}

func decodeObjects(list []*peerpb.StoredObject) []message.StoredObject {
	var out []message.StoredObject
	for _, t := range list {
		out = append(out, message.StoredObject{Name: t.GetName(), Revision: t.GetRevision(), Value: t.GetValue()})
	}
	return out
}
