package httphead

import "bytes"

// ID returns the id of the request that b begins with, or "" if it has none, or several, or b does not begin
// with a request. The head may be incomplete, and of a form that Parse leaves to the HTTP server. The caller must
// refuse the request and close the connection, since the end of the request is not known.
func ID(b []byte, header string) string {
	first, rest, ok := bytes.Cut(b, lineEnd)
	if !ok || !isRequestLine(first) {
		return ""
	}
	var id []byte
	for len(rest) > 0 {
		l, after, ok := bytes.Cut(rest, lineEnd)
		if !ok || len(l) == 0 {
			break
		}
		name, value, ok := cutHeader(l)
		if !ok || bytes.ContainsAny(l, "\r\n") {
			return ""
		}
		if equalNames(name, header) {
			// The next line shows whether this one is folded.
			if len(after) == 0 || !isPrintable(value) || !setOnce(&id, value) {
				return ""
			}
		}
		rest = after
	}
	if len(rest) > 0 && isBlank(rest[0]) {
		return ""
	}
	return string(id)
}

// isRequestLine reports whether a line, without its end, is that of an HTTP/1 request.
func isRequestLine(l []byte) bool {
	method, rest, _ := bytes.Cut(l, []byte(" "))
	target, protocol, ok := bytes.Cut(rest, []byte(" "))
	return ok && len(method) > 0 && len(target) > 0 && bytes.IndexByte(l, '\n') < 0 &&
		(string(protocol) == "HTTP/1.1" || string(protocol) == "HTTP/1.0")
}
