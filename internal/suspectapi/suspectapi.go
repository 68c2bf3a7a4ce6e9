// Package suspectapi shows operators the requests that are suspected of crashing targets, and lets them hold back or
// release one, over HTTP.
package suspectapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-logr/logr"

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

// NewSuspect describes a record; v is the current view of the quarantine.
func NewSuspect(now time.Time, v *quarantine.View, r quarantine.Record) Suspect {
	out := Suspect{
		Content: r.Key.String(), Part: r.Part, Organisation: r.Organisation, Targets: r.CrashedTargets(), Crashes: r.Uncleared(),
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

// Router is what operators can do at a router.
type Router interface {
	// Suspects returns the suspected requests that the router knows.
	Suspects(ctx context.Context) []Suspect
	// Release clears a request at all routers. It returns false if the router does not know the request.
	Release(ctx context.Context, k quarantine.Key) bool
	// Hold holds back a request of an organisation at all routers. It returns false if that is not allowed any more.
	Hold(ctx context.Context, k quarantine.Key, organisation string) bool
}

// Handler is an HTTP handler for operators. Use New to make one. GET lists the suspected requests as JSON. POST
// releases or holds back the request with the digest in the parameter content, depending on the
// parameter do ("release", or "hold" with the parameter organisation).
type Handler struct {
	router Router
	log    logr.Logger
}

// New returns a handler for a router.
func New(r Router, log logr.Logger) *Handler { return &Handler{router: r, log: log} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		if err := json.NewEncoder(w).Encode(h.router.Suspects(r.Context())); err != nil {
			h.log.Info("list of suspected requests not sent", "cause", err.Error())
		}
	case http.MethodPost:
		h.handleAction(w, r)
	default:
		http.Error(w, "GET or POST", http.StatusMethodNotAllowed)
	}
}

// handleAction releases or holds back a request for an operator.
func (h *Handler) handleAction(w http.ResponseWriter, r *http.Request) {
	k, err := quarantine.ParseKey(r.FormValue("content"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch do := r.FormValue("do"); do {
	case "release":
		if !h.router.Release(r.Context(), k) {
			http.Error(w, "no such request is suspected here", http.StatusNotFound)
		}
	case "hold":
		if !h.router.Hold(r.Context(), k, r.FormValue("organisation")) {
			http.Error(w, "held and released too often", http.StatusConflict)
		}
	default:
		http.Error(w, "do: release or hold", http.StatusBadRequest)
	}
}
