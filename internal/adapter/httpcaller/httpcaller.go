// Package httpcaller is the interface for callers: chat completions, calls
// to plain services, asking again by id, and the answer to which addresses
// to use. docs/CALLERS.md describes it.
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

// Headers that callers send and get.
const (
	HeaderRequestID  = "Stepcroft-Request-Id"
	HeaderDeadline   = "Stepcroft-Deadline"
	HeaderRepeatable = "Stepcroft-Repeatable"
	HeaderCostHint   = "Stepcroft-Cost-Hint"
	HeaderPriority   = "Stepcroft-Priority"
	HeaderOutcome    = "Stepcroft-Outcome"
	HeaderReason     = "Stepcroft-Reason"
)

// AddressLifetime is how long callers may keep the answer to which addresses
// to use.
const AddressLifetime = 10 * time.Second

// Core is what the interface needs of the router's control thread.
type Core interface {
	// Submit queues a request; the answer comes over its Decision channel.
	Submit(t *request.Ticket)
	// Cancel takes a request out of its queue, if it still waits.
	Cancel(t *request.Ticket, reason request.Reason)
	// Retry queues a request again that is to run on another engine.
	Retry(t *request.Ticket)
	// Finish frees the slot of a request that ended.
	Finish(t *request.Ticket, end request.RunEnd)
	// Snapshot returns the configuration in force.
	Snapshot() config.Snapshot
	// Members returns the routers that callers may use.
	Members() []member.Member
	// Lookup returns another router by its name, if it is alive.
	Lookup(router string) (member.Member, bool)
}

// Options are the parts a Handler is made of.
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

// Handler answers callers. Use New to make one.
type Handler struct {
	Options
	number  atomic.Uint64
	busy    inFlight
	working atomic.Int64
}

// New returns a handler.
func New(o Options) *Handler { return &Handler{Options: o} }

// Working returns the number of requests being answered.
func (h *Handler) Working() int { return int(h.working.Load()) }

// ServeHTTP answers a call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.working.Add(1)
	defer h.working.Add(-1)
	path := r.URL.Path
	switch {
	case path == "/v1/addresses" && r.Method == http.MethodGet:
		h.addresses(w, r)
	case path == "/v1/chat/completions" && r.Method == http.MethodPost:
		h.authorized(w, r, h.chat)
	case strings.HasPrefix(path, servicePrefix):
		h.authorized(w, r, h.service)
	case path == "/v1/requests" && r.Method == http.MethodPost:
		h.authorized(w, r, h.reserve)
	case strings.HasPrefix(path, requestPrefix):
		h.authorized(w, r, h.ask)
	default:
		h.refuse(w, refusal{reason: request.ReasonUnknownPath, detail: "no such path or method: " + r.Method + " " + path})
	}
}

// organisationHandler answers a call of a known organisation.
type organisationHandler func(w http.ResponseWriter, r *http.Request, o config.Organisation)

func (h *Handler) authorized(w http.ResponseWriter, r *http.Request, next organisationHandler) {
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

// Address is one entry of the answer to which addresses to use.
type Address struct {
	Router  string `json:"router"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Addresses is the answer to which addresses to use.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// LifetimeSeconds is how long the answer may be kept.
	LifetimeSeconds int `json:"lifetime_seconds"`
}

// addresses lists the routers, those of the caller's availability zone
// first, in random order, so that callers spread out.
func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	if zone == "" {
		zone = h.Self.Zone
	}
	var near, far []Address
	members := h.Core.Members()
	for _, i := range rand.Perm(len(members)) {
		m := members[i]
		a := Address{Router: string(m.ID), Zone: m.Zone, Address: m.Address}
		if m.Zone == zone {
			near = append(near, a)
			continue
		}
		far = append(far, a)
	}
	writeJSON(w, http.StatusOK, Addresses{
		Addresses:       append(near, far...),
		LifetimeSeconds: int(AddressLifetime.Seconds()),
	})
}

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
