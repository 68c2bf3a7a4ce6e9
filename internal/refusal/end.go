package refusal

import (
	"net/http"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// EndOf returns how a request with a result ends once that has been written to its caller.
func EndOf(v forward.Result) lifecycle.End {
	switch v.Reason {
	case "":
		return lifecycle.Answered
	case forward.ReasonCallerGone, forward.ReasonCallerStalled:
		return lifecycle.CallerGone
	case forward.ReasonDeadline:
		return lifecycle.TimeOver
	case Stopped, Panic:
		return lifecycle.Cut
	case Improper:
		return lifecycle.Incomplete
	}
	switch {
	case !v.Truncated && !v.HeadSent && v.Status != http.StatusBadGateway:
		return lifecycle.Refused
	case v.ExchangeEnd == forward.ReasonSilent, v.ExchangeEnd == forward.ReasonRestarted:
		// This router ended the exchange; the target might have gone on.
		return lifecycle.Cut
	}
	return lifecycle.TargetFailed
}
