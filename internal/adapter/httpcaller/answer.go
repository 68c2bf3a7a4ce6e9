package httpcaller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/request"
)

// refusal is an answer to a request that does not end as the caller hoped.
type refusal struct {
	reason  request.Reason
	outcome request.Outcome
	detail  string
	// after is when to come back, in seconds; 0 means the reason's default.
	after int
}

// errorBody is the body of a refusal, in the common JSON shape.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Reason  request.Reason  `json:"reason"`
	Outcome request.Outcome `json:"outcome"`
	// RetryAfterSeconds is 0 where coming back will not help.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

func (f refusal) body() errorBody {
	return errorBody{errorDetail{
		Message: f.detail, Reason: f.reason, Outcome: f.outcome, RetryAfterSeconds: f.retryAfter(),
	}}
}

func (f refusal) retryAfter() int {
	if f.after > 0 {
		return f.after
	}
	return f.reason.RetryAfterSeconds()
}

// refuse writes a refusal as a whole answer. An outcome not said is not-run.
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

// Causes for which a request's context ends before its deadline.
var (
	errCancelled = errors.New("cancelled by id")
	errGone      = errors.New("caller closed the connection")
)

// reasonOf returns why a request's context ended.
func reasonOf(ctx context.Context) request.Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errCancelled):
		return request.ReasonCancelled
	case errors.Is(cause, errGone):
		return request.ReasonCallerGone
	default:
		return request.ReasonDeadline
	}
}
