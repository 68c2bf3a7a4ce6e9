package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/delivery"
)

// DefaultMaxStall is how long a caller may accept no bytes of the rest of an answer whose exchange
// with the engine has ended. Callers are known to stop reading for seconds.
const DefaultMaxStall = 10 * time.Second

// startDelivery starts the delivery of a buffered stream, unless it has been started. It returns
// false if the stream is not buffered.
func (x *inflight) startDelivery() bool {
	if x.delivery != nil {
		return true
	}
	if x.budget == nil || !x.buffered() {
		return false
	}
	x.delivery = delivery.Start(x.budget.Open(x.Organisation), x.caller, x.cancel)
	return true
}

// deliverRest ends the answer in the buffer and waits until the caller has all of it. ctx ends
// when the caller disconnects.
func (x *inflight) deliverRest(ctx context.Context) {
	if x.delivery == nil {
		return
	}
	err := x.delivery.Finish(ctx, !x.result.Truncated, x.maxStall, x.CallerGone)
	if err == nil {
		return
	}
	reason := ReasonCallerGone
	if errors.Is(err, delivery.ErrStalled) {
		reason = ReasonCallerStalled
	}
	x.result.Truncated = true
	if x.result.Reason == "" {
		// Otherwise the answer had been cut before, and why matters more.
		x.result.Reason = reason
	}
}
