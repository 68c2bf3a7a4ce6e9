package main

import (
	"fmt"
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
	// spoiledShare is the part of their answers behind which the faulty engines send more bytes.
	spoiledShare = 0.03
	// strayTime is how long the faulty engines do so.
	strayTime = 5 * time.Second
	// strayClients is the number of clients.
	strayClients = 36
)

// strayBytes is what a faulty engine sends behind a whole answer. It belongs to no request: it has neither
// an id nor a seal.
const strayBytes = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nsurplus.\n"

// strayEngines makes engines send late what belongs to no request: in the place where the answer to the next
// request is due.
type strayEngines struct {
	// on is set while they do so, if faulty has the engine's id.
	on     atomic.Bool
	faulty map[string]bool
	mu     sync.Mutex
	// due has the channels on which such bytes are still to be sent.
	due  map[net.Conn]bool
	sent atomic.Int64
	dose dose
}

func (s *strayEngines) take(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.due[c]
	delete(s.due, c)
	return due
}

func (s *strayEngines) answer(e *engine, c net.Conn, _ *http.Request, id string) bool {
	e.record.ran(id, e.id)
	if s.take(c) {
		e.record.note("surplus  on the channel of %s at %s", id, e.id)
		s.sent.Add(1)
		if _, err := io.WriteString(c, strayBytes); err != nil {
			return false
		}
	}
	time.Sleep(time.Duration(10+rand.IntN(10)) * time.Millisecond)
	if _, err := io.WriteString(c, wholeAnswer(id)); err != nil {
		return false
	}
	if s.on.Load() && s.faulty[e.id] && s.dose.take(spoiledShare) {
		s.mu.Lock()
		s.due[c] = true
		s.mu.Unlock()
	}
	return true
}

// playStray shows whether bytes that belong to no request reach clients as answers.
func playStray(f *fleet) (bool, error) {
	s := &strayEngines{due: map[net.Conn]bool{}, faulty: map[string]bool{"i-desk-1": true}}
	if err := f.addEngines("desk", 3, 6, s.answer); err != nil {
		return false, err
	}
	const timeout = 1500 * time.Millisecond
	if err := f.start(desiredState(7, route("/status/", "non_idempotent", 1, timeout))); err != nil {
		return false, err
	}
	var foreign, whole, other atomic.Int64
	end := clock.Now().Add(9 * time.Second)
	var clients sync.WaitGroup
	for i := range strayClients {
		r := f.routers[i%len(f.routers)]
		clients.Go(func() {
			c, err := dial(r.front)
			for err == nil && clock.Now().Before(end) {
				id := newID("status")
				var a answer
				if a, err = c.exchange(http.MethodPost, "/status/a", id, timeout, []byte("order")); err != nil {
					f.record.note("cut      %s: %v", id, err)
					if c, err = dial(r.front); err == nil {
						continue
					}
					break
				}
				switch {
				case a.status/100 == 2 && (a.header.Get(headerSeal) != seal(id) || a.body != body(id)):
					f.record.note("foreign  %s got %d, seal %q, body %q", id, a.status, a.header.Get(headerSeal), a.body)
					foreign.Add(1)
				case a.status/100 == 2:
					whole.Add(1)
				default:
					f.record.note("answer   %s: %d", id, a.status)
					other.Add(1)
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	s.on.Store(f.trouble)
	time.Sleep(strayTime)
	s.on.Store(false)
	clients.Wait()
	f.record.say("surplus bytes sent %d times; answers: %d whole ones, %d failures, %s", s.sent.Load(), whole.Load(), other.Load(),
		fmt.Sprintf("%d successes that lack the seal of the request", foreign.Load()))
	return foreign.Load() > 0, nil
}
