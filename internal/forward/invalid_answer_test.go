package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

const headerSeal = "X-Seal"

// startRawTarget starts a target that writes what answer returns for each request, given the request's id
// and its number on its connection.
func startRawTarget(t testing.TB, id string, answer func(id string, n int) string) balance.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, answer(r.Header.Get("X-Id"), n)); err != nil {
				return
			}
		}
	}
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { serve(c) })
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return balance.Target{ID: id, Service: "s", Zone: "z", Slots: 4, Address: l.Addr().String(), Born: 1}
}

// message returns an HTTP answer with headers, a line each.
func message(status int, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, strings.Join(headers, "\r\n"), len(body), body)
}

// whole returns the sound answer to a request.
func whole(id string) string {
	return message(200, "id: 1\ndata: x\n\n", "X-Id: "+id, headerSeal+": s")
}

// spoiled returns a message of a faulty target.
func spoiled(status int, headers ...string) string {
	return message(status, "id: 1\ndata: spoiled\n\n", headers...)
}

// Guards against passing on as an answer what a faulty target sends in its place.
func TestBytesThatAreNoAnswerDoNotReachCallers(t *testing.T) {
	cases := map[string]func(id string) string{
		"success without an id":            func(string) string { return spoiled(200, headerSeal+": s") },
		"success without an id and a seal": func(string) string { return spoiled(200, "X-Other: 1") },
		"success with an empty id":         func(string) string { return spoiled(200, "X-Id: ", headerSeal+": s") },
		"success with several ids": func(id string) string {
			return spoiled(200, "X-Id: "+id, "X-Id: other", headerSeal+": s")
		},
		"success without a seal":  func(id string) string { return spoiled(200, "X-Id: "+id) },
		"success without content": func(string) string { return "HTTP/1.1 204 x\r\n\r\n" },
		"success that was not run": func(id string) string {
			return spoiled(200, "X-Id: "+id, headerSeal+": s", headerNotRun+": 1")
		},
		"long success without an id": func(string) string { return message(200, strings.Repeat("spoiled", 60<<10), "X-Other: 1") },
		"chunks without an id": func(string) string {
			return "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nspoiled\r\n0\r\n\r\n"
		},
		"failure without an id":             func(string) string { return spoiled(500, "X-Other: 1") },
		"error of the caller without an id": func(string) string { return spoiled(404, "X-Other: 1") },
		"unavailable without an id":         func(string) string { return spoiled(503, "Retry-After: 1") },
		"bytes before the answer":           func(id string) string { return spoiled(200, "X-Other: 1") + whole(id) },
	}
	for name, answer := range cases {
		for _, kind := range []routing.Kind{routing.NonIdempotent, routing.Streaming, routing.Idempotent} {
			t.Run(fmt.Sprint(name, "/", kind), func(t *testing.T) {
				f := newTestForwarder(t)
				f.setTargets(t, startRawTarget(t, "a", func(id string, _ int) string { return answer(id) }))
				caller := &recordingCaller{}
				v := f.sendTo(kind, caller)
				if v.Status != http.StatusBadGateway || v.HeadSent || len(caller.list) > 0 {
					t.Errorf("status %d, head sent %v, the caller got %.60q; want 502 of the router's own", v.Status, v.HeadSent, caller.list)
				}
				if kind != routing.Idempotent && v.Reason != forward.ReasonInvalid {
					t.Errorf("reason %q", v.Reason)
				}
			})
		}
	}
}

// Guards against losing a request that may be repeated when a target sends bytes that are no answer.
func TestRequestIsRetriedAfterBytesThatAreNoAnswer(t *testing.T) {
	for name, answer := range map[string]func(id string) string{
		"without an id":         func(string) string { return spoiled(200, "X-Other: 1") },
		"status that is no one": func(id string) string { return spoiled(600, "X-Id: "+id, headerSeal+": s") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t)
			var faulty, sound atomic.Int64
			f.setTargets(
				t,
				startRawTarget(t, "a", func(id string, _ int) string { faulty.Add(1); return answer(id) }),
				startRawTarget(t, "b", func(id string, _ int) string { sound.Add(1); return whole(id) }),
			)
			const requests = 8
			for range requests {
				if v := f.send(routing.Idempotent); v.Status != http.StatusOK {
					t.Errorf("status %d, reason %q", v.Status, v.Reason)
				}
			}
			if faulty.Load() == 0 || sound.Load() != requests {
				t.Errorf("%d at the faulty target, %d at the sound one", faulty.Load(), sound.Load())
			}
		})
	}
}

// Guards against taking a late second copy of a rejection for that of the next request on the connection,
// which the target runs: it would run twice, or its caller would be told that it has not run.
func TestLateRejectionIsNotTakenForTheNextRequests(t *testing.T) {
	rejections := map[string]string{
		"full":            message(503, "", headerNotRun+": 1"),
		"too many":        message(429, "", headerNotRun+": 1"),
		"another process": message(421, "", "X-Served-By: b"),
	}
	for name, rejection := range rejections {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t)
			var requests atomic.Int64
			f.setTargets(t, startRawTarget(t, "a", func(id string, n int) string {
				switch {
				case requests.Add(1) == 1:
					return rejection
				case n == 1:
					return rejection + whole(id)
				}
				return whole(id)
			}))
			if v := f.send(routing.NonIdempotent); v.Status != http.StatusServiceUnavailable {
				t.Errorf("first request: status %d, reason %q, want the rejection", v.Status, v.Reason)
			}
			if v := f.send(routing.NonIdempotent); v.Status != http.StatusOK {
				t.Errorf("second request: status %d, reason %q, although it ran", v.Status, v.Reason)
			}
		})
	}
}

// Guards against passing on a head that HTTP does not have as that of an answer, though it carries the request's id and
// seal, or taking it for one that the request was not run. A status below 100 makes net/http panic.
func TestHeadThatIsNotOfHTTP(t *testing.T) {
	const interim = "HTTP/1.1 103 x\r\n\r\n"
	const length, chunks = "Content-Length: 1\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	cases := map[string]struct{ before, line, after string }{
		"000": {"", "HTTP/1.1 000 x", length}, "001": {"", "HTTP/1.1 001 x", length}, "099": {"", "HTTP/1.1 099 x", length},
		"-00": {"", "HTTP/1.1 -00 x", length}, "+200": {"", "HTTP/1.1 +200 x", length}, "20": {"", "HTTP/1.1 20 x", length},
		"2000": {"", "HTTP/1.1 2000 x", length}, "600": {"", "HTTP/1.1 600 x", length}, "999": {"", "HTTP/1.1 999 x", length},
		"101": {"", "HTTP/1.1 101 x", length}, "000, chunks": {"", "HTTP/1.1 000 x", chunks}, "600, chunks": {"", "HTTP/1.1 600 x", chunks},
		"000, no content":   {"", "HTTP/1.1 000 x", "Content-Length: 0\r\n\r\n"},
		"600, not run":      {"", "HTTP/1.1 600 x", headerNotRun + ": 1\r\n" + length},
		"000 after interim": {interim, "HTTP/1.1 000 x", length}, "600 after interim": {interim, "HTTP/1.1 600 x", length},
		"version 9.9": {"", "HTTP/9.9 200 x", length}, "version 2.0": {"", "HTTP/2.0 200 x", length},
		"two lengths":        {"", "HTTP/1.1 200 x", "Content-Length: 2\r\n" + length},
		"negative length":    {"", "HTTP/1.1 200 x", "Content-Length: -1\r\n\r\nx"},
		"line without colon": {"", "HTTP/1.1 200 x", "x\r\n" + length},
	}
	for name, c := range cases {
		for _, kind := range []routing.Kind{routing.NonIdempotent, routing.Streaming} {
			t.Run(fmt.Sprint(name, "/", kind), func(t *testing.T) {
				f := newTestForwarder(t)
				f.setTargets(t, startRawTarget(t, "a", func(id string, _ int) string {
					return c.before + c.line + "\r\nX-Id: " + id + "\r\n" + headerSeal + ": s\r\n" + c.after
				}))
				caller := &recordingCaller{}
				v := f.sendTo(kind, caller)
				if v.Status != http.StatusBadGateway || v.HeadSent || len(caller.list) > 0 || v.Reason != forward.ReasonBroken {
					t.Errorf("status %d, reason %q, head sent %v, the caller got %.60q", v.Status, v.Reason, v.HeadSent, caller.list)
				}
			})
		}
	}
}
