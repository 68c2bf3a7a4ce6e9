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
	// spoiledShare is the part of its answers that the faulty engine spoils, strayTime how long it does so.
	spoiledShare = 0.02
	strayTime    = 5 * time.Second
	// strayClients is the number of clients; each pauses for strayPause after an answer.
	strayClients = 36
	strayPause   = 100 * time.Millisecond
)

// spoiledBytes is what the faulty engine sends in the place of an answer: it has neither the id that all
// answers of engines carry back nor a seal.
const spoiledBytes = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nspoiled.\n"

// playStray shows whether bytes that are no answer reach clients as a success.
func playStray(f *fleet) (bool, error) {
	var on atomic.Bool
	var sent atomic.Int64
	var limit dose
	if err := f.addEngines("desk", 3, 6, func(e *engine, c net.Conn, _ *http.Request, id string) bool {
		e.record.ran(id, e.id)
		time.Sleep(time.Duration(10+rand.IntN(10)) * time.Millisecond)
		text := wholeAnswer(id)
		if on.Load() && e.id == "i-desk-1" && limit.take(spoiledShare) {
			e.record.note("spoiled  %s at %s", id, e.id)
			sent.Add(1)
			text = spoiledBytes
		}
		_, err := io.WriteString(c, text)
		return err == nil
	}); err != nil {
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
		clients.Go(func() {
			for clock.Now().Before(end) {
				f.order(f.routers[i%len(f.routers)], "/status/a", end, timeout, strayPause, func(id string, a answer) {
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
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	on.Store(f.trouble)
	time.Sleep(strayTime)
	on.Store(false)
	clients.Wait()
	f.record.say("answers spoiled: %d; clients got %d whole ones, %d failures, %d successes without the seal of their request",
		sent.Load(), whole.Load(), other.Load(), foreign.Load())
	return foreign.Load() > 0, nil
}
