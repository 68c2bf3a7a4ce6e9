package gateway

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/suspectapi"
)

// Suspects returns the suspected requests that this router knows.
func (g *Gateway) Suspects(ctx context.Context) []suspectapi.Suspect {
	list, _ := balance.Call(ctx, g.loop, func(_ *balance.State, now time.Time) []suspectapi.Suspect {
		list := []suspectapi.Suspect{}
		v := g.quarantine.state.View()
		for _, r := range g.quarantine.state.All(now) {
			list = append(list, suspectapi.NewSuspect(now, v, r))
		}
		return list
	})
	return list
}

// Release clears a request at all routers, so that only new crashes count against it. It returns
// false if this router does not know the request.
func (g *Gateway) Release(ctx context.Context, k quarantine.Key) bool {
	known, _ := balance.Call(ctx, g.loop, func(_ *balance.State, now time.Time) bool {
		g.quarantine.state.Clear(k)
		known := g.quarantine.state.Known(k)
		g.Log.Info("request released by an operator", "content", k.String(), "known", known)
		g.publishLocalChanges(now)
		return known
	})
	return known
}

// Hold holds back a request of an organisation at all routers until it is released or has not
// come for an hour. It returns false if the request was held and released too often.
func (g *Gateway) Hold(ctx context.Context, k quarantine.Key, organisation string) bool {
	held, _ := balance.Call(ctx, g.loop, func(_ *balance.State, now time.Time) bool {
		held := g.quarantine.state.Hold(now, k, organisation, "operator")
		g.Log.Info("request held back by an operator", "content", k.String(), "organisation", organisation, "held", held)
		g.publishLocalChanges(now)
		return held
	})
	return held
}
