package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
)

const (
	// DefaultMaxStall is how long a caller may accept no bytes of the rest of an answer whose exchange
	// with the engine has ended. Callers are known to stop reading for seconds.
	DefaultMaxStall = 10 * time.Second
	// stallCheckInterval is the interval at which that is checked.
	stallCheckInterval = 250 * time.Millisecond
)

// delivery writes a buffered stream to its caller, in a goroutine of its own.
type delivery struct {
	buffer *answerbuffer.Buffer
	caller Caller
	// writer has the goroutine that writes, which closes done when it ends.
	writer *group.Group
	done   chan struct{}
	// writes is the number of writes that have succeeded.
	writes atomic.Int64
	// err is why the caller could not be written to. It may be read when done is closed.
	err error
}

// startDelivery starts the delivery of a buffered stream, unless it has been started. It returns
// false if the stream is not buffered.
func (x *inflight) startDelivery() bool {
	if x.delivery != nil {
		return true
	}
	if x.budget == nil || !x.buffered() {
		return false
	}
	d := &delivery{
		buffer: x.budget.Open(x.Organisation), caller: x.caller, writer: group.New(context.Background()), done: make(chan struct{}),
	}
	x.delivery = d
	d.writer.GoContext(func(ctx context.Context) { d.run(ctx, x.cancel) })
	return true
}

// run writes the buffer to the caller until the end of the answer. If a write fails, it calls
// cancel, which ends the exchange with the engine.
func (d *delivery) run(ctx context.Context, cancel func()) {
	defer close(d.done)
	for {
		data, err := d.buffer.Next(ctx)
		if err != nil {
			return
		}
		if d.err = d.caller.Write(data); d.err != nil {
			// A discarded buffer ends Append. By then the exchange must be cancelled, or else its
			// failure looks like one of the engine and the request is sent again.
			cancel()
			d.buffer.Discard()
			return
		}
		d.writes.Add(1)
	}
}

// deliverRest ends the answer in the buffer and waits until the caller has all of it. ctx ends
// when the caller disconnects.
func (x *inflight) deliverRest(ctx context.Context) {
	d := x.delivery
	if d == nil {
		return
	}
	d.buffer.Close(!x.result.Truncated)
	reason := x.awaitDelivery(ctx)
	if reason != "" {
		d.caller.StopWriting()
	}
	d.buffer.Discard()
	d.writer.Stop()
	if reason == "" && d.err != nil {
		reason = ReasonCallerGone
	}
	if reason == "" {
		return
	}
	x.result.Truncated = true
	if x.result.Reason == "" {
		// Otherwise the answer had been cut before, and why matters more.
		x.result.Reason = reason
	}
}

// awaitDelivery waits until the buffer has been written to the caller. It returns the reason to
// give up, "" if there is none.
func (x *inflight) awaitDelivery(ctx context.Context) Reason {
	d := x.delivery
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	accepted, writes, unacknowledged := clock.Now(), d.writes.Load(), d.caller.Unacknowledged()
	for {
		select {
		case <-d.done:
			return ""
		case <-ctx.Done():
			return ReasonCallerGone
		case <-ticker.C:
		}
		if x.CallerGone != nil && x.CallerGone() {
			return ReasonCallerGone
		}
		// A write may take long if the caller reads slowly, so what the caller's host has received
		// of it counts too.
		w, u := d.writes.Load(), d.caller.Unacknowledged()
		if w != writes || u != unacknowledged {
			accepted, writes, unacknowledged = clock.Now(), w, u
			continue
		}
		if clock.Since(accepted) >= x.maxStall {
			return ReasonCallerStalled
		}
	}
}
