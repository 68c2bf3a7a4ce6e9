package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/stepcroft/stepcroft/internal/clock"
)

// statusHandler sends each status that its handler writes. The library sends 200 in place of one that it has no reason
// phrase for.
type statusHandler struct{ next http.Handler }

func (h statusHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	library, ok := w.(*nbhttp.Response)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	res := &response{library: library, request: r}
	h.next.ServeHTTP(res, r)
	if res.direct != nil && res.closes {
		_ = res.direct.Close()
	}
}

// response is the library's, but for a status without a reason phrase.
type response struct {
	library *nbhttp.Response
	request *http.Request
	// began is set once the status is decided.
	began bool
	// direct is the connection if the answer is written past the library, and closes whether it is closed after it.
	direct net.Conn
	closes bool
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.library.Header() }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if !r.began && http.StatusText(status) == "" {
		r.writeHead(status)
	} else if r.direct == nil {
		r.library.WriteHeader(status)
	}
	r.began = true
}

// writeHead writes the head of an answer past the library.
func (r *response) writeHead(status int) {
	conn, _, err := r.library.Hijack()
	if err != nil || conn == nil {
		return
	}
	r.direct = conn
	header := r.Header()
	header.Del("Transfer-Encoding")
	header.Set("Date", clock.Wall().UTC().Format(http.TimeFormat))
	if r.closes = r.request.Close || header.Get("Content-Length") == ""; r.closes {
		header.Set("Connection", "close")
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %03d \r\n", r.request.Proto, status)
	_ = header.Write(&head)
	head.WriteString("\r\n")
	// The next write tells that the caller has gone.
	_, _ = conn.Write(head.Bytes())
}

// Write implements http.ResponseWriter.
func (r *response) Write(b []byte) (int, error) {
	r.began = true
	switch {
	case r.direct == nil:
		return r.library.Write(b)
	case r.request.Method == http.MethodHead:
		return len(b), nil
	}
	return r.direct.Write(b)
}

// Flush implements http.Flusher.
func (r *response) Flush() {
	r.began = true
	r.library.Flush()
}

// Hijack implements http.Hijacker.
func (r *response) Hijack() (net.Conn, *bufio.ReadWriter, error) { return r.library.Hijack() }
