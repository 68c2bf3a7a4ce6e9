package classify

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/prefix"
)

// bearer returns the key in an Authorization header of the Bearer scheme, or "".
func bearer(header string) string {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// defaultTimeout is the time to the deadline of a request that has no deadline header.
const defaultTimeout = 30 * time.Second

// ApplyHeaders sets the fields of a request that come from its other headers: its deadline, the parts of its prompt and
// what is forwarded to the target.
func (c *Classifier) ApplyHeaders(out *forward.Request, r *http.Request) error {
	if out.ID == "" {
		return errors.Errorf("header %s is missing", c.names.RequestID)
	}
	timeout := defaultTimeout
	if text := r.Header.Get(c.names.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 || ms > math.MaxInt32 {
			return errors.Errorf("header %s is not a number of milliseconds: %q", c.names.Deadline, text)
		}
		timeout = time.Duration(ms * float64(time.Millisecond))
	}
	out.Deadline = out.Arrived.Add(timeout)
	out.Header = c.forwardedHeaders(r.Header)
	out.Parts = parsePromptParts(r.Header.Get(c.names.PromptParts))
	return nil
}

// forwardedHeaders returns the caller's headers that are forwarded to the target unchanged.
func (c *Classifier) forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if forward.HopByHop(name, h["Connection"]) || c.withheld(name) {
			continue
		}
		out[name] = values
	}
	return out
}

// withheld reports whether a caller's header is not forwarded: it is addressed to the router,
// the router sets it itself, or only routers may set it. With some of the last kind, a caller
// could make an engine reserve or move cache memory.
func (c *Classifier) withheld(name string) bool {
	switch name {
	case c.names.RequestID, c.names.Deadline, c.names.LastEventID, "Authorization", "Expect":
		return true
	}
	return slices.Contains(c.names.Reserved, name)
}

// parseSizes parses "INPUT TOKENS,MAXIMUM OUTPUT TOKENS" and the expected number of output
// tokens. It returns 0 for a number that cannot be parsed. The expected number replaces the
// maximum if it is lower.
func parseSizes(size, hint string) (in, out int) {
	first, second, _ := strings.Cut(size, ",")
	in, out = parseTokens(first), parseTokens(second)
	if expected := parseTokens(hint); expected > 0 && expected < out {
		out = expected
	}
	return in, out
}

// maxTokens bounds the number of tokens read from a header. It is more than any engine's
// memory holds, and low enough that sums do not overflow.
const maxTokens = 1 << 30

// parseTokens parses a number of tokens; it returns 0 for anything else.
func parseTokens(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// parsePromptParts parses "ID:TOKENS,ID:TOKENS" and skips parts without an id or a colon.
func parsePromptParts(text string) []prefix.Part {
	var parts []prefix.Part
	for piece := range strings.SplitSeq(text, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(piece), ":")
		if ok && id != "" {
			parts = append(parts, prefix.Part{ID: id, Tokens: parseTokens(tokens)})
		}
	}
	return parts
}
