package load

import (
	"context"
	"fmt"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/scenario"
	"github.com/stepcroft/stepcroft/internal/standin"
)

// setFault turns a fault on or off at its target.
func (f *fleet) setFault(g *group.Group, fault scenario.Fault, on bool) {
	set := fault.StandinFaults
	if !on {
		set = standin.Faults{}
	}
	if fault.Target == "platform" {
		f.platform.SetFaults(set)
		return
	}
	if e := f.engines[fault.Target]; e != nil {
		e.SetFaults(set)
		return
	}
	for i := range f.routers {
		if fault.Target == fmt.Sprintf("r%d", i+1) {
			f.setRouterFault(g, i, fault, on)
		}
	}
}

// setRouterFault turns a fault on or off at the i-th router. Only a cut is undone; a router that
// was stopped or drained stays so.
func (f *fleet) setRouterFault(g *group.Group, i int, fault scenario.Fault, on bool) {
	r := f.routers[i]
	switch {
	case fault.Action == "cut" && on:
		others := map[string]bool{}
		for j, other := range f.routers {
			if j != i {
				others[other.Self().Peer] = true
			}
		}
		r.BlockPeers(others)
	case fault.Action == "cut":
		r.BlockPeers(nil)
	case fault.Action == "stop" && on:
		f.stopped[i] = true
		r.Stop()
	case fault.Action == "drain" && on:
		g.GoContext(func(ctx context.Context) { _ = r.Drain(ctx) })
	}
}
