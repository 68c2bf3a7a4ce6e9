package ingress

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

func bearer(header string) string {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// describe reads what the headers say of a request.
func (s *Server) describe(out *forward.Request, r *http.Request) error {
	if out.ID == "" {
		return errors.Errorf("header %s is missing", s.dialect.RequestID)
	}
	wait := defaultWait
	if text := r.Header.Get(s.dialect.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 || ms > math.MaxInt32 {
			return errors.Errorf("header %s is no time in milliseconds: %q", s.dialect.Deadline, text)
		}
		wait = time.Duration(ms * float64(time.Millisecond))
	}
	out.Deadline = out.Arrived.Add(wait)
	out.LastEventID = r.Header.Get(s.dialect.LastEvent)
	out.Header = s.passedOn(r.Header)
	out.Parts = promptParts(r.Header.Get(s.dialect.PromptParts))
	return nil
}

// passedOn returns the headers that a target gets as the caller sent them.
func (s *Server) passedOn(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if forward.HopByHop(name, h["Connection"]) || s.own(name) {
			continue
		}
		out[name] = values
	}
	return out
}

// own reports whether a caller's header is not passed on as it is: it is meant
// for the router, the router sets it anew, or only routers may set it. Passed
// on, some would make an engine set memory aside or move it at a caller's word.
func (s *Server) own(name string) bool {
	switch name {
	case s.dialect.RequestID, s.dialect.Deadline, s.dialect.LastEvent, "Authorization", "Expect":
		return true
	}
	return slices.Contains(s.dialect.Reserved, name)
}

// sizes reads "TOKENS IN,MOST TOKENS OUT" and a guess of the tokens out; what cannot
// be read is 0, and a guess that cannot be right is left out.
func sizes(size, hint string) (in, out int) {
	first, second, _ := strings.Cut(size, ",")
	in, out = count(first), count(second)
	if guess := count(hint); guess > 0 && guess < out {
		out = guess
	}
	return in, out
}

// tokensMost bounds the tokens that a caller's header may name: more than any engine's
// memory holds, and little enough to be added up.
const tokensMost = 1 << 30

func count(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, tokensMost)
}

// promptParts reads "ID:TOKENS,ID:TOKENS"; parts that cannot be read are
// left out.
func promptParts(text string) []prefix.Part {
	var parts []prefix.Part
	for piece := range strings.SplitSeq(text, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(piece), ":")
		if ok && id != "" {
			parts = append(parts, prefix.Part{ID: id, Tokens: count(tokens)})
		}
	}
	return parts
}
