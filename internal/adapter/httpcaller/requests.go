package httpcaller

import (
	"context"
	"net/http"
	"strings"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/request"
)

const requestPrefix = "/v1/requests/"

// requestStatus is the answer about a request whose answer is not at hand.
type requestStatus struct {
	ID      string          `json:"id"`
	Outcome request.Outcome `json:"outcome"`
	Reason  request.Reason  `json:"reason,omitempty"`
	// Truncated is set where the answer was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
}

func (h *Handler) newID() request.ID {
	return request.ID{
		Router:      string(h.Self.ID),
		Incarnation: h.Self.Incarnation,
		Number:      h.number.Add(1),
	}
}

// reserve hands out an id to use for a request that must run at most once.
func (h *Handler) reserve(w http.ResponseWriter, _ *http.Request, o config.Organisation) {
	id := h.newID()
	h.Records.Reserve(id, o.Name)
	writeJSON(w, http.StatusOK, requestStatus{ID: id.String(), Outcome: request.NotRun})
}

// ask answers a caller that asks again by id, or cancels.
func (h *Handler) ask(w http.ResponseWriter, r *http.Request, o config.Organisation) {
	id, err := request.ParseID(strings.TrimPrefix(r.URL.Path, requestPrefix))
	if err != nil {
		h.refuse(w, refusalOf(err))
		return
	}
	if !h.mine(id) {
		h.elsewhere(w, r, id)
		return
	}
	record, ok := h.Records.Lookup(id)
	if !ok || record.Organisation != o.Name {
		h.refuse(w, refusal{
			reason: request.ReasonUnknownRequest, outcome: request.Unknown,
			detail: "no record of request " + id.String(),
		})
		return
	}
	switch r.Method {
	case http.MethodGet:
		h.again(w, record)
	case http.MethodDelete:
		h.Records.Cancel(id)
		writeJSON(w, http.StatusAccepted, requestStatus{ID: id.String(), Outcome: record.Outcome})
	default:
		h.refuse(w, refusal{reason: request.ReasonUnknownPath, detail: "want GET or DELETE"})
	}
}

func (h *Handler) mine(id request.ID) bool {
	return id.Router == string(h.Self.ID) && id.Incarnation == h.Self.Incarnation
}

// elsewhere sends a caller to the router that accepted its request, or tells
// it that this router's incarnation is gone: then nobody can say what became
// of the request, and it is not run a second time.
func (h *Handler) elsewhere(w http.ResponseWriter, r *http.Request, id request.ID) {
	m, ok := h.Core.Lookup(id.Router)
	if !ok || m.Incarnation != id.Incarnation {
		h.refuse(w, refusal{
			reason: request.ReasonIncarnationGone, outcome: request.Unknown,
			detail: "the router that accepted request " + id.String() + " is gone",
		})
		return
	}
	w.Header().Set("Location", "http://"+m.Address+r.URL.RequestURI())
	h.refuse(w, refusal{
		reason: request.ReasonOtherRouter, outcome: request.Unknown,
		detail: "request " + id.String() + " belongs to another router",
	})
}

// again gives a recorded answer once more.
func (h *Handler) again(w http.ResponseWriter, record request.Record) {
	w.Header().Set(HeaderRequestID, record.ID.String())
	w.Header().Set(HeaderOutcome, string(record.Outcome))
	if record.Reason != "" {
		w.Header().Set(HeaderReason, string(record.Reason))
	}
	if record.Outcome == request.Completed && !record.Truncated {
		w.Header().Set("Content-Type", record.ContentType)
		w.WriteHeader(record.Status)
		_, _ = w.Write(record.Body)
		return
	}
	writeJSON(w, http.StatusOK, requestStatus{
		ID: record.ID.String(), Outcome: record.Outcome, Reason: record.Reason, Truncated: record.Truncated,
	})
}

// job is an accepted request of a caller: its id and the context that ends
// with its deadline, its cancellation or its caller.
type job struct {
	id     request.ID
	terms  terms
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc
}

// open accepts a request under the caller's id or a new one. It returns
// false where the answer has been given already.
func (h *Handler) open(w http.ResponseWriter, r *http.Request, o config.Organisation, t terms) (*job, bool) {
	var id request.ID
	if t.id == nil {
		id = h.newID()
		h.Records.Reserve(id, o.Name)
	} else {
		id = *t.id
	}
	if !h.mine(id) {
		h.elsewhere(w, r, id)
		return nil, false
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx, stop := context.WithTimeout(ctx, clock.Until(t.deadline))
	if h.Records.Open(id, o.Name, func() { cancel(errCancelled) }) {
		w.Header().Set(HeaderRequestID, id.String())
		return &job{id: id, terms: t, ctx: ctx, cancel: cancel, stop: stop}, true
	}
	stop()
	record, ok := h.Records.Lookup(id)
	if ok && record.Organisation == o.Name && record.Outcome != request.InProgress {
		h.again(w, record)
		return nil, false
	}
	h.refuse(w, refusal{
		reason: request.ReasonDuplicateRequest, outcome: request.Unknown,
		detail: "request " + id.String() + " was sent before, or its id was not handed out by this router",
	})
	return nil, false
}

// close records how a job ended.
func (h *Handler) close(j *job, end request.Record) {
	j.stop()
	j.cancel(nil)
	end.ID = j.id
	h.Records.Close(end)
	h.Metrics.CountOutcome(end.Outcome)
	h.Log.V(1).Info("request ended", "request", j.id.String(), "outcome", end.Outcome,
		"reason", end.Reason, "remaining", clock.Until(j.terms.deadline).String())
}
