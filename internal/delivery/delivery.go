// Package delivery writes a buffered answer to its caller in a goroutine of its own, and gives up a caller that accepts
// nothing of the rest once the answer has ended.
package delivery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
)

// checkInterval is the interval at which it is checked whether a caller accepts anything.
const checkInterval = 250 * time.Millisecond

// Why a caller does not have the whole answer.
var (
	// ErrGone means that the caller has gone, or could not be written to.
	ErrGone = errors.New("caller has gone")
	// ErrStalled means that the caller accepted nothing for too long.
	ErrStalled = errors.New("caller accepts nothing")
)

// Caller is who gets the answer.
type Caller interface {
	// Write sends a piece of the body without buffering it.
	Write(b []byte) error
	// Unacknowledged returns the number of bytes written that the caller's host has not confirmed
	// to have received, 0 if unknown. It may be called during a Write.
	Unacknowledged() int
	// StopWriting makes a Write that blocks fail, and all later ones.
	StopWriting()
}

// Delivery writes a buffer to its caller. Use Start to make one.
type Delivery struct {
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

// Start starts the delivery of what is appended. If a write fails, it calls cancel, which is to end the
// exchange that the answer comes from.
func Start(buffer *answerbuffer.Buffer, c Caller, cancel func()) *Delivery {
	d := &Delivery{buffer: buffer, caller: c, writer: group.New(context.Background()), done: make(chan struct{})}
	d.writer.GoContext(func(ctx context.Context) { d.run(ctx, cancel) })
	return d
}

// Append adds a piece of the answer. It waits until there is room for it.
func (d *Delivery) Append(ctx context.Context, piece []byte) error {
	return d.buffer.Append(ctx, piece)
}

// run writes the buffer to the caller until the end of the answer.
func (d *Delivery) run(ctx context.Context, cancel func()) {
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

// Finish ends the answer, which is complete or broke off, and waits until the caller has all of it. It returns
// ErrStalled if the caller accepts no bytes for maxStall, and ErrGone if it could not be written to, ctx ends or gone,
// unless that is nil, reports that it has gone.
func (d *Delivery) Finish(ctx context.Context, complete bool, maxStall time.Duration, gone func() bool) error {
	d.buffer.Close(complete)
	err := d.await(ctx, maxStall, gone)
	if err != nil {
		d.caller.StopWriting()
	}
	d.buffer.Discard()
	d.writer.Stop()
	if err == nil && d.err != nil {
		err = ErrGone
	}
	return err
}

// await waits until the buffer has been written to the caller. It returns the reason to give up, nil if there
// is none.
func (d *Delivery) await(ctx context.Context, maxStall time.Duration, gone func() bool) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	accepted, writes, unacknowledged := clock.Now(), d.writes.Load(), d.caller.Unacknowledged()
	for {
		select {
		case <-d.done:
			return nil
		case <-ctx.Done():
			return ErrGone
		case <-ticker.C:
		}
		if gone != nil && gone() {
			return ErrGone
		}
		// A write may take long if the caller reads slowly, so what the caller's host has received
		// of it counts too.
		w, u := d.writes.Load(), d.caller.Unacknowledged()
		if w != writes || u != unacknowledged {
			accepted, writes, unacknowledged = clock.Now(), w, u
			continue
		}
		if clock.Since(accepted) >= maxStall {
			return ErrStalled
		}
	}
}
