// Package refusal holds the reasons for which a router refuses a caller's request before it is sent to a target, when
// its caller is told to return, and the answer that tells so.
package refusal

import (
	"bytes"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
)

// Reasons for refusing a request before it reaches the forwarder.
const (
	BadRequest   forward.Reason = "bad-request"
	NoRoute      forward.Reason = "no-route"
	Unauthorized forward.Reason = "unknown-key"
	TooLarge     forward.Reason = "body-too-large"
	BodyTimeout  forward.Reason = "body-timeout"
	NotReady     forward.Reason = "not-ready"
	Leaving      forward.Reason = "router-leaving"
	ProcessFull  forward.Reason = "process-full"
	BodyEvicted  forward.Reason = "bodies-full"
	// Overdue is the reason for rejecting a connection that waited too long for CPU time.
	Overdue forward.Reason = "router-overdue"
	// Improper means that what the caller sent is no proper request, so that the HTTP server refused it before a
	// handler ran.
	Improper forward.Reason = "improper-request"
)

// Stopped means that the server was closed while it served the request.
const Stopped forward.Reason = "router-stopped"

// Panic means that the handler of the request panicked.
const Panic forward.Reason = "router-failed"

const (
	// NotReadyRetryAfter is the Retry-After of a router that has no configuration yet, or has too
	// many requests in memory, and the least of one that has too many bodies.
	NotReadyRetryAfter = 500 * time.Millisecond
	// LeavingRetryAfter is the Retry-After of a router that shuts down. It is short because the
	// caller can go to another router at once.
	LeavingRetryAfter = 50 * time.Millisecond
	// minOverloadRetryAfter and overloadRetryAfterSpread are the minimum and the random part of
	// the Retry-After when an organisation has too many waiting requests or the router is
	// short of CPU time. The organisation sends several times its share, so an earlier retry
	// would fail too.
	minOverloadRetryAfter    = time.Second
	overloadRetryAfterSpread = time.Second
)

// OverloadRetryAfter returns a random Retry-After for a refusal under overload.
func OverloadRetryAfter() time.Duration {
	return minOverloadRetryAfter + rand.N(overloadRetryAfterSpread)
}

// BodyRetryAfter returns a random Retry-After for a refusal for want of memory, so that the bodies refused
// together do not come back together.
func BodyRetryAfter() time.Duration { return NotReadyRetryAfter + rand.N(NotReadyRetryAfter) }

// New returns the result of a refused request.
func New(status int, reason forward.Reason, after time.Duration) forward.Result {
	return forward.Result{Status: status, Reason: reason, RetryAfter: after}
}

// Write writes a result as an answer that carries a request's id, if it has one, in the header idHeader.
func Write(w http.ResponseWriter, idHeader, id string, result forward.Result) error {
	h := w.Header()
	if id != "" {
		h.Set(idHeader, id)
	}
	if result.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(result.RetryAfter))
	}
	text := string(result.Reason) + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(result.Status)
	_, err := io.WriteString(w, text)
	return err
}

// Format returns the bytes of a refusal with 503, with the id as for Write; if last is set, its header says that the
// connection is closed.
func Format(idHeader, id string, result forward.Result, last bool) []byte {
	b := make([]byte, 0, 256)
	b = append(b, "HTTP/1.1 503 Service Unavailable\r\n"...)
	if id != "" {
		b = append(b, idHeader+": "+id+"\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Retry-After: "+retryAfter(result.RetryAfter)+"\r\n"...)
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	b = append(b, "Content-Length: "+strconv.Itoa(len(result.Reason)+1)+"\r\n\r\n"...)
	return append(b, string(result.Reason)+"\n"...)
}

// retryAfter formats the value of a Retry-After header: in seconds, rounded up to whole
// milliseconds.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
}

var lineEnd = []byte("\r\n")

// WithID returns an answer with an id, if that is not empty, in the header idHeader.
func WithID(answer []byte, idHeader, id string) []byte {
	line, rest, ok := bytes.Cut(answer, lineEnd)
	if !ok || id == "" {
		return answer
	}
	return bytes.Join([][]byte{line, []byte(idHeader + ": " + id), rest}, lineEnd)
}

// StatusOf returns the status of an answer, or 0 if it has none.
func StatusOf(answer []byte) int {
	_, rest, _ := bytes.Cut(answer, []byte(" "))
	status, _, _ := bytes.Cut(rest, []byte(" "))
	// A status that is no number is 0.
	n, _ := strconv.Atoi(string(status))
	return n
}
