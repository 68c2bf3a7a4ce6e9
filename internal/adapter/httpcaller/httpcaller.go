// Package httpcaller is the HTTP API for callers: chat completions, calls to plain services,
// status and cancellation of requests by id, and the list of router addresses. docs/CALLERS.md
// describes it.
package httpcaller

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/metrics"
	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/request"
)

// Headers of requests from callers and of answers to them.
const (
	HeaderRequestID  = "Stepcroft-Request-Id"
	HeaderDeadline   = "Stepcroft-Deadline"
	HeaderRepeatable = "Stepcroft-Repeatable"
	HeaderCostHint   = "Stepcroft-Cost-Hint"
	HeaderPriority   = "Stepcroft-Priority"
	HeaderOutcome    = "Stepcroft-Outcome"
	HeaderReason     = "Stepcroft-Reason"
)

// AddressLifetime is how long callers may cache the list of router addresses.
const AddressLifetime = 10 * time.Second

// Core is the part of the router's control loop that the handler uses.
type Core interface {
	// Submit queues a request; the decision is sent on its Decision channel.
	Submit(t *request.Ticket)
	// Cancel removes a request from its queue if it is still waiting there.
	Cancel(t *request.Ticket, reason request.Reason)
	// Retry queues a request again after a failed attempt, to run on another engine.
	Retry(t *request.Ticket)
	// Finish releases the slot of a request that ended.
	Finish(t *request.Ticket, end request.RunEnd)
	// Snapshot returns the configuration in force.
	Snapshot() config.Snapshot
	// Members returns the routers to which callers may send requests.
	Members() []member.Member
	// Lookup returns another router by its name if it is alive.
	Lookup(router string) (member.Member, bool)
}

// Options are the dependencies of a Handler.
type Options struct {
	Core    Core
	Self    member.Member
	Engine  port.Engine
	Service port.Service
	Records *request.Records
	Budget  *request.Budget
	Metrics *metrics.Metrics
	Log     logr.Logger
}

// Handler serves requests from callers. Create one with New.
type Handler struct {
	Options
	// lastNumber is the number in the id handed out last.
	lastNumber atomic.Uint64
	// inFlight counts calls to plain services.
	inFlight     inFlightCounter
	openRequests atomic.Int64
}

// New returns a handler.
func New(o Options) *Handler { return &Handler{Options: o} }

// OpenRequests returns the number of requests in progress.
func (h *Handler) OpenRequests() int { return int(h.openRequests.Load()) }

// ServeHTTP routes a request by its path and method.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.openRequests.Add(1)
	defer h.openRequests.Add(-1)
	path := r.URL.Path
	switch {
	case path == "/v1/addresses" && r.Method == http.MethodGet:
		h.addresses(w, r)
	case path == "/v1/chat/completions" && r.Method == http.MethodPost:
		h.authenticated(w, r, h.chat)
	case strings.HasPrefix(path, servicePrefix):
		h.authenticated(w, r, h.service)
	case path == "/v1/requests" && r.Method == http.MethodPost:
		h.authenticated(w, r, h.reserve)
	case strings.HasPrefix(path, requestPrefix):
		h.authenticated(w, r, h.requestByID)
	default:
		h.refuse(w, refusal{reason: request.ReasonUnknownPath, detail: "no such path or method: " + r.Method + " " + path})
	}
}

// organisationHandler serves a request from an authenticated organisation.
type organisationHandler func(w http.ResponseWriter, r *http.Request, o config.Organisation)

// authenticated calls next with the organisation whose API key the request carries, or refuses
// the request.
func (h *Handler) authenticated(w http.ResponseWriter, r *http.Request, next organisationHandler) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		h.refuse(w, refusal{reason: request.ReasonUnknownKey, detail: "header Authorization: want Bearer and an API key"})
		return
	}
	o, ok := h.Core.Snapshot().OrganisationByKey(key)
	if !ok {
		h.refuse(w, refusal{reason: request.ReasonUnknownKey, detail: "header Authorization: no organisation has this API key"})
		return
	}
	next(w, r, o)
}

// Address is one router in the list of addresses.
type Address struct {
	Router  string `json:"router"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Addresses is the list of routers that callers may use.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// LifetimeSeconds is how long callers may cache the list.
	LifetimeSeconds int `json:"lifetime_seconds"`
}

// addresses lists the routers in random order, which spreads callers over them, with those of
// the caller's availability zone first.
func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	if zone == "" {
		zone = h.Self.Zone
	}
	var sameZone, otherZones []Address
	members := h.Core.Members()
	for _, i := range rand.Perm(len(members)) {
		m := members[i]
		a := Address{Router: string(m.ID), Zone: m.Zone, Address: m.Address}
		if m.Zone == zone {
			sameZone = append(sameZone, a)
			continue
		}
		otherZones = append(otherZones, a)
	}
	writeJSON(w, http.StatusOK, Addresses{
		Addresses:       append(sameZone, otherZones...),
		LifetimeSeconds: int(AddressLifetime.Seconds()),
	})
}

// writeJSON answers with v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
