package httptarget

import (
	"maps"
	"net/http"
)

// Framing is what marks the end of an answer.
type Framing string

// The framings.
const (
	// FramedByLength means that the answer tells its length or can have no body, FramedByChunks that its last chunk ends it.
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// Unframed means that the answer ends with its connection, so that its end alone does not show that it is complete.
	Unframed Framing = "connection"
)

// Evidence is what shows whether an answer is complete.
type Evidence string

// The evidence.
const (
	// ByFraming means that the answer's own framing marks its end.
	ByFraming Evidence = "framing"
	// ByAnswer means that the target's process answered a question after the end, ByBytes that it sent more on another
	// connection then. The answer is complete.
	ByAnswer Evidence = "answer"
	ByBytes  Evidence = "bytes"
	// ByReset means that the connection was reset, ByOtherProcess that another process answered in place of the target's,
	// ByOtherEnds that all other connections to it ended in the same moment, ByRefusal that it refuses connections, and
	// ByNothing that nothing shows whether it goes on. The answer counts as cut.
	ByReset        Evidence = "reset"
	ByOtherProcess Evidence = "other-process"
	ByOtherEnds    Evidence = "other-ends"
	ByRefusal      Evidence = "refusal"
	ByNothing      Evidence = "nothing"
)

// Framing returns what marks the end of the answer.
func (a *Answer) Framing() Framing {
	switch {
	case a.response.ContentLength >= 0, a.response.Body == http.NoBody:
		return FramedByLength
	case len(a.response.TransferEncoding) > 0:
		return FramedByChunks
	}
	return Unframed
}

// framed reports whether the end of the body can be told from that of the connection.
func (a *Answer) framed() bool { return a.Framing() != Unframed }

// CompleteBy returns what shows that the answer is complete, or empty if it has not been read to its end.
func (a *Answer) CompleteBy() Evidence {
	switch {
	case !a.complete:
		return ""
	case a.framed():
		return ByFraming
	}
	return a.evidence
}

// countEnd counts an answer that ended with its connection.
func (t *Transport) countEnd(e Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unframedEnds[e]++
}

// endsByEvidence returns the number of answers that ended with their connections, by evidence.
func (t *Transport) endsByEvidence() map[Evidence]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.unframedEnds)
}
