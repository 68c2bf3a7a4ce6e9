package suspects

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/suspectapi"
)

// List returns the suspected requests that this router knows.
func (a *Account) List(ctx context.Context) []suspectapi.Suspect {
	list, _ := balance.Call(ctx, a.options.Loop, func(_ *balance.State, now time.Time) []suspectapi.Suspect {
		list := []suspectapi.Suspect{}
		v := a.state.View()
		for _, r := range a.state.All(now) {
			list = append(list, suspectapi.NewSuspect(now, v, r))
		}
		return list
	})
	return list
}

// Release clears a request at all routers, so that only new crashes count against it. It returns
// false if this router does not know the request.
func (a *Account) Release(ctx context.Context, k quarantine.Key) bool {
	known, _ := balance.Call(ctx, a.options.Loop, func(_ *balance.State, now time.Time) bool {
		a.state.Clear(k)
		known := a.state.Known(k)
		a.options.Log.Info("request released by an operator", "content", k.String(), "known", known)
		a.Update(now)
		return known
	})
	return known
}

// Hold holds back a request of an organisation at all routers until it is released or has not
// come for an hour. It returns false if the request was held and released too often.
func (a *Account) Hold(ctx context.Context, k quarantine.Key, organisation string) bool {
	held, _ := balance.Call(ctx, a.options.Loop, func(_ *balance.State, now time.Time) bool {
		held := a.state.Hold(now, k, organisation, "operator")
		a.options.Log.Info("request held back by an operator", "content", k.String(), "organisation", organisation, "held", held)
		a.Update(now)
		return held
	})
	return held
}
