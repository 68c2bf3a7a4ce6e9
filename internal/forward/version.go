package forward

// beginning tells which version of a service's software began a stream.
type beginning struct {
	version string
	known   bool
}

// Continuation says who continues a stream, and at which version of the service's software.
type Continuation string

// The continuations. A stream is continued within one answer by a router, or taken up by its caller
// with another request.
const (
	ContinuedSameVersion  Continuation = "answer-same-version"
	ContinuedOtherVersion Continuation = "answer-other-version"
	TakenUpSameVersion    Continuation = "caller-same-version"
	TakenUpOtherVersion   Continuation = "caller-other-version"
	TakenUpUnknownVersion Continuation = "caller-unknown-version"
)

// recordVersion records that the target of the current send sends its first events.
func (x *inflight) recordVersion() {
	if x.lastEventID == "" {
		x.begun = beginning{version: x.target.Version, known: true}
		return
	}
	x.counters.CountContinuation(x.continuation())
	if !x.begun.known {
		x.begun = beginning{version: x.target.Version, known: true}
	}
}

func (x *inflight) continuation() Continuation {
	same := x.begun.version == x.target.Version
	switch within := x.forwardedEvents > 0; {
	case within && same:
		return ContinuedSameVersion
	case within:
		return ContinuedOtherVersion
	case !x.begun.known:
		return TakenUpUnknownVersion
	case same:
		return TakenUpSameVersion
	}
	return TakenUpOtherVersion
}
