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

// requestStatus is the status of a request, sent where its answer cannot be sent.
type requestStatus struct {
	ID      string          `json:"id"`
	Outcome request.Outcome `json:"outcome"`
	Reason  request.Reason  `json:"reason,omitempty"`
	// Truncated is set if the answer was not stored completely.
	Truncated bool `json:"truncated,omitempty"`
}

// newID returns a request id that is unique among all routers and incarnations.
func (h *Handler) newID() request.ID {
	return request.ID{
		Router:      string(h.Self.ID),
		Incarnation: h.Self.Incarnation,
		Number:      h.lastNumber.Add(1),
	}
}

// reserve hands out an id with which the caller can send a request that runs at most once.
func (h *Handler) reserve(w http.ResponseWriter, _ *http.Request, o config.Organisation) {
	id := h.newID()
	h.Records.Reserve(id, o.Name)
	writeJSON(w, http.StatusOK, requestStatus{ID: id.String(), Outcome: request.NotRun})
}

// requestByID returns the stored answer or the status of a request, or cancels it.
func (h *Handler) requestByID(w http.ResponseWriter, r *http.Request, o config.Organisation) {
	id, err := request.ParseID(strings.TrimPrefix(r.URL.Path, requestPrefix))
	if err != nil {
		h.refuse(w, refusalFor(err))
		return
	}
	if !h.issuedHere(id) {
		h.redirectToOwner(w, r, id)
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
		h.replay(w, record)
	case http.MethodDelete:
		h.Records.Cancel(id)
		writeJSON(w, http.StatusAccepted, requestStatus{ID: id.String(), Outcome: record.Outcome})
	default:
		h.refuse(w, refusal{reason: request.ReasonUnknownPath, detail: "want GET or DELETE"})
	}
}

// issuedHere reports whether this incarnation of this router handed out an id.
func (h *Handler) issuedHere(id request.ID) bool {
	return id.Router == string(h.Self.ID) && id.Incarnation == h.Self.Incarnation
}

// redirectToOwner redirects the caller to the router that handed out the id. If that incarnation
// is gone, the outcome of the request is unknown, so the caller is refused and the request is
// not run again.
func (h *Handler) redirectToOwner(w http.ResponseWriter, r *http.Request, id request.ID) {
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

// replay sends the stored answer of a request, or its status if no complete answer is stored.
func (h *Handler) replay(w http.ResponseWriter, record request.Record) {
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

// job is an accepted request. Its context ends at the deadline, when the request is cancelled by
// id, or when the caller closes the connection.
type job struct {
	id        request.ID
	options   requestOptions
	ctx       context.Context
	cancel    context.CancelCauseFunc
	stopTimer context.CancelFunc
}

// accept starts a job under the id that the caller reserved, or under a new one. If the id cannot
// be used or was used before, it writes the answer itself and returns false.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, o config.Organisation, opts requestOptions) (*job, bool) {
	var id request.ID
	if opts.id == nil {
		id = h.newID()
		h.Records.Reserve(id, o.Name)
	} else {
		id = *opts.id
	}
	if !h.issuedHere(id) {
		h.redirectToOwner(w, r, id)
		return nil, false
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx, stopTimer := context.WithTimeout(ctx, clock.Until(opts.deadline))
	if h.Records.Open(id, o.Name, func() { cancel(errCancelled) }) {
		w.Header().Set(HeaderRequestID, id.String())
		return &job{id: id, options: opts, ctx: ctx, cancel: cancel, stopTimer: stopTimer}, true
	}
	stopTimer()
	record, ok := h.Records.Lookup(id)
	if ok && record.Organisation == o.Name && record.Outcome != request.InProgress {
		h.replay(w, record)
		return nil, false
	}
	h.refuse(w, refusal{
		reason: request.ReasonDuplicateRequest, outcome: request.Unknown,
		detail: "request " + id.String() + " was sent before, or its id was not handed out by this router",
	})
	return nil, false
}

// finish stores the record of an ended job and releases its context.
func (h *Handler) finish(j *job, end request.Record) {
	j.stopTimer()
	j.cancel(nil)
	end.ID = j.id
	h.Records.Close(end)
	h.Metrics.CountOutcome(end.Outcome)
	h.Log.V(1).Info("request ended", "request", j.id.String(), "outcome", end.Outcome,
		"reason", end.Reason, "remaining", clock.Until(j.options.deadline).String())
}
