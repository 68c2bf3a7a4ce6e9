package httptarget

import "maps"

// Framing is what marks the end of an answer.
type Framing string

// The framings.
const (
	// FramedByLength means that the answer tells its length, FramedByChunks that its last chunk ends it.
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
	// ByConnection means that its target accepted a new connection, ByBytes that it sent more on another one.
	ByConnection Evidence = "connection"
	ByBytes      Evidence = "bytes"
	// ByNothing means that nothing shows whether the process of its target goes on.
	ByNothing Evidence = "nothing"
	// ByReset means that the connection was reset, ByRefusal that its target refuses connections, and ByOtherEnds that
	// all other connections to it ended in the same moment. The answer is cut.
	ByReset     Evidence = "reset"
	ByRefusal   Evidence = "refusal"
	ByOtherEnds Evidence = "other-ends"
)

// Framing returns what marks the end of the answer.
func (a *Answer) Framing() Framing {
	switch {
	case a.response.ContentLength >= 0:
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
