package peer

import (
	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/message"
)

func encodePing(m message.Ping) *peerpb.Ping {
	out := &peerpb.Ping{
		From: encodeRecord(m.From), Kind: uint32(m.Kind), Config: m.Config, ConfigVersion: m.Version, Targets: m.Targets, Zones: m.Zones, Rollouts: m.Rollouts,
		Digest: m.RosterDigest, WantAll: m.WantAll, Quarantine: m.QuarantineDigest, Ages: encodeAges(m.Ages), Number: m.Number,
	}
	for _, r := range m.Records {
		out.Records = append(out.Records, encodeRecord(r))
	}
	return out
}

func decodePing(m *peerpb.Ping) message.Ping {
	out := message.Ping{
		From: decodeRecord(m.GetFrom()), Kind: message.PingKind(m.GetKind()),
		Revisions:    message.Revisions{Config: m.GetConfig(), Version: m.GetConfigVersion(), Targets: m.GetTargets(), Zones: m.GetZones(), Rollouts: m.GetRollouts()},
		Ages:         decodeAges(m.GetAges()),
		Number:       m.GetNumber(),
		RosterDigest: m.GetDigest(), WantAll: m.GetWantAll(), QuarantineDigest: m.GetQuarantine(),
	}
	for _, r := range m.GetRecords() {
		out.Records = append(out.Records, decodeRecord(r))
	}
	return out
}

// encodeRecord encodes a router's record. The protobuf field Belief holds its state.
func encodeRecord(r message.RouterRecord) *peerpb.RouterRecord {
	return &peerpb.RouterRecord{
		Id: string(r.ID), Zone: r.Zone, Address: r.Address, Peer: r.Peer,
		Incarnation: r.Incarnation, Version: r.Version, Belief: uint32(r.State),
		Ready: r.Ready, Leaving: r.Leaving, Serving: r.Serving, StoreTrouble: r.StoreFailing, Capacity: float32(r.Capacity), Handover: r.Handover,
	}
}

func decodeRecord(r *peerpb.RouterRecord) message.RouterRecord {
	return message.RouterRecord{
		ID: message.RouterID(r.GetId()), Zone: r.GetZone(), Address: r.GetAddress(), Peer: r.GetPeer(),
		Incarnation: r.GetIncarnation(), Version: r.GetVersion(), State: message.RouterState(r.GetBelief()),
		Ready: r.GetReady(), Leaving: r.GetLeaving(), Serving: r.GetServing(), StoreFailing: r.GetStoreTrouble(),
		Capacity: float64(r.GetCapacity()), Handover: r.GetHandover(),
	}
}
