package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// Dialect holds the names of the headers that the deployment uses.
type Dialect struct {
	// RequestID names a request, in requests and answers.
	RequestID string
	// Deadline is the number of milliseconds for which an answer is waited.
	Deadline string
	// Organisation tells a target whose request it is.
	Organisation string
	// ExpectTarget names the target that the request is meant for.
	ExpectTarget string
	// NotRun stands in answers to requests that the target did not run.
	NotRun string
	// Leaving stands in the answers of a target that leaves, as a boolean.
	Leaving string
	// FetchFrom names the address of an engine from which the target fetches
	// what it lacks of the prompt's parts.
	FetchFrom string
	// LastEvent asks for a stream from after an event on.
	LastEvent string
	// PromptSize is "TOKENS IN,MOST TOKENS OUT" and PromptParts "ID:TOKENS" by
	// commas, in the prompt's order; OutputHint guesses the tokens out.
	PromptSize, PromptParts, OutputHint string
	// Reserved lists, in canonical form, the request headers that only routers
	// may set. What a caller says in them is ignored.
	Reserved []string
}

// Request is what a caller asks for.
type Request struct {
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target       string
	Host         string
	Route        *routing.Route
	Service      string
	Organisation string
	// Header has what is passed on, without what the router sets itself.
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Engine is set where the service's targets are model engines.
	Engine bool
	Parts  []prefix.Part
	// Input and Output are the prompt's tokens and the most tokens out.
	Input, Output int
	// LastEvent is the id of the last event that the caller has; empty if
	// none.
	LastEvent string
	// Gone reports whether the caller has left, which the request's context tells
	// late on a busy box; nil where nobody can tell.
	Gone func() bool
}

// Expires returns when the request is given up: when its caller stops waiting,
// or at its route's timeout.
func (r Request) Expires() time.Time {
	if d := r.Arrived.Add(r.Route.Timeout); r.Route.Timeout > 0 && d.Before(r.Deadline) {
		return d
	}
	return r.Deadline
}

// Caller is where an answer goes.
type Caller interface {
	// Head begins the answer; length is -1 if it is not known.
	Head(status int, header http.Header, length int64)
	// Write sends a piece of the body at once.
	Write(b []byte) error
}

// Sender exchanges requests and answers with targets.
type Sender interface {
	Send(ctx context.Context, address string, r httptarget.Request) (*httptarget.Answer, error)
	// Ended reports whether the process of a target has ended.
	Ended(ctx context.Context, address, instance string) bool
}

// Verdict is how a request ended, as its caller must be told.
type Verdict struct {
	// Status is the status sent, or to be sent if Begun is false.
	Status int
	// Begun is set if the answer's head was handed to the caller.
	Begun bool
	// Cut is set if the answer broke off and must not look complete.
	Cut bool
	// Reason says why the request was refused or failed; empty if a target's
	// answer was passed on.
	Reason Reason
	// RetryAfter is when the caller should come back; 0 if that is not known.
	RetryAfter time.Duration
	// Sends is the number of targets that the request was sent to.
	Sends int
	// Waited is the time spent waiting for room, First the time to the first
	// byte of the answer's body; 0 if none came.
	Waited, First time.Duration
	// Target is the id of the last target that was chosen.
	Target string
	// Unread is that target's unread prompt tokens when it was chosen, Miss
	// those of this request.
	Unread, Miss int
	// Fetched is the number of tokens that the target could fetch from another
	// engine.
	Fetched int
	// Lapsed is for how long that target's entry had been gone; 0 if it was
	// listed.
	Lapsed time.Duration
	// Content is a digest of what was asked where the request is held back for what it
	// asks.
	Content string
}

// Reason is why a request was refused, failed or was sent again.
type Reason string

// The reasons.
const (
	ReasonFull     Reason = Reason(balance.Full)
	ReasonResting  Reason = Reason(balance.Resting)
	ReasonNoTarget Reason = Reason(balance.NoTarget)
	// ReasonCrowded and ReasonBusy are those for which a request is refused unread.
	ReasonCrowded Reason = Reason(balance.Crowded)
	ReasonBusy    Reason = Reason(balance.Busy)
	// ReasonDeadline means that time ran out.
	ReasonDeadline Reason = "deadline"
	// ReasonGone means that the caller went away.
	ReasonGone Reason = "caller-gone"
	// ReasonRefused means that a target said it did not run the request.
	ReasonRefused Reason = "target-refused"
	// ReasonUnreachable means that no connection to a target came about.
	ReasonUnreachable Reason = "target-unreachable"
	// ReasonBroken means that a target's answer broke off or never came.
	ReasonBroken Reason = "target-broken"
	// ReasonFailed means that a target answered with a failure of its own.
	ReasonFailed Reason = "target-failed"
	// ReasonSilent means that a target showed no sign for too long.
	ReasonSilent Reason = "target-silent"
	// ReasonRestarted means that a target's process ended and started again.
	ReasonRestarted Reason = "target-restarted"
	// ReasonQuarantined means that targets ended under the same request before.
	ReasonQuarantined Reason = "quarantined"
)
