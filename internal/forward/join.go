package forward

import (
	"cmp"

	"github.com/stepcroft/stepcroft/internal/balance"
)

// Join is where a target's run of a stream follows an earlier run: within one answer, or as the caller takes the
// stream up.
type Join struct {
	// Stream is the id of the request that began the stream, ID that of the request whose answer goes on with it.
	Stream, ID string
	// After is the id of the last event that the caller has, First that of the first event of the run; empty if that
	// one has none.
	After, First string
	// From is the target of the earlier run, the zero value if the caller takes the stream up: that run is in another
	// answer. To is that of the run.
	From, To balance.Target
	// Begun is the version that began the stream, if it is known, and Evidence how it is known.
	Begun    balance.VersionLimit
	Evidence JoinEvidence
	// Process is how it is known that the process of To's entry sends the run.
	Process ProcessEvidence
}

// JoinEvidence is how a router knows the version of a stream that it goes on with: by what it sent within the same
// answer, not at all, or a streamversion.Evidence.
type JoinEvidence string

// The evidence that is not a streamversion.Evidence.
const (
	JoinedInAnswer JoinEvidence = "same-answer"
	JoinedUnknown  JoinEvidence = "unknown"
)

// ProcessEvidence is how a router knows that the process of a target's entry sends a run.
type ProcessEvidence string

// The evidence: the target itself says when its process started, or only its entry tells.
const (
	ProcessByStatus ProcessEvidence = "status"
	ProcessByEntry  ProcessEvidence = "entry"
)

// beginRun records that the target of the current send sends its first events, of which first is the id of the first
// one that has an id.
func (x *inflight) beginRun(first string) {
	if x.lastEventID == "" {
		x.result.Runs = 0
	} else {
		x.correctVersion()
		x.join(first)
	}
	x.recordVersion()
	x.result.Runs++
	x.result.RunTarget = x.target
}

// join logs and counts that the target of the current send goes on with a stream.
func (x *inflight) join(first string) {
	j := Join{
		Stream: x.FirstID(), ID: x.ID, After: x.lastEventID, First: first, From: x.result.RunTarget, To: x.target,
		Begun: x.begun, Evidence: JoinEvidence(x.result.VersionEvidence), Process: cmp.Or(x.processBy, ProcessByEntry),
	}
	switch {
	case x.result.Runs > 0:
		j.Evidence = JoinedInAnswer
	case !x.begun.IsSet():
		j.Evidence = JoinedUnknown
	}
	x.counters.CountJoin(j)
	log := x.log
	if x.result.Runs > 0 {
		log = log.WithValues("from", j.From.Incarnation(), "from_version", j.From.Version)
	}
	log.Info("stream goes on", "id", j.ID, "stream", j.Stream, "after", j.After, "first", j.First,
		"to", j.To.Incarnation(), "to_version", j.To.Version, "to_service", j.To.Service, "evidence", string(j.Evidence), "process_by", string(j.Process))
}
