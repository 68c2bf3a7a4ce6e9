package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// answerFunc writes an engine's answer to a request. It returns false if the channel is to be closed.
type answerFunc func(e *engine, c net.Conn, r *http.Request, id string) bool

// engine is a stand-in of an engine that serves HTTP/1.1, one request at a time on a channel.
type engine struct {
	id, service, zone string
	slots             int
	listener          net.Listener
	record            *record
	answer            answerFunc
	seq               atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startEngine(s *store, rec *record, id, service, zone string, slots int, answer answerFunc) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, slots: slots, listener: l, record: rec, answer: answer, conns: map[net.Conn]bool{}}
	e.beat(s)
	background.Go(func() {
		for range time.Tick(heartbeat) {
			e.beat(s)
		}
	})
	background.Go(e.accept)
	return e, nil
}

// beat writes the engine's entry.
func (e *engine) beat(s *store) {
	s.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": e.slots,
		"state": "ready", "coldLeftMs": 0, "seq": e.seq.Add(1),
	})
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		background.Go(func() { e.serve(c) })
	}
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(headerID)
		if want := r.Header.Get(headerExpect); want != "" && want != e.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+headerServedBy+": "+e.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !e.answer(e, c, r, id) {
			return
		}
	}
}

// seal returns the seal of the answer to a request.
func seal(id string) string { return "seal." + id }

// body returns the body of the answer to a request.
func body(id string) string { return "answer to " + id + "\n" }

// wholeAnswer returns a sound answer to a request.
func wholeAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		headerID, id, headerSeal, seal(id), len(body(id)), body(id))
}

// soundAnswer answers a request after the time that it takes.
func soundAnswer(work time.Duration) answerFunc {
	return func(e *engine, c net.Conn, _ *http.Request, id string) bool {
		e.record.ran(id, e.id)
		time.Sleep(work)
		_, err := io.WriteString(c, wholeAnswer(id))
		return err == nil
	}
}
