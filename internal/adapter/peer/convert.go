package peer

import (
	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

// encode returns the protobuf form of m, or nil if its type is unknown.
func encode(m message.Message) *peerpb.Envelope {
	switch m := m.(type) {
	case message.Report:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Report{Report: encodeReport(m)}}
	case message.Grant:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: &peerpb.Grant{
			Slot: m.Slot, Engine: m.Engine, Organisation: m.Organisation,
		}}}
	case message.Decline:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Decline{Decline: &peerpb.Decline{
			Slot: m.Slot, Unknown: m.Unknown,
		}}}
	case message.Done:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Done{Done: &peerpb.Done{
			Slot: m.Slot, Organisation: m.Organisation, Cost: float32(m.Cost),
			Waiting: uint32(m.Waiting), Failed: m.Failed, Partial: m.Partial,
		}}}
	case message.Ask:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Ask{Ask: &peerpb.Ask{
			Pool: m.Pool, Organisation: m.Organisation, Waiting: uint32(m.Waiting), Free: m.Free,
		}}}
	case message.Held:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Held{Held: &peerpb.Held{
			Engine: m.Engine, Foreign: uint32(m.Foreign),
		}}}
	case message.Audit:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Audit{Audit: &peerpb.Audit{Slots: m.Slots}}}
	case message.Objects:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Objects{Objects: &peerpb.Objects{
			Since: m.Since, Revision: m.Revision, Objects: m.Objects,
		}}}
	case message.Want:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Want{Want: &peerpb.Want{Since: m.Since}}}
	case message.Idle:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Idle{Idle: &peerpb.Idle{Pool: m.Pool, Free: uint32(m.Free)}}}
	case message.Status:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Status{Status: encodeStatus(m)}}
	case message.Loads:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: &peerpb.Loads{
			Loads: encodeLoads(m.Loads), Added: encodeLoads(m.Deltas),
		}}}
	case message.Copy:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Copy{Copy: pack(m.Packed, encodeCopy(m))}}
	case message.NeedCopy:
		return &peerpb.Envelope{Body: &peerpb.Envelope_NeedCopy{NeedCopy: &peerpb.NeedCopy{
			Config: m.Config, ConfigVersion: m.Version, Targets: m.Targets, Zones: m.Zones, Rollouts: m.Rollouts, Packed: m.Packed,
			DropsUnlisted: m.DropsUnlisted,
		}}}
	case message.ZoneStatus:
		return &peerpb.Envelope{Body: &peerpb.Envelope_ZoneStatus{ZoneStatus: &peerpb.ZoneStatus{
			Zone: m.Zone, Status: encodeStatus(m.Status),
		}}}
	case message.Quarantine:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Quarantine{Quarantine: encodeQuarantine(m)}}
	case message.StreamVersions:
		return &peerpb.Envelope{Body: &peerpb.Envelope_StreamVersions{StreamVersions: encodeStreamVersions(m)}}
	case message.TargetExits:
		return &peerpb.Envelope{Body: &peerpb.Envelope_TargetExits{TargetExits: encodeTargetExits(m)}}
	case message.Trial:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Trial{Trial: encodeTrial(m)}}
	case message.Ping:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Ping{Ping: encodePing(m)}}
	}
	return nil
}

func encodeReport(r message.Report) *peerpb.Report {
	out := &peerpb.Report{Sequence: r.Sequence, Leaving: r.Leaving, Revision: r.Revision}
	for _, p := range r.Pools {
		pool := &peerpb.PoolReport{Pool: p.Pool, Free: uint32(p.Free)}
		for _, o := range p.Organisations {
			pool.Organisations = append(pool.Organisations, o.Organisation)
			pool.Service = append(pool.Service, o.Service)
			pool.Waiting = append(pool.Waiting, uint32(o.Waiting))
			pool.Backlogged = append(pool.Backlogged, o.Backlogged)
		}
		out.Pools = append(out.Pools, pool)
	}
	return out
}

// decode returns the message in e, sent by router from. It returns nil if e holds no message, a
// malformed one, or one of an unknown type.
func decode(e *peerpb.Envelope, from member.Member) message.Message {
	switch b := e.GetBody().(type) {
	case *peerpb.Envelope_Report:
		return decodeReport(b.Report, from.Incarnation)
	case *peerpb.Envelope_Grant:
		g := b.Grant
		return message.Grant{
			Slot: g.GetSlot(), Engine: g.GetEngine(),
			Organisation: g.GetOrganisation(),
		}
	case *peerpb.Envelope_Decline:
		return message.Decline{
			Slot: b.Decline.GetSlot(), Unknown: b.Decline.GetUnknown(),
		}
	case *peerpb.Envelope_Done:
		d := b.Done
		return message.Done{
			Slot: d.GetSlot(), Organisation: d.GetOrganisation(), Cost: float64(d.GetCost()),
			Waiting: int(d.GetWaiting()), Failed: d.GetFailed(), Partial: d.GetPartial(),
		}
	case *peerpb.Envelope_Ask:
		return message.Ask{
			Pool: b.Ask.GetPool(), Organisation: b.Ask.GetOrganisation(), Waiting: int(b.Ask.GetWaiting()),
			Free: b.Ask.GetFree(),
		}
	case *peerpb.Envelope_Held:
		return message.Held{Engine: b.Held.GetEngine(), Foreign: int(b.Held.GetForeign())}
	case *peerpb.Envelope_Audit:
		return message.Audit{Slots: b.Audit.GetSlots()}
	case *peerpb.Envelope_Objects:
		o := b.Objects
		return message.Objects{Since: o.GetSince(), Revision: o.GetRevision(), Objects: o.GetObjects()}
	case *peerpb.Envelope_Want:
		return message.Want{Since: b.Want.GetSince()}
	case *peerpb.Envelope_Idle:
		return message.Idle{Pool: b.Idle.GetPool(), Free: int(b.Idle.GetFree())}
	case *peerpb.Envelope_Status:
		return decodeStatus(b.Status)
	case *peerpb.Envelope_Loads:
		return message.Loads{Loads: decodeLoads(b.Loads.GetLoads()), Deltas: decodeLoads(b.Loads.GetAdded())}
	case *peerpb.Envelope_Copy:
		if len(b.Copy.GetPacked()) > 0 {
			return decodePacked(b.Copy.GetPacked())
		}
		return decodeCopy(b.Copy)
	case *peerpb.Envelope_ZoneStatus:
		return message.ZoneStatus{Zone: b.ZoneStatus.GetZone(), Status: decodeStatus(b.ZoneStatus.GetStatus())}
	case *peerpb.Envelope_Quarantine:
		return decodeQuarantine(b.Quarantine)
	case *peerpb.Envelope_StreamVersions:
		return decodeStreamVersions(b.StreamVersions)
	case *peerpb.Envelope_TargetExits:
		return decodeTargetExits(b.TargetExits)
	case *peerpb.Envelope_Trial:
		return decodeTrial(b.Trial)
	case *peerpb.Envelope_Ping:
		return decodePing(b.Ping)
	case *peerpb.Envelope_NeedCopy:
		return message.NeedCopy{
			Revisions: message.Revisions{
				Config: b.NeedCopy.GetConfig(), Version: b.NeedCopy.GetConfigVersion(),
				Targets: b.NeedCopy.GetTargets(), Zones: b.NeedCopy.GetZones(), Rollouts: b.NeedCopy.GetRollouts(),
			},
			Packed: b.NeedCopy.GetPacked(), DropsUnlisted: b.NeedCopy.GetDropsUnlisted(),
		}
	}
	return nil
}

// decodeReport decodes a report. It returns nil if the parallel lists of a pool's organisations
// differ in length.
func decodeReport(r *peerpb.Report, incarnation uint64) message.Message {
	out := message.Report{
		Incarnation: incarnation, Sequence: r.GetSequence(), Leaving: r.GetLeaving(), Revision: r.GetRevision(),
	}
	for _, p := range r.GetPools() {
		n := len(p.GetOrganisations())
		if len(p.GetService()) != n || len(p.GetWaiting()) != n || len(p.GetBacklogged()) != n {
			return nil
		}
		pool := message.PoolReport{Pool: p.GetPool(), Free: int(p.GetFree())}
		for i, name := range p.GetOrganisations() {
			pool.Organisations = append(pool.Organisations, message.OrganisationReport{
				Organisation: name, Service: p.GetService()[i], Waiting: int(p.GetWaiting()[i]),
				Backlogged: p.GetBacklogged()[i],
			})
		}
		out.Pools = append(out.Pools, pool)
	}
	return out
}
