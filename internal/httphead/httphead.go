// Package httphead reads the heads of HTTP/1 requests that have arrived, before an HTTP server does and at a fraction
// of its cost. It leaves whatever is unusual to the server, so that both always see the same request.
package httphead

import (
	"bytes"
	"strconv"
)

// Names holds the names of the headers that are read here.
type Names struct {
	// ID carries the request's id.
	ID string
	// PromptSize carries the size of its prompt, and OutputHint that of the expected output.
	PromptSize, OutputHint string
}

// Head holds values of a request's head. They share the memory of the bytes that were parsed.
type Head struct {
	Method, Target, Host, ID, Authorization []byte
	PromptSize, OutputHint                  []byte
	// BodyLength is the length of the body, in bytes.
	BodyLength int
}

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
	version = []byte(" HTTP/1.1")

	lineFeed, carriageReturn = []byte("\n"), []byte("\r")
)

// Complete reports whether b holds the end of a head.
func Complete(b []byte) bool { return bytes.Contains(b, headEnd) }

// Parse parses the head of a request and returns its size in bytes. It returns false if
// the head is incomplete, or unusual and so left to the HTTP server: for example without a Host,
// with a repetition of a header that is read here, with a Content-Length that is not a positive
// number, with folded lines, with a bare line feed or carriage return, in which the server sees
// the end of a line, or with a Connection, Transfer-Encoding, Expect or Upgrade header.
func Parse(b []byte, names *Names) (h Head, size int, ok bool) {
	end := bytes.Index(b, headEnd)
	if end < 0 {
		return h, 0, false
	}
	first, rest, _ := bytes.Cut(b[:end], lineEnd)
	if !h.requestLine(first) {
		return h, 0, false
	}
	lines := 0
	for ; len(rest) > 0; lines++ {
		var l []byte
		l, rest, _ = bytes.Cut(rest, lineEnd)
		if !h.header(l, names) {
			return h, 0, false
		}
	}
	if bytes.Count(b[:end], lineFeed) != lines || bytes.Count(b[:end], carriageReturn) != lines {
		return h, 0, false
	}
	return h, end + len(headEnd), len(h.Host) > 0
}

// requestLine parses the request line, without its line end. It returns false if the HTTP server
// is to parse the request.
func (h *Head) requestLine(l []byte) bool {
	l, ok := bytes.CutSuffix(l, version)
	if !ok {
		return false
	}
	h.Method, h.Target, ok = bytes.Cut(l, []byte(" "))
	return ok && len(h.Method) > 0 && len(h.Target) > 0 && h.Target[0] == '/' && !bytes.ContainsRune(h.Target, ' ')
}

// header parses a header line, without its line end. It returns false if the HTTP server is to
// parse the request.
func (h *Head) header(l []byte, names *Names) bool {
	name, value, ok := cutHeader(l)
	if !ok {
		return false
	}
	switch {
	case equalNames(name, "Host"):
		return setOnce(&h.Host, value)
	case equalNames(name, "Authorization"):
		return setOnce(&h.Authorization, value)
	case equalNames(name, names.ID):
		return isPrintable(value) && setOnce(&h.ID, value)
	case equalNames(name, names.PromptSize):
		return setOnce(&h.PromptSize, value)
	case equalNames(name, names.OutputHint):
		return setOnce(&h.OutputHint, value)
	case equalNames(name, "Content-Length"):
		n, err := strconv.ParseUint(string(value), 10, 31)
		repeated := h.BodyLength != 0
		h.BodyLength = int(n)
		return err == nil && !repeated && n > 0
	case equalNames(name, "Transfer-Encoding"), equalNames(name, "Connection"), equalNames(name, "Expect"), equalNames(name, "Upgrade"):
		return false
	}
	return true
}

// cutHeader cuts a header line. It returns false if the line is folded or has no name.
func cutHeader(l []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(l, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return nil, nil, false
	}
	for len(value) > 0 && isBlank(value[0]) {
		value = value[1:]
	}
	for len(value) > 0 && isBlank(value[len(value)-1]) {
		value = value[:len(value)-1]
	}
	return name, value, true
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isPrintable reports whether a header's value can be sent back as it is.
func isPrintable(value []byte) bool {
	for _, c := range value {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// setOnce sets *field to the value of a header, and returns false if it is set already, since the
// header must not be repeated.
func setOnce(field *[]byte, value []byte) bool {
	if *field != nil {
		return false
	}
	*field = value
	if value == nil {
		*field = []byte{}
	}
	return true
}

// equalNames reports whether a header's name is want, ignoring case.
func equalNames(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}
