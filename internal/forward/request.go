package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// HeaderNames holds the names of the headers that a deployment uses.
type HeaderNames struct {
	// RequestID carries the request's id, in requests and answers.
	RequestID string
	// Deadline carries the number of milliseconds for which the caller waits for the answer.
	Deadline string
	// Organisation tells the target which organisation sent the request.
	Organisation string
	// ExpectTarget carries the id of the target that the request is meant for.
	ExpectTarget string
	// ServedBy is set to the id of the target that answers, in answers about its health and maybe in others.
	ServedBy string
	// NotRun is set in answers to requests that the target did not run.
	NotRun string
	// Seal is set in all successful answers of targets; empty if the deployment has no such header.
	Seal string
	// Leaving is true in the answers of a target that is leaving.
	Leaving string
	// FetchFrom carries the address of an engine from which the target can fetch the
	// parts of the prompt that it has not cached; empty if the deployment has no such header.
	FetchFrom string
	// LastEventID carries the id of the event after which a stream is to resume, Resumes the id of
	// the request that brought the stream's first event.
	LastEventID, Resumes string
	// PromptSize carries "INPUT TOKENS,MAXIMUM OUTPUT TOKENS", PromptParts the parts of
	// the prompt in order as "ID:TOKENS" separated by commas, and OutputHint the expected
	// number of output tokens.
	PromptSize, PromptParts, OutputHint string
	// Reserved lists, in canonical form, the request headers that only routers may set.
	// They are dropped from a caller's request.
	Reserved []string
}

// Request is a caller's request, parsed and matched to a route.
type Request struct {
	ID     string
	Method string
	// URI is the path and query exactly as the caller sent them.
	URI   string
	Host  string
	Route *routing.Route
	// ConfigVersion is the version of the configuration by which the request is routed, ConfigAge
	// how long before its arrival the store was last known to hold no newer one.
	ConfigVersion int64
	ConfigAge     time.Duration
	Service       string
	Organisation  string
	// Regions are those that the configuration allows for the request.
	Regions routing.Regions
	// Header has the headers to forward, without those that the router sets itself.
	Header  http.Header
	Body    memory.Buffer
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ToEngine is set if the service's targets are model engines.
	ToEngine bool
	// HealthPath is where the service's targets say whether they are well, empty if that is not known.
	HealthPath string
	Parts      []prefix.Part
	// Input is the number of prompt tokens, Output the maximum number of output tokens.
	Input, Output int
	// LastEventID is the id of the last event that the caller has received; empty if none. Resumes
	// is the id of the request that brought the first one.
	LastEventID, Resumes string
	// CallerGone reports whether the caller has disconnected, checked on its connection
	// because on a busy box the request's context ends late. It is nil if that cannot be
	// checked.
	CallerGone func() bool
}

// FirstID returns the id of the request that began the stream which the caller takes up, or the request's own.
func (r Request) FirstID() string {
	if r.LastEventID != "" && r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// Path returns the path by which the route is chosen.
func (r Request) Path() string {
	path, _, _ := strings.Cut(r.URI, "?")
	return path
}

// Expires returns when the request is abandoned: at its caller's deadline or its route's
// timeout, whichever is first.
func (r Request) Expires() time.Time {
	if d := r.Arrived.Add(r.Route.Timeout); r.Route.Timeout > 0 && d.Before(r.Deadline) {
		return d
	}
	return r.Deadline
}

// Caller receives the answer to a request.
type Caller interface {
	// Head sends the status and headers; length is that of the body, -1 if unknown.
	Head(status int, header http.Header, length int64)
	// Write sends a piece of the body without buffering it.
	Write(b []byte) error
	// Unacknowledged returns the number of bytes written that the caller's host has not confirmed
	// to have received, 0 if unknown. It may be called during a Write.
	Unacknowledged() int
	// StopWriting makes a Write that blocks fail, and all later ones.
	StopWriting()
}

// Sender sends requests to targets and receives their answers.
type Sender interface {
	Send(ctx context.Context, address string, r httptarget.Request) (*httptarget.Answer, error)
	// ProcessExited reports whether the process of a target has exited, or closed its listener, and since when at the
	// latest.
	ProcessExited(ctx context.Context, address, instance string) (refusedAt time.Time, exited bool)
	// CheckUnused reports whether an unused connection to a target is open, or else whether there were some
	// and all of them have ended before their time.
	CheckUnused(address, instance string) (open, ended bool)
}

// Result is how a request ended, with what is needed to answer its caller and to log it.
type Result struct {
	// Status is the status that was sent, or that is to be sent if HeadSent is false.
	Status int
	// HeadSent is set if the answer's head has been sent to the caller.
	HeadSent bool
	// Truncated is set if the answer broke off and must not look complete to the caller.
	Truncated bool
	// Reason says why the request was refused or failed; empty if a target's answer was
	// forwarded.
	Reason Reason
	// RetryAfter is the delay after which the caller should retry; 0 if unknown.
	RetryAfter time.Duration
	// Sends is the number of times that the request was sent to a target.
	Sends int
	// QueueTime is the time from arrival to the choice of a target. TimeToFirstByte is the
	// time from arrival to the first part of the answer's body; 0 if none came.
	QueueTime, TimeToFirstByte time.Duration
	// LongestPause is the longest time between two pieces of the answer's body from the target.
	LongestPause time.Duration
	// Speed is the time factor of the last target when it was chosen, 1 if unknown.
	Speed float64
	// ExchangeEnd is why the last exchange with a target ended without a complete answer, and NotRetried why the
	// request was not sent again then; both are empty for others.
	ExchangeEnd Reason
	NotRetried  NotRetried
	// Framing is what marked the end of the answer, and CompleteBy what showed that it was complete; both are empty if
	// no whole answer was forwarded.
	Framing    httptarget.Framing
	CompleteBy httptarget.Evidence
	// TargetID is the id of the last target that was chosen, TargetVersion the version of its
	// software.
	TargetID, TargetVersion string
	// VersionEvidence is how the version is known that began the stream which the caller takes up; empty if
	// it takes none up or the version is unknown.
	VersionEvidence streamversion.Evidence
	// Runs is the number of runs of a stream that the answer consists of, Events that of their events, and LastEventID
	// the id of the last one that has one. RunTarget is the target of the last run, with the
	// version that this router takes the run to be of, empty if that is not known.
	Runs, Events int
	LastEventID  string
	RunTarget    balance.Target
	// SkippedIDs is the number of ids that the stream's events left out.
	SkippedIDs int64
	// PendingTokens is the number of prompt tokens that the target still had to process when
	// it was chosen (its prefill backlog), including this request's. UncachedTokens is the
	// number of this request's among them: those neither cached there nor fetched.
	PendingTokens, UncachedTokens int
	// FetchableTokens is the number of this request's prompt tokens that the target could
	// fetch from another engine's cache.
	FetchableTokens int
	// LapsedFor is how long ago the target's entry had lapsed, that is, its TTL ran out while
	// the store was unavailable; 0 if it was listed.
	LapsedFor time.Duration
	// ContentDigest identifies the content or the part of the prompt for which the request was refused
	// because it is quarantined, else it is empty. HeldPart is the id of the part.
	ContentDigest, HeldPart string
}

// Reason is why a request was refused, failed or was retried.
type Reason string

// The reasons.
const (
	// ReasonQueueFull means that the queue was full, or that no target had room in time.
	ReasonQueueFull Reason = Reason(balance.Full)
	// ReasonTargetsBackingOff means that all targets that could take the request are
	// backing off.
	ReasonTargetsBackingOff Reason = Reason(balance.BackingOff)
	// ReasonNoTarget means that no target of the service takes requests.
	ReasonNoTarget Reason = Reason(balance.NoTarget)
	// ReasonOrganisationQueueFull means that too many requests of the organisation wait,
	// and ReasonRouterBusy that the router is short of processor time. The request was rejected
	// before parsing.
	ReasonOrganisationQueueFull Reason = Reason(balance.OrganisationQueueFull)
	ReasonRouterBusy            Reason = Reason(balance.RouterBusy)
	// ReasonNoTargetOfVersion means that no target of the version that began the stream takes
	// requests, and ReasonUnknownVersion that nobody knows which version that is.
	ReasonNoTargetOfVersion Reason = Reason(balance.NoTargetOfVersion)
	ReasonUnknownVersion    Reason = "unknown-version"
	// ReasonDeadline means that the request's deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonCallerGone means that the caller disconnected.
	ReasonCallerGone Reason = "caller-gone"
	// ReasonCallerStalled means that the caller did not take the rest of a buffered answer.
	ReasonCallerStalled Reason = "caller-stalled"
	// ReasonRefused means that a target answered that it did not run the request.
	ReasonRefused Reason = "target-refused"
	// ReasonUnreachable means that no connection to a target could be made.
	ReasonUnreachable Reason = "target-unreachable"
	// ReasonBroken means that a target's answer broke off, never came or is not HTTP.
	ReasonBroken Reason = "target-broken"
	// ReasonInvalid means that a target sent an HTTP message that is not the answer to the request.
	ReasonInvalid Reason = "target-invalid"
	// ReasonFailed means that a target answered with an error status.
	ReasonFailed Reason = "target-failed"
	// ReasonSilent means that a target sent nothing for too long.
	ReasonSilent Reason = "target-silent"
	// ReasonRestarted means that a target's process exited and was started again.
	ReasonRestarted Reason = "target-restarted"
	// ReasonQuarantined means that target processes have crashed while running the same request.
	ReasonQuarantined Reason = "quarantined"
)

// NotRetried is why a request was not sent again after an exchange with a target had failed. A request for
// which no other target was found has the reason of its refusal instead.
type NotRetried string

// The reasons against a retry.
const (
	// NotRetriedAttempts means that the route allows no further attempt, NotRetriedTime that the deadline was
	// too close.
	NotRetriedAttempts NotRetried = "attempts"
	NotRetriedTime     NotRetried = "time"
	// NotRetriedKind means that the request may have run and must not be repeated, or that the caller has a part
	// of an answer that no other target can resume.
	NotRetriedKind NotRetried = "kind"
	// NotRetriedBudget means that the retry budget was spent.
	NotRetriedBudget NotRetried = "budget"
	// NotRetriedSuspect means that targets have exited while running the request.
	NotRetriedSuspect NotRetried = "suspect"
)
