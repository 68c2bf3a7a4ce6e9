package forward_test

import (
	"net/http"
	"testing"
)

// TestLineEndsOfEvents guards against whole streams that are taken for broken ones, or whose events are held back,
// because of the ends of their lines: LF, CRLF or CR, also mixed.
func TestLineEndsOfEvents(t *testing.T) {
	tests := map[string]string{
		"CRLF, then LF":            "id: 1\r\ndata: a\r\n\nid: 2\r\ndata: b\r\n\n",
		"LF, then CRLF":            "id: 1\ndata: a\n\r\nid: 2\ndata: b\n\r\n",
		"CR":                       "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"CR, then LF":              "id: 1\rdata: a\r\n\nid: 2\rdata: b\r\n\n",
		"a blank line at the end":  "id: 1\ndata: a\n\n\n",
		"blank lines between":      "id: 1\r\ndata: a\r\n\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"a blank line at the head": "\nid: 1\ndata: a\n\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			resumedAfter := []string{}
			for _, buffered := range []bool{false, true} {
				got, result := forwardSends(t, buffered,
					func(string) send { return send{text: text} },
					func(after string) send { resumedAfter = append(resumedAfter, after); return send{} })
				if got != text || result.Truncated || result.Status != http.StatusOK || len(resumedAfter) > 0 {
					t.Errorf("the caller got %q, want %q; status %d, truncated: %t, resumed after %q", got, text, result.Status, result.Truncated, resumedAfter)
				}
			}
		})
	}
}

// TestIDEndsWithItsLine guards against an id that carries further headers into the request to resume its stream.
func TestIDEndsWithItsLine(t *testing.T) {
	resumedAfter := ""
	_, result := forwardSends(t, false,
		func(string) send { return send{text: "id: 1\rX-Evil: 1\ndata: a\n\n", breaks: true} },
		func(after string) send { resumedAfter = after; return send{} })
	if resumedAfter != "1" || result.Truncated {
		t.Errorf("resumed after %q, truncated: %t", resumedAfter, result.Truncated)
	}
}
