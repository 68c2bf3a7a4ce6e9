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
	// usualUploads is the number of clients at each router that send one request with a body of uploadBytes
	// after the other, burstUploads that of those who come in addition for burstTime: 1.67 times as many in
	// all. uploadBytes is below the limit of the desired state. A body takes uploadTime: 40 x 4 MB in 2 s are
	// 80 MB/s, less than the 125 MB/s of a machine's link.
	usualUploads, burstUploads = 24, 16
	burstTime                  = 3 * time.Second
	uploadBytes                = 4000000
	uploadTime                 = 2 * time.Second
	uploadPieces               = 100
	// maxCut is the number of requests that LOST allows each machine to cut.
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
	var answered atomic.Int64
	cut := make([]atomic.Int64, len(f.routers))
	end := clock.Now().Add(12 * time.Second)
	var clients sync.WaitGroup
	for i, r := range f.routers {
		for range askersPerRouter {
			clients.Go(func() { f.ask(r, end, timeout, &answered, &cut[i]) })
		}
		for n := range usualUploads {
			clients.Go(func() {
				// They don't all begin at the same time.
				time.Sleep(uploadTime * time.Duration(n) / usualUploads)
				f.uploadUntil(r, end, timeout)
			})
		}
	}
	time.Sleep(5 * time.Second)
	if f.trouble {
		f.record.note("burst")
		until := clock.Now().Add(burstTime - uploadTime)
		for _, r := range f.routers {
			for range burstUploads {
				clients.Go(func() { f.uploadUntil(r, until, timeout) })
			}
		}
	}
	clients.Wait()
	broken := false
	for i, r := range f.routers {
		n := cut[i].Load()
		broken = broken || n > maxCut
		f.record.say("%s: most memory seen %d MiB of %d MiB, killed for it %d times; %d requests on kept channels handed to an engine and then cut (LOST allows %d)",
			r.name, r.peakKB>>10, memoryMB, r.killed, n, maxCut)
	}
	f.record.say("requests on kept channels: %d answered", answered.Load())
	return broken, nil
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
		// What is cut after a machine has been killed once isn't counted.
		first := r.startsNow() == 1
		f.record.note("send     %s to %s, %d answered before on this channel", id, r.name, c.answered)
		a, err := c.exchange(http.MethodPost, "/status/a", id, timeout, []byte("order"))
		if err != nil {
			at := f.record.ranAt(id)
			f.record.note("cut      %s after it ran at %v: %v", id, at, err)
			if len(at) > 0 && c.answered > 0 && first {
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

// uploadUntil sends one request with a long body after the other until end.
func (f *fleet) uploadUntil(r *router, end time.Time, timeout time.Duration) {
	for {
		f.upload(r, timeout, uploadTime)
		if !clock.Now().Before(end) {
			return
		}
		time.Sleep(uploadTime / 100)
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
