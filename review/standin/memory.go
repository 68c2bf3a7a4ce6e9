package main

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
)

const (
	// askersPerRouter is the number of clients that ask one request after the other on a kept channel.
	askersPerRouter = 12
	// uploadsPerRouter is the number of requests of the burst at each router, each with a body of
	// uploadBytes, which is below the limit of the desired state. A body takes uploadTime: 40 x 4 MB in
	// 2 s are 80 MB/s, less than the 125 MB/s of a machine's link.
	uploadsPerRouter = 40
	uploadBytes      = 4000000
	uploadTime       = 2 * time.Second
	uploadPieces     = 100
	// calmUploads is the number of such requests, one after the other, without the disruption.
	calmUploads = 4
	// maxCut is the number of requests that LOST allows to be cut.
	maxCut = 3
)

// playMemory shows what a burst of requests with long bodies does to the requests on kept channels.
func playMemory(f *fleet) (bool, error) {
	if err := f.addEngines("desk", 3, 64, soundAnswer(400*time.Millisecond)); err != nil {
		return false, err
	}
	const timeout = 6 * time.Second
	if err := f.start(desiredState(7, route("/status/", "non_idempotent", 1, timeout), route("/quote/", "non_idempotent", 1, timeout))); err != nil {
		return false, err
	}
	var cut, answered atomic.Int64
	end := clock.Now().Add(12 * time.Second)
	var clients sync.WaitGroup
	for _, r := range f.routers {
		for range askersPerRouter {
			clients.Go(func() { f.ask(r, end, timeout, &answered, &cut) })
		}
	}
	time.Sleep(4 * time.Second)
	var uploads sync.WaitGroup
	for _, r := range f.routers {
		if !f.trouble {
			uploads.Go(func() {
				for range calmUploads {
					f.upload(r, timeout, uploadTime/4)
				}
			})
			continue
		}
		for range uploadsPerRouter {
			uploads.Go(func() { f.upload(r, timeout, uploadTime) })
		}
	}
	uploads.Wait()
	clients.Wait()
	for _, r := range f.routers {
		f.record.say("%s: most memory seen %d MiB of %d MiB, killed for it %d times", r.name, r.peakKB>>10, memoryMB, r.killed)
	}
	f.record.say("requests on kept channels: %d answered; %d handed to an engine and then cut without an answer (LOST allows %d)", answered.Load(), cut.Load(), maxCut)
	return cut.Load() > maxCut, nil
}

// ask sends one request after the other until end, on a kept channel as long as it lasts.
func (f *fleet) ask(r *router, end time.Time, timeout time.Duration, answered, cut *atomic.Int64) {
	for clock.Now().Before(end) {
		c, err := dial(r.front)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		f.askOn(c, r, end, timeout, answered, cut)
		_ = c.Close()
	}
}

func (f *fleet) askOn(c *channel, r *router, end time.Time, timeout time.Duration, answered, cut *atomic.Int64) {
	for clock.Now().Before(end) {
		id := newID("status")
		f.record.note("send     %s to %s, %d answered before on this channel", id, r.name, c.answered)
		a, err := c.exchange(http.MethodPost, "/status/a", id, timeout, []byte("order"))
		if err != nil {
			at := f.record.ranAt(id)
			f.record.note("cut      %s after it ran at %v: %v", id, at, err)
			if len(at) > 0 && c.answered > 0 {
				cut.Add(1)
			}
			return
		}
		f.record.note("answer   %s: %d", id, a.status)
		answered.Add(1)
		if a.last {
			return
		}
	}
}

// upload sends a request with a long body on a new channel.
func (f *fleet) upload(r *router, timeout, takes time.Duration) {
	c, err := dial(r.front)
	if err != nil {
		f.record.note("upload to %s not begun: %v", r.name, err)
		return
	}
	defer c.Close()
	id := newID("quote")
	f.record.note("send     %s to %s with a body of %d bytes", id, r.name, uploadBytes)
	_ = c.SetDeadline(clock.Deadline(timeout + time.Second))
	if _, err := c.Write([]byte(head(http.MethodPost, "/quote/a", id, timeout, uploadBytes))); err != nil {
		f.record.note("cut      %s: %v", id, err)
		return
	}
	piece := bytes.Repeat([]byte("q"), uploadBytes/uploadPieces)
	began := clock.Now()
	for i := range uploadPieces {
		if _, err := c.Write(piece); err != nil {
			f.record.note("cut      %s in its body: %v", id, err)
			break
		}
		time.Sleep(clock.Until(began.Add(takes * time.Duration(i+1) / uploadPieces)))
	}
	a, err := c.read(http.MethodPost)
	if err != nil {
		f.record.note("cut      %s: %v", id, err)
		return
	}
	f.record.note("answer   %s: %d", id, a.status)
}
