package forward

import (
	"context"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// StreamVersions knows which versions of services began streams.
type StreamVersions interface {
	// Lookup returns the version that began a stream. It may ask other routers.
	Lookup(ctx context.Context, t TakeUp) streamversion.Answer
}

// TakeUp describes a stream that a caller takes up.
type TakeUp struct {
	// Stream is the id of the request that began it, empty if the caller does not tell.
	Stream string
	// Service is that of the request for the rest, whose host and path have chosen it. The stream may have begun at
	// another one.
	Service, Host, Path string
	// Regions are those in which it may be served.
	Regions routing.Regions
}

// findVersion finds out which version began the stream that the caller takes up, and refuses the
// request and returns false if that stays unknown: its rest might come from another version.
func (x *inflight) findVersion(ctx context.Context) bool {
	if x.versions == nil || x.LastEventID == "" || x.Route.Kind != routing.Streaming {
		return true
	}
	a := x.versions.Lookup(ctx, TakeUp{Stream: x.Resumes, Service: x.Service, Host: x.Host, Path: x.Path(), Regions: x.Regions})
	switch {
	case a.Known:
		x.result.VersionEvidence = a.Evidence
		x.begun = balance.OnlyVersion(a.Version)
		x.ticket.Version = x.begun
		return true
	case ctx.Err() != nil:
		x.abandon(ctx)
	case a.Confirmed:
		// No router will know it later either.
		x.refuse(ReasonUnknownVersion, 0)
	default:
		x.refuse(ReasonUnknownVersion, defaultRetryAfter)
	}
	return false
}

// streamID returns the id of the request that begins the stream, if the caller may ask for its rest
// later, else "".
func (r Request) streamID() string {
	switch {
	case r.Route.Kind != routing.Streaming || !r.Route.Resumable:
		return ""
	case r.LastEventID != "":
		return r.Resumes
	}
	return r.ID
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
		x.begun = balance.OnlyVersion(x.target.Version)
		return
	}
	x.counters.CountContinuation(x.continuation())
	if !x.begun.IsSet() {
		x.begun = balance.OnlyVersion(x.target.Version)
	}
}

// correctVersion takes over the version that began the stream, if it turned out to be another one than that of the
// target's entry. Only the first run may be of it.
func (x *inflight) correctVersion() {
	if v := x.ticket.CorrectedVersion(); v.IsSet() && x.result.Runs == 1 {
		x.begun, x.result.RunTarget.Version = v, v.Version()
	}
}

func (x *inflight) continuation() Continuation {
	same := x.begun.Allows(x.target.Version)
	switch within := x.forwardedEvents > 0; {
	case within && same:
		return ContinuedSameVersion
	case within:
		return ContinuedOtherVersion
	case !x.begun.IsSet():
		return TakenUpUnknownVersion
	case same:
		return TakenUpSameVersion
	}
	return TakenUpOtherVersion
}
