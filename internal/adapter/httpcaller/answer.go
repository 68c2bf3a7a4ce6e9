package httpcaller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/request"
)

// refusal is an error answer: why the request was not completed and whether it ran.
type refusal struct {
	reason  request.Reason
	outcome request.Outcome
	detail  string
	// retryAfterSeconds is the delay before the caller should retry; 0 means the default of
	// the reason.
	retryAfterSeconds int
}

// errorBody is the JSON body of a refusal, with the error object that chat completion APIs use.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Reason  request.Reason  `json:"reason"`
	Outcome request.Outcome `json:"outcome"`
	// RetryAfterSeconds is 0 if a retry would not help.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

func (f refusal) body() errorBody {
	return errorBody{errorDetail{
		Message: f.detail, Reason: f.reason, Outcome: f.outcome, RetryAfterSeconds: f.retryAfter(),
	}}
}

// retryAfter returns the delay before a retry in seconds, or 0 if a retry would not help.
func (f refusal) retryAfter() int {
	if f.retryAfterSeconds > 0 {
		return f.retryAfterSeconds
	}
	return f.reason.RetryAfterSeconds()
}

// refuse writes a refusal as the answer. The outcome defaults to not-run, the detail to the
// reason.
func (h *Handler) refuse(w http.ResponseWriter, f refusal) {
	if f.outcome == "" {
		f.outcome = request.NotRun
	}
	if f.detail == "" {
		f.detail = string(f.reason)
	}
	h.Metrics.CountRefusal(f.reason)
	w.Header().Set(HeaderOutcome, string(f.outcome))
	w.Header().Set(HeaderReason, string(f.reason))
	if after := f.retryAfter(); after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(after))
	}
	writeJSON(w, f.reason.Status(), f.body())
}

// Causes with which a request's context is cancelled before its deadline.
var (
	errCancelled  = errors.New("cancelled by id")
	errCallerGone = errors.New("caller closed the connection")
)

// endReason returns the reason for which a request's context ended.
func endReason(ctx context.Context) request.Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errCancelled):
		return request.ReasonCancelled
	case errors.Is(cause, errCallerGone):
		return request.ReasonCallerGone
	default:
		return request.ReasonDeadline
	}
}
