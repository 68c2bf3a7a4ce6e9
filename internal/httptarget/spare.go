package httptarget

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
)

// prepareSpare makes a spare connection to a process that is to be asked after the end of an answer. What answers on a
// connection made before that end is the process itself, and it can be asked even if it takes no new ones then.
func (t *Transport) prepareSpare(ctx context.Context, e endpoint) {
	t.mu.Lock()
	ready := t.spares[e] != nil || len(t.idle[e]) > 0
	t.mu.Unlock()
	if ready {
		return
	}
	t.group.Go(func() {
		_, _, _ = t.spareDials.Do(e.address+" "+e.instance, func() (any, error) {
			c, err := t.dial(ctx, e)
			if err == nil && !t.putSpare(c) {
				_ = c.Close()
			}
			return nil, err
		})
	})
}

// putSpare keeps an unused connection as the spare one, and reports false if there is one.
func (t *Transport) putSpare(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.spares[c.endpoint] != nil {
		return false
	}
	c.idleSince = clock.Now()
	t.spares[c.endpoint] = c
	return true
}

// takeSpare returns the spare connection to a process if it can be used, else nil.
func (t *Transport) takeSpare(e endpoint) *conn {
	t.mu.Lock()
	c := t.spares[e]
	delete(t.spares, e)
	t.mu.Unlock()
	if c != nil && c.checkUnused() != unusedOpen {
		_ = c.Close()
		return nil
	}
	return c
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
