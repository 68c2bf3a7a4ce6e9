package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// Suspect describes a suspected request for operators. It leaves out the request's body.
type Suspect struct {
	Content string `json:"content"`
	// Part is the id of the part of prompts that is suspected; empty if a whole content is.
	Part         string `json:"part,omitempty"`
	Organisation string `json:"organisation"`
	// State is "suspected", "sent away", "held back" or "cleared".
	State string `json:"state"`
	// Targets are the targets that crashed while they ran it.
	Targets []string `json:"targets"`
	// Crashes is the number of crashes that still count against it. Trials is the number of
	// crashes, cleared ones included, in which the request had been sent as a trial.
	Crashes int `json:"crashes"`
	Trials  int `json:"trials"`
	// SecondsSinceCrash is the time since the last crash, SecondsSinceSeen the time since the
	// request last came, and RejectedForSeconds the time for which it will still be rejected.
	SecondsSinceCrash  float64 `json:"last_crash_s"`
	SecondsSinceSeen   float64 `json:"last_seen_s"`
	RejectedForSeconds float64 `json:"away_s"`
}

func newSuspect(now time.Time, v *quarantine.View, r quarantine.Record) Suspect {
	out := Suspect{
		Content: r.Key.String(), Part: r.Part, Organisation: r.Organisation, Targets: crashedTargets(r), Crashes: r.Uncleared(),
		SecondsSinceCrash: r.SinceCrash.Seconds(), SecondsSinceSeen: r.SinceSeen.Seconds(), RejectedForSeconds: v.RejectedFor(now, r.Key).Seconds(),
	}
	for _, c := range r.Crashes {
		if c.Trial {
			out.Trials++
		}
	}
	switch {
	case out.Crashes == 0:
		out.State = "cleared"
	case quarantine.HeldBack(out.Crashes):
		out.State = "held back"
	case out.RejectedForSeconds > 0:
		out.State = "sent away"
	default:
		out.State = "suspected"
	}
	return out
}

// Suspects returns the suspected requests that this router knows.
func (g *Gateway) Suspects(ctx context.Context) []Suspect {
	list, _ := balance.Call(ctx, g.loop, func(_ *balance.State, now time.Time) []Suspect {
		list := []Suspect{}
		v := g.quarantine.state.View()
		for _, r := range g.quarantine.state.All(now) {
			list = append(list, newSuspect(now, v, r))
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

// ServeSuspects is an HTTP handler for operators. GET lists the suspected requests as JSON. POST
// releases or holds back the request with the digest in the parameter content, depending on the
// parameter do ("release", or "hold" with the parameter organisation).
func (g *Gateway) ServeSuspects(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		if err := json.NewEncoder(w).Encode(g.Suspects(r.Context())); err != nil {
			g.Log.Info("list of suspected requests not sent", "cause", err.Error())
		}
	case http.MethodPost:
		g.handleAction(w, r)
	default:
		http.Error(w, "GET or POST", http.StatusMethodNotAllowed)
	}
}

// handleAction releases or holds back a request for an operator.
func (g *Gateway) handleAction(w http.ResponseWriter, r *http.Request) {
	k, err := quarantine.ParseKey(r.FormValue("content"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch do := r.FormValue("do"); do {
	case "release":
		if !g.Release(r.Context(), k) {
			http.Error(w, "no such request is suspected here", http.StatusNotFound)
		}
	case "hold":
		if !g.Hold(r.Context(), k, r.FormValue("organisation")) {
			http.Error(w, "held and released too often", http.StatusConflict)
		}
	default:
		http.Error(w, "do: release or hold", http.StatusBadRequest)
	}
}
