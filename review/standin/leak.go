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
	// noAnswerShare is the part of its answers in whose place a faulty engine sends bytes that are no answer.
	noAnswerShare = 0.03
	// noAnswerTime is how long one engine of the service does so; then the next one does.
	noAnswerTime = 5 * time.Second
	// noAnswerTurns is how often that comes: twice for each of the three engines.
	noAnswerTurns = 6
	// leakClients is the number of clients of each service; each pauses for leakPause after an answer.
	leakClients = 36
	leakPause   = 10 * time.Millisecond
	// leakSettle is the time after the disruption before requests are counted, leakCount how long they are.
	leakSettle, leakCount = 4 * time.Second, 8 * time.Second
)

// noAnswer is what a faulty engine sends: there is no such status, so that this is no answer.
const noAnswer = "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n"

// playLeak shows whether engines that once sent bytes that are no answer get requests again.
func playLeak(f *fleet) (bool, error) {
	var faulty atomic.Pointer[string]
	var spoiled atomic.Int64
	// Only one engine is faulty at a time, and all of them together keep within the share.
	var limit dose
	answers := func(e *engine, c net.Conn, _ *http.Request, id string) bool {
		e.record.ran(id, e.id)
		time.Sleep(time.Duration(10+rand.IntN(10)) * time.Millisecond)
		if now := faulty.Load(); now != nil && *now == e.id && limit.take(noAnswerShare) {
			spoiled.Add(1)
			e.record.note("spoiled  %s at %s", id, e.id)
			_, _ = io.WriteString(c, noAnswer)
			return false
		}
		_, err := io.WriteString(c, wholeAnswer(id))
		return err == nil
	}
	for _, service := range []string{"desk", "books"} {
		if err := f.addEngines(service, 3, 6, answers); err != nil {
			return false, err
		}
	}
	const timeout = 1500 * time.Millisecond
	books := route("/books/", "non_idempotent", 1, timeout)
	books["service"] = "books"
	config := desiredState(7, route("/desk/", "non_idempotent", 1, timeout), books)
	config["services"] = []any{
		map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
		map[string]any{"name": "books", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
	}
	if err := f.start(config); err != nil {
		return false, err
	}
	var counts atomic.Bool
	var asked, served [2]atomic.Int64
	end := clock.Now().Add(2*time.Second + noAnswerTurns*noAnswerTime + leakSettle + leakCount)
	var clients sync.WaitGroup
	for i := range 2 * leakClients {
		which, r := i%2, f.routers[i/2%len(f.routers)]
		clients.Go(func() {
			for clock.Now().Before(end) {
				f.askUntil(r, []string{"/desk/a", "/books/a"}[which], end, timeout, func(ok bool) {
					if counts.Load() {
						asked[which].Add(1)
						if ok {
							served[which].Add(1)
						}
					}
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	for i := range noAnswerTurns {
		if f.trouble {
			faulty.Store(&f.engines[i%3].id)
		}
		time.Sleep(noAnswerTime)
		faulty.Store(nil)
	}
	time.Sleep(leakSettle)
	counts.Store(true)
	clients.Wait()
	share := func(n ...int) float64 {
		a, s := 0.0, 0.0
		for _, i := range n {
			a, s = a+float64(asked[i].Load()), s+float64(served[i].Load())
		}
		return s / max(a, 1)
	}
	f.record.say("%d answers spoiled, the last one %s before the count; served then: desk %.3f of %d, books %.3f of %d, all %.3f",
		spoiled.Load(), leakSettle, share(0), asked[0].Load(), share(1), asked[1].Load(), share(0, 1))
	return share(0) < share(0, 1)/4, nil
}

// askUntil sends one request after the other on a channel until it ends.
func (f *fleet) askUntil(r *router, path string, end time.Time, timeout time.Duration, got func(ok bool)) {
	c, err := dial(r.front)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	for clock.Now().Before(end) {
		id := newID("ask")
		a, err := c.exchange(http.MethodPost, path, id, timeout, []byte("order"))
		if err != nil {
			f.record.note("cut      %s: %v", id, err)
			got(false)
			return
		}
		if a.status != http.StatusOK {
			f.record.note("answer   %s: %d %s", id, a.status, a.body)
			time.Sleep(5 * leakPause)
		}
		got(a.status == http.StatusOK)
		time.Sleep(leakPause)
		if a.last {
			return
		}
	}
}
