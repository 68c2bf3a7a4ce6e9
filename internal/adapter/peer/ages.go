package peer

import (
	"math"
	"time"

	"github.com/stepcroft/stepcroft/internal/adapter/peer/peerpb"
	"github.com/stepcroft/stepcroft/internal/message"
)

// encodeAges returns nil for unknown ages.
func encodeAges(a message.Ages) *peerpb.Ages {
	if !a.Known {
		return nil
	}
	// Rounded up, since a copy must not seem more recent than it is.
	ms := func(kind message.StoreKind) uint32 {
		return uint32(min(max(a.ByKind[kind]+time.Millisecond-1, 0).Milliseconds(), math.MaxUint32))
	}
	return &peerpb.Ages{
		ConfigMs: ms(message.StoreConfig), TargetsMs: ms(message.StoreTargets), ZonesMs: ms(message.StoreZones), RolloutsMs: ms(message.StoreRollouts),
	}
}

func decodeAges(a *peerpb.Ages) message.Ages {
	if a == nil {
		return message.Ages{}
	}
	age := func(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
	return message.Ages{Known: true, ByKind: [message.StoreKindCount]time.Duration{
		message.StoreConfig: age(a.GetConfigMs()), message.StoreTargets: age(a.GetTargetsMs()),
		message.StoreZones: age(a.GetZonesMs()), message.StoreRollouts: age(a.GetRolloutsMs()),
	}}
}
