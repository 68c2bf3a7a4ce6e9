package loadreport

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/view"
)

// statusOf converts a report into a message.
func (e *Exchange) statusOf(now time.Time, r view.Report) message.Status {
	m := message.Status{Revisions: e.Copies.Newest(), Ages: e.Copies.Ages(now), RolloutResults: e.Rollouts.Results(), Speeds: r.Speeds, Returns: r.Returns}
	for id, l := range r.Loads {
		m.Loads = append(m.Loads, targetLoad(id, l))
	}
	for id, parts := range r.SharedParts {
		m.SharedParts = append(m.SharedParts, message.TargetParts{Target: id, Parts: parts})
	}
	for name, u := range r.Usage {
		m.Usage = append(m.Usage, message.OrganisationUsage{Organisation: name, Demand: u.Demand, Started: u.Started, Waiting: u.Waiting})
	}
	return m
}

func targetLoad(id string, l view.Load) message.TargetLoad {
	return message.TargetLoad{Target: id, PendingTokens: l.PendingTokens, Running: l.Running, MemoryTokens: l.MemoryTokens}
}

func reportOf(m message.Status) view.Report {
	r := view.Report{
		Loads:       make(map[string]view.Load, len(m.Loads)),
		Usage:       make(map[string]view.Usage, len(m.Usage)),
		SharedParts: make(map[string][]string, len(m.SharedParts)),
		Speeds:      m.Speeds, Returns: m.Returns,
	}
	for _, l := range m.Loads {
		r.Loads[l.Target] = loadOf(l)
	}
	for _, k := range m.SharedParts {
		r.SharedParts[k.Target] = k.Parts
	}
	for _, u := range m.Usage {
		r.Usage[u.Organisation] = view.Usage{Demand: u.Demand, Started: u.Started, Waiting: u.Waiting}
	}
	return r
}

func loadOf(l message.TargetLoad) view.Load {
	return view.Load{PendingTokens: l.PendingTokens, Running: l.Running, MemoryTokens: l.MemoryTokens}
}
