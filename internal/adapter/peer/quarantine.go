package peer

import (
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// encodeQuarantine encodes a message. A suspect's targets are in Cleared or in Crashed, and those
// of trials also in Trials.
func encodeQuarantine(m message.Quarantine) *peerpb.Quarantine {
	out := &peerpb.Quarantine{WantAll: m.WantAll}
	for _, r := range m.Records {
		s := &peerpb.SuspectedRequest{
			Key: r.Key[:], Part: r.Part, Organisation: r.Organisation, CrashAgeMs: ageMillis(r.SinceCrash), SeenAgeMs: ageMillis(r.SinceSeen), SharedAgeMs: ageMillis(r.SinceShared),
		}
		for _, c := range r.Crashes {
			if c.Trial {
				s.Trials = append(s.Trials, c.Target)
			}
			if c.Cleared {
				s.Cleared = append(s.Cleared, c.Target)
				continue
			}
			s.Crashed = append(s.Crashed, c.Target)
		}
		out.Records = append(out.Records, s)
	}
	return out
}

// ageMillis returns an age in milliseconds, limited to the range of the field on the wire.
func ageMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// decodeQuarantine decodes a message. It skips records whose key has the wrong length.
func decodeQuarantine(m *peerpb.Quarantine) message.Quarantine {
	out := message.Quarantine{WantAll: m.GetWantAll()}
	for _, s := range m.GetRecords() {
		if len(s.GetKey()) != quarantine.KeySize {
			continue
		}
		r := quarantine.Record{
			Key: quarantine.Key(s.GetKey()), Part: s.GetPart(), Organisation: s.GetOrganisation(),
			SinceCrash: time.Duration(s.GetCrashAgeMs()) * time.Millisecond,
			SinceSeen:  time.Duration(s.GetSeenAgeMs()) * time.Millisecond,

			SinceShared: time.Duration(s.GetSharedAgeMs()) * time.Millisecond,
		}
		for _, target := range s.GetCrashed() {
			r.Crashes = append(r.Crashes, quarantine.Crash{Target: target, Trial: slices.Contains(s.GetTrials(), target)})
		}
		for _, target := range s.GetCleared() {
			r.Crashes = append(r.Crashes, quarantine.Crash{Target: target, Cleared: true, Trial: slices.Contains(s.GetTrials(), target)})
		}
		out.Records = append(out.Records, r)
	}
	return out
}

// encodeTrial encodes a message.
func encodeTrial(m message.Trial) *peerpb.Trial {
	out := &peerpb.Trial{Step: uint32(m.Step), Id: m.ID, Ms: ageMillis(m.For), Broke: m.Broke}
	for _, k := range m.Keys {
		out.Keys = append(out.Keys, k[:])
	}
	return out
}

// decodeTrial decodes a message. Without its keys it means nothing, so that one with a key of the wrong length
// has none.
func decodeTrial(m *peerpb.Trial) message.Trial {
	out := message.Trial{
		Step: message.TrialStep(min(m.GetStep(), math.MaxUint8)), ID: m.GetId(), For: time.Duration(m.GetMs()) * time.Millisecond, Broke: m.GetBroke(),
	}
	for _, k := range m.GetKeys() {
		if len(k) != quarantine.KeySize {
			out.Keys = nil
			return out
		}
		out.Keys = append(out.Keys, quarantine.Key(k))
	}
	return out
}
