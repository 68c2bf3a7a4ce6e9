package peer

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/returns"
	"github.com/stepcroft/stepcroft/internal/rollout"
)

// encodeStatus encodes a status. Some protobuf fields have other names than those of the
// message: Kept is SharedParts, Asked is Demand, Begun is Started, Unread is PendingTokens.
func encodeStatus(m message.Status) *peerpb.Status {
	out := &peerpb.Status{Config: m.Config, ConfigVersion: m.Version, Targets: m.Targets, Zones: m.Zones, Rollouts: m.Rollouts, Ages: encodeAges(m.Ages), Loads: encodeLoads(m.Loads)}
	for _, r := range m.RolloutResults {
		out.RolloutResults = append(out.RolloutResults, &peerpb.RolloutResults{
			Service: r.Service, Version: r.Version, NewAnswers: uint32(r.New.Answers), NewBad: uint32(r.New.Bad),
			OtherAnswers: uint32(r.Other.Answers), OtherBad: uint32(r.Other.Bad),
		})
	}
	for _, e := range m.Speeds {
		out.Speeds = append(out.Speeds, &peerpb.EngineSpeed{Target: e.Target, Service: e.Service, ExpectedMs: float32(e.Expected), ActualMs: float32(e.Actual)})
	}
	for _, r := range m.Returns {
		slots := &peerpb.ReturnSlots{Service: r.Service, First: r.First}
		for _, tokens := range r.Tokens {
			slots.Tokens = append(slots.Tokens, float32(tokens))
		}
		out.Returns = append(out.Returns, slots)
	}
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
		Revisions: message.Revisions{Config: m.GetConfig(), Version: m.GetConfigVersion(), Targets: m.GetTargets(), Zones: m.GetZones(), Rollouts: m.GetRollouts()},
		Ages:      decodeAges(m.GetAges()),
		Loads:     decodeLoads(m.GetLoads()),
	}
	for _, r := range m.GetRolloutResults() {
		out.RolloutResults = append(out.RolloutResults, rollout.Results{
			Service: r.GetService(), Version: r.GetVersion(),
			New:   rollout.Counts{Answers: int(r.GetNewAnswers()), Bad: int(r.GetNewBad())},
			Other: rollout.Counts{Answers: int(r.GetOtherAnswers()), Bad: int(r.GetOtherBad())},
		})
	}
	for _, e := range m.GetSpeeds() {
		out.Speeds = append(out.Speeds, enginespeed.Report{
			Target: e.GetTarget(), Service: e.GetService(),
			Sums: enginespeed.Sums{Expected: float64(e.GetExpectedMs()), Actual: float64(e.GetActualMs())},
		})
	}
	for _, r := range m.GetReturns() {
		slots := returns.Slots{Service: r.GetService(), First: r.GetFirst()}
		for _, tokens := range r.GetTokens() {
			slots.Tokens = append(slots.Tokens, float64(tokens))
		}
		out.Returns = append(out.Returns, slots)
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
		Gaps: encodeGaps(m.Targets.Gaps), UnstableMs: uint32(m.UnstableFor.Milliseconds()),
	}
	out.Zones, out.Rollouts = encodeStored(m.Zones), encodeStored(m.Rollouts)
	return out
}

func encodeStored(m message.StoredObjects) *peerpb.StoredObjects {
	if m.Revision == 0 {
		return nil
	}
	return &peerpb.StoredObjects{
		Revision: m.Revision, Since: m.Since, List: encodeObjects(m.List), Gone: encodeObjects(m.Removed), Gaps: encodeGaps(m.Gaps),
	}
}

func decodeStored(m *peerpb.StoredObjects) message.StoredObjects {
	return message.StoredObjects{
		Revision: m.GetRevision(), Since: m.GetSince(), List: decodeObjects(m.GetList()), Removed: decodeObjects(m.GetGone()),
		Gaps: decodeGaps(m.GetGaps()),
	}
}

func encodeGaps(list []message.Gap) []*peerpb.Gap {
	var out []*peerpb.Gap
	for _, g := range list {
		out = append(out, &peerpb.Gap{After: g.After, Before: g.Before})
	}
	return out
}

func decodeGaps(list []*peerpb.Gap) []message.Gap {
	var out []message.Gap
	for _, g := range list {
		out = append(out, message.Gap{After: g.GetAfter(), Before: g.GetBefore()})
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
	return message.Copy{
		ConfigRevision: m.GetConfigRevision(), Config: m.GetConfig(),
		Targets: message.StoredObjects{
			Revision: m.GetTargetsRevision(), Since: m.GetSince(), List: decodeObjects(m.GetTargets()), Removed: decodeObjects(m.GetGone()),
			Gaps: decodeGaps(m.GetGaps()),
		},
		Zones: decodeStored(m.GetZones()), Rollouts: decodeStored(m.GetRollouts()),
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
