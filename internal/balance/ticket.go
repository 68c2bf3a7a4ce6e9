package balance

import (
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/pace"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/throttle"
	"github.com/stepcroft/stepcroft/internal/view"
)

// Ticket is a request as far as balancing goes. What the caller said does not
// change; the unexported fields belong to the State.
type Ticket struct {
	ID           string
	Service      string
	Organisation string
	// Engine is set for requests to model engines, Stream if the answer comes
	// in events.
	Engine, Stream bool
	// Parts is the prompt in order; the last one is the request's or its
	// session's own.
	Parts []prefix.Part
	// Input is the number of prompt tokens, Output the expected number of
	// tokens of the answer.
	Input, Output int
	Goal          time.Duration
	Arrived       time.Time
	Deadline      time.Time
	// Tried names the incarnations of targets that the request was sent to before.
	Tried []string
	// Resumes is set when the rest of an answer is sought of which the caller
	// has a part: it then waits as long as it can and passes all others.
	Resumes bool
	// Heard is when the target last sent a part of the answer, in nanoseconds
	// after Arrived; the request's own goroutine sets it.
	Heard atomic.Int64
	// Pieces is the number of pieces in which the answer was passed on; the request's
	// own goroutine sets it.
	Pieces atomic.Int64
	// Decision receives one decision for each call of Arrive, and of Again
	// that returned true. It has room for one.
	Decision chan Decision

	// lost is called where the process that has the request started again.
	lost  atomic.Pointer[func()]
	at    *target
	load  view.Load
	work  pace.Work
	begun bool
	// free is set if the target of a plain service had a free slot when it was sent.
	free    bool
	sent    time.Time
	expires time.Time
}

// Decision says where a request is to be sent, or that it is refused.
type Decision struct {
	Target Target
	// Refused is empty where there is a target.
	Refused Reason
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Waited is the time from arrival to the decision.
	Waited time.Duration
	// Unread is the target's unread prompt tokens that decided, this
	// request's included.
	Unread int
	// Miss is the number of the prompt's tokens that the target is expected to
	// read, the rest being kept there or fetched.
	Miss int
	// Source is an engine that keeps more of the prompt than the target, from
	// which it can fetch some Fetched tokens; without an id if there is none.
	Source  Target
	Fetched int
	// Lapsed is for how long the target's entry had been gone; 0 if it is listed.
	Lapsed time.Duration
}

// Reason is why a request is refused.
type Reason string

// Reasons for refusing a request.
const (
	// Full means that all targets have as much as they may.
	Full Reason = "queue-full"
	// OverShare means that the organisation had more than its share while another's
	// requests wait.
	OverShare Reason = "over-share"
	// NoTarget means that the service has no target.
	NoTarget Reason = "no-target"
	// Drained means that the service has targets in drained availability zones only.
	Drained Reason = "zones-drained"
	// Resting means that all targets that could take the request asked for a rest.
	Resting Reason = "targets-resting"
	// Crowded and Busy are for requests that are refused unread.
	Crowded = Reason(throttle.QueueFull)
	Busy    = Reason(throttle.RouterBusy)
)

// Result is how an exchange with a target ended.
type Result int

// The results.
const (
	// Answered means that the target answered as it should.
	Answered Result = iota
	// Refused means that the target said it did not run the request.
	Refused
	// Unreachable means that no connection came about.
	Unreachable
	// Failed means that the target failed, broke off or fell silent.
	Failed
	// Left means that the caller went away or time ran out; it says nothing
	// about the target.
	Left
)

// tokens returns the cost of a request, a token made counted twice.
func (t *Ticket) tokens() float64 {
	if !t.Engine {
		return 0
	}
	return t.offer().Tokens()
}

func (t *Ticket) offer() throttle.RequestSize {
	return throttle.RequestSize{Input: t.Input, Output: t.Output}
}

// private returns the tokens in an engine's memory that the request shares
// with no other.
func (t *Ticket) private() int {
	if !t.Engine {
		return 0
	}
	own := t.Input
	for i, p := range t.Parts {
		if i < len(t.Parts)-1 {
			own -= p.Tokens
		}
	}
	return max(own, 0) + t.Output
}

// affinity returns the name of the prompt's longest part that other prompts
// share.
func (t *Ticket) affinity() string {
	switch n := len(t.Parts); n {
	case 0:
		return ""
	case 1:
		return t.Parts[0].ID
	default:
		return t.Parts[n-2].ID
	}
}

func (t *Ticket) patience() time.Duration {
	if t.Resumes {
		return resumeWait
	}
	return t.Goal / waitShare
}
