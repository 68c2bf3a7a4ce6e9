package gateway

import (
	"github.com/stepcroft/stepcroft/internal/counters"
)

// addGauges publishes what is read each time the metrics are.
func (g *Gateway) addGauges(m *counters.Registry) {
	m.Set("target_connections", func() any { return g.transport.Stats() })
	m.Set("peer_messages", func() any { return g.peers.Stats() })
	m.Set("peer_datagrams", func() any { return g.datagrams.Stats() })
	m.Set("processor_part", func() any { return g.loop.CPUUtilisation() })
	m.Set("turned_away", func() any { return g.server.RejectedConnections() })
	m.Set("closed_unanswered", func() any { return g.server.ClosedUnanswered() })
	m.Set("ticks", func() any { return map[string]int64{"decisions": g.loop.Ticks(), "exchange": g.ticks.Load()} })
	m.Set("pause_bounded", func() any { bounded, _ := g.loop.PauseCounts(); return bounded })
	m.Set("cannot_finish", func() any { _, cannotFinish := g.loop.PauseCounts(); return cannotFinish })
	m.Set("handover", func() any { return g.relays.Stats() })
	m.Set("requests", func() any { return g.requestSums() })
	m.Set("open_requests", func() any { return g.server.OpenRequests() })
	m.Set("bodies", func() any { return g.memory.Stats() })
	m.Set("answer_buffers", func() any { return g.answers.budget.Stats() })
	m.Set("configuration", g.configStats)
	m.Set("store_copies", g.copyStats)
}
