package main

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
)

const (
	// extraShare is the greatest part of a faulty engine's answers that it sends a second time, late.
	extraShare = 0.03
	// extraTime is how long it does so.
	extraTime = 5 * time.Second
	// deskSlots is the number of requests that an engine works on at once, deskQueue that of those that
	// it lets wait; others are rejected.
	deskSlots, deskQueue = 6, 2
	// deskClients is the number of clients; each pauses for deskPause after an answer.
	deskClients = 42
	deskPause   = 40 * time.Millisecond
)

// desk is the state of an engine that rejects requests when it is full.
type desk struct {
	slots           chan struct{}
	waiting         atomic.Int64
	answers, extras int
	// again has the channels on which the last rejection is still to be sent a second time.
	again map[net.Conn]bool
}

// desks makes engines reject requests when they are full, as a faulty one does: it sends some of these
// answers a second time, late.
type desks struct {
	on    atomic.Bool
	mu    sync.Mutex
	desks map[string]*desk
	// faulty is the id of the engine that is faulty while on is set.
	faulty string
}

func (d *desks) of(e *engine) *desk {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.desks[e.id]
	if k == nil {
		k = &desk{slots: make(chan struct{}, deskSlots), again: map[net.Conn]bool{}}
		d.desks[e.id] = k
	}
	return k
}

// rejected notes that a request was rejected on a channel, and decides whether the answer comes again.
func (d *desks) rejected(e *engine, k *desk, c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.on.Load() && e.id == d.faulty && float64(k.extras+1) <= extraShare*float64(k.answers) {
		k.extras++
		k.again[c] = true
	}
}

// comesAgain reports whether an earlier answer is to be sent again on a channel.
func (d *desks) comesAgain(k *desk, c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	k.answers++
	again := k.again[c]
	delete(k.again, c)
	return again
}

// answer answers a request. A rejected one is counted as run by nobody.
func (d *desks) answer(e *engine, c net.Conn, _ *http.Request, id string) bool {
	k := d.of(e)
	again := d.comesAgain(k, c)
	if again {
		e.record.note("extra    on the channel of %s at %s: a rejection, for the second time", id, e.id)
		if _, err := io.WriteString(c, rejection); err != nil {
			return false
		}
	}
	if len(k.slots) == deskSlots && k.waiting.Add(1) > deskQueue {
		k.waiting.Add(-1)
		e.record.note("reject   %s at %s", id, e.id)
		if _, err := io.WriteString(c, rejection); err != nil {
			return false
		}
		d.rejected(e, k, c)
		return true
	} else if len(k.slots) == deskSlots {
		defer k.waiting.Add(-1)
	}
	k.slots <- struct{}{}
	defer func() { <-k.slots }()
	e.record.ran(id, e.id)
	time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
	_, err := io.WriteString(c, wholeAnswer(id))
	return err == nil
}

// playTwice shows whether a rejection that comes a second time makes a request run twice.
func playTwice(f *fleet) (bool, error) {
	d := &desks{desks: map[string]*desk{}, faulty: "i-desk-1"}
	if err := f.addEngines("desk", 3, deskSlots, d.answer); err != nil {
		return false, err
	}
	const timeout = 1500 * time.Millisecond
	if err := f.start(desiredState(7, route("/once/", "non_idempotent", 1, timeout), route("/order/", "non_idempotent", 2, timeout))); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var twice, refused, whole, other atomic.Int64
	end := clock.Now().Add(9 * time.Second)
	for i := range deskClients {
		r, path := f.routers[i%len(f.routers)], "/order/a"
		if i/len(f.routers)%2 == 1 {
			path = "/once/a"
		}
		clients.Go(func() {
			for clock.Now().Before(end) {
				f.order(r, path, end, timeout, func(id string, a answer) {
					at := f.record.ranAt(id)
					switch {
					case len(at) > 1:
						f.record.note("twice    %s ran at %v; answer %d", id, at, a.status)
						twice.Add(1)
					case (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && len(at) > 0:
						f.record.note("refused  %s got %d though it ran at %v", id, a.status, at)
						refused.Add(1)
					case a.status == http.StatusOK:
						whole.Add(1)
					default:
						f.record.note("answer   %s: %d", id, a.status)
						other.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	d.on.Store(f.trouble)
	time.Sleep(extraTime)
	d.on.Store(false)
	clients.Wait()
	for _, e := range f.engines {
		k := d.of(e)
		f.record.say("%s: %d answers, %d of them sent a second time", e.id, k.answers, k.extras)
	}
	f.record.say("requests: %d answered, %d refused or failed; %d ran twice (TWICE); %d got a 503 or 429 though they had run (REFUSED)",
		whole.Load(), other.Load(), twice.Load(), refused.Load())
	return twice.Load() > 0, nil
}

// order sends one request after the other on a kept channel, until it breaks or end.
func (f *fleet) order(r *router, path string, end time.Time, timeout time.Duration, got func(string, answer)) {
	c, err := dial(r.front)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	for clock.Now().Before(end) {
		id := newID("order")
		f.record.note("send     %s to %s", id, r.name)
		a, err := c.exchange(http.MethodPost, path, id, timeout, []byte("order"))
		if err != nil {
			f.record.note("cut      %s: %v", id, err)
			return
		}
		got(id, a)
		time.Sleep(deskPause)
		if a.last {
			return
		}
	}
}
