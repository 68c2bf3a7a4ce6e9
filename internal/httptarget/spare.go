package httptarget

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// spareTimeout bounds the time for which a process is asked on a spare connection. It may be asked two questions, each of
// which may take witnessTimeout if it is asked alone after the end, and nobody waits for this one.
const spareTimeout = 2 * witnessTimeout

// prepareSpare makes a spare connection to the process that sends an answer and is to be asked after its end. What
// answers on a connection that the process has answered before is the process itself, and it can be asked even if it
// takes no new ones then.
func (t *Transport) prepareSpare(a *Answer) {
	e, ctx := a.conn.endpoint, context.WithoutCancel(a.ctx)
	if t.hasKnown(e) {
		return
	}
	t.group.Go(func() {
		_, _, _ = t.spareDials.Do(e.address+" "+e.instance, func() (any, error) {
			ctx, cancel := context.WithTimeout(ctx, spareTimeout)
			defer cancel()
			defer context.AfterFunc(t.group.Context(), cancel)()
			began := clock.Now()
			if errors.Is(a.witness(ctx, time.Time{}), ErrOtherProcess) {
				return nil, nil
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			if _, ended := sockopt.Received(a.conn.Conn); ended {
				return nil, nil
			}
			list := t.connsTo(e)
			if spare := t.spares[e]; spare != nil {
				list = append(list, spare)
			}
			for _, c := range list {
				// On the others, a relay may have answered in place of the process.
				if c.answeredAt.After(began) {
					c.known.Store(true)
				}
			}
			return nil, nil
		})
	})
}

// hasKnown reports whether there is an unused connection on which a process has answered.
func (t *Transport) hasKnown(e endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.spares[e]
	return c != nil && c.known.Load() || slices.ContainsFunc(t.idle[e], func(c *conn) bool { return c.known.Load() })
}

// takeToAsk returns a connection to a process that can be asked on it, nil if there is none: if possible an unused one on
// which that has answered before, unless apart is set, else the spare one.
func (t *Transport) takeToAsk(e endpoint, apart bool) *conn {
	for {
		c := t.popToAsk(e, apart)
		if c == nil || t.usable(c) {
			return c
		}
	}
}

func (t *Transport) popToAsk(e endpoint, apart bool) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	spare := t.spares[e]
	if !apart && (spare == nil || !spare.known.Load()) {
		if i := slices.IndexFunc(t.idle[e], func(c *conn) bool { return c.known.Load() }); i >= 0 {
			c := t.idle[e][i]
			t.idle[e] = slices.Delete(t.idle[e], i, i+1)
			return c
		}
	}
	delete(t.spares, e)
	return spare
}

// checkSpare drops the spare connection to a process if it is not to be used again. The mutex must be held.
func (t *Transport) checkSpare(e endpoint) {
	c := t.spares[e]
	if c == nil {
		return
	}
	switch c.checkUnused() {
	case unusedOpen:
		return
	case unusedExpired:
		_ = c.Close()
	case unusedEnded:
		t.dropEnded(c)
	}
	delete(t.spares, e)
}

// closeSpares closes the spare connections that have been unused for too long. The mutex must be held.
func (t *Transport) closeSpares(now time.Time) {
	for e, c := range t.spares {
		if c.expired(now, maxIdleTime) {
			_ = c.Close()
			delete(t.spares, e)
		}
	}
}
