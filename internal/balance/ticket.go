package balance

import (
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/pace"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/throttle"
	"github.com/stepcroft/stepcroft/internal/view"
	"github.com/stepcroft/stepcroft/internal/waiting"
)

// Ticket is a request as far as balancing is concerned. The exported fields describe the
// request and do not change, except as noted; the unexported ones belong to the State.
type Ticket struct {
	ID           string
	Service      string
	Organisation string
	// Host and Path are what the request's route was chosen by.
	Host, Path string
	// Engine is set for requests to model engines, Stream if the answer is streamed as events.
	Engine, Stream bool
	// Parts are the parts of the prompt in order. The last one belongs to this request or its
	// session only, the others are shared prefixes.
	Parts []prefix.Part
	// Input is the number of prompt tokens, Output the expected number of tokens of the
	// answer.
	Input, Output int
	Goal          time.Duration
	Arrived       time.Time
	Deadline      time.Time
	// Tried has the incarnations of the targets that the request was sent to before.
	Tried []string
	// Again has those of them to which a connection could not be made once, for some reason other than that
	// the process has ended. The request may be sent there again if there is no other target.
	Again []string
	// Resumes is set if the caller already has a part of the answer and the rest is requested.
	// Such a request waits up to maxResumeWait and overtakes all others.
	Resumes bool
	// StreamID is the id of the request that began the stream if the caller may ask for its rest
	// later, else empty.
	StreamID string
	// Version restricts the request to targets of the version that began the stream. The State
	// sets it when a stream begins.
	Version VersionLimit
	// Regions are those that the configuration by which the request was admitted allows. The State replaces them
	// as newer ones come into force, except for what these do not have any more.
	Regions routing.Regions
	// Continues is set if the caller asks for the rest of a stream that it got a part of with an earlier
	// request. Output is then the expected length of the whole answer, and that of the rest is unknown.
	Continues bool
	// LastReceived is when the target last sent a part of the answer, in nanoseconds after
	// Arrived. The request's own goroutine sets it.
	LastReceived atomic.Int64
	// ConnectedAt is when the connection was made that the answer arrives on, in nanoseconds after Arrived; 0 if
	// that is not known. The request's own goroutine sets it, and the State resets it for each send.
	ConnectedAt atomic.Int64
	// Sent is when the request was last written to a target, in nanoseconds after Arrived. The request's own goroutine
	// sets it.
	Sent atomic.Int64
	// Pieces is the number of pieces in which the answer was forwarded. The request's own
	// goroutine sets it.
	Pieces atomic.Int64
	// Events is the number of events forwarded, and FirstEvent when the first one of the current
	// send arrived, in nanoseconds after Arrived; 0 if none did. The request's own goroutine sets
	// them.
	Events, FirstEvent atomic.Int64
	// Writing is the time spent writing events to the caller, in nanoseconds, or waiting for room to
	// buffer them. The request's own goroutine sets it.
	Writing atomic.Int64
	// ServerError is set if the target answered with a server error. The request's own goroutine
	// sets it.
	ServerError atomic.Bool
	// Decision receives one decision for each call of Arrive or Requeue, and for each call of
	// Retry that returned true. Its capacity must be one.
	Decision chan Decision

	// lost is called if the process that runs the request turns out to have restarted.
	lost    atomic.Pointer[func()]
	target  *target
	load    view.Load
	work    pace.Work
	started bool
	// beganAt is the target that sent the stream's first event, and corrected the version at which it began, unless that
	// is the one of the target's entry.
	beganAt *target
	// beginningTaken is set once takeBeginning has returned true.
	beginningTaken bool
	corrected      atomic.Pointer[VersionLimit]
	// regionsBy is the newest configuration that Regions takes into account.
	regionsBy *routing.Table
	// held is set once the request was kept from a version that is not stored.
	held bool
	// elsewhere is the last result of State.mayBeginElsewhere, as of elsewhereAt.
	elsewhere   bool
	elsewhereAt time.Time
	// slow is set if the answer started much later than expected.
	slow bool
	// foundFreeSlot is set if the target of a plain service had a free slot when the request
	// was sent.
	foundFreeSlot bool
	sentAt        time.Time
	expires       time.Time
	// class is that of a request whose wait is recorded for forecasts; its Service is empty for
	// others.
	class waiting.Class
	// again is set for a request that is retried or requeued, isSecond for one that AskSecond accepted.
	again, isSecond bool
	// exempt is set if the request waits although its class is hopeless.
	exempt bool
	// due and late order the waiting requests of an organisation, see State.setOrder.
	due    time.Time
	late   bool
	pauses ticketPauses
}

// Decision says which target a request is to be sent to, or that it is refused.
type Decision struct {
	Target Target
	// InDoubt is set if another process than the entry describes may listen at the target's address.
	InDoubt bool
	// Unheard is set for a second send to a target that has sent this router nothing lately, and so may be silent
	// as well as the first one.
	Unheard bool
	// Refused is the reason for a refusal; empty if there is a target.
	Refused Reason
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration
	// Waited is the time from arrival to the decision.
	Waited time.Duration
	// PendingTokens is the target's prefill backlog in prompt tokens, including this
	// request's.
	PendingTokens int
	// UncachedTokens is the number of prompt tokens that the target is expected to read. The
	// rest is cached there or fetched.
	UncachedTokens int
	// Source is an engine that caches more of the prompt than the target, and from which the
	// target can fetch FetchedTokens; its ID is empty if there is none.
	Source        Target
	FetchedTokens int
	// Speed is the engine's time factor: above 1 it is slower than its service's engines are on
	// average.
	Speed float64
	// LapsedFor is how long ago the target's entry lapsed; 0 if the target is listed.
	LapsedFor time.Duration
}

// Reason is why a request is refused.
type Reason string

// Reasons for refusing a request.
const (
	// Full means that no target has room.
	Full Reason = "queue-full"
	// OverShare means that the organisation was served more than its share while requests of
	// others wait.
	OverShare Reason = "over-share"
	// NoTarget means that no target of the service takes requests.
	NoTarget Reason = "no-target"
	// NoAllowedTarget means that some targets of the service take requests, but the request may not
	// be sent to any of them: they are in other regions, or of a version that was rolled back.
	NoAllowedTarget Reason = "no-allowed-target"
	// NoTargetOfVersion means that some targets of the service take requests, but none of the version
	// that began the stream.
	NoTargetOfVersion Reason = "no-target-of-version"
	// Drained means that no target of the service takes requests and some of them are in
	// drained availability zones.
	Drained Reason = "zones-drained"
	// BackingOff means that all targets that could take the request are backing off.
	BackingOff Reason = "targets-resting"
	// BudgetSpent means that the retry budget does not allow a second send.
	BudgetSpent Reason = "budget"
	// OrganisationQueueFull and RouterBusy are reasons for shedding a request before it is
	// parsed.
	OrganisationQueueFull = Reason(throttle.QueueFull)
	RouterBusy            = Reason(throttle.RouterBusy)
)

// Result is how an exchange with a target ended.
type Result int

// The results.
const (
	// Answered means that the target answered as expected.
	Answered Result = iota
	// Refused means that the target reported not to have run the request.
	Refused
	// Unreachable means that no connection could be made.
	Unreachable
	// Failed means that the target failed, broke off its answer or fell silent.
	Failed
	// Abandoned means that the caller went away or the deadline passed. It says nothing about
	// the target's health.
	Abandoned
)

// tokens returns the cost of a request, in which a generated token counts twice.
func (t *Ticket) tokens() float64 {
	if !t.Engine {
		return 0
	}
	return t.size().Tokens()
}

func (t *Ticket) size() throttle.RequestSize {
	return throttle.RequestSize{Input: t.Input, Output: t.Output}
}

// unsharedTokens returns the number of tokens in an engine's memory that the request shares
// with no other, its answer included.
func (t *Ticket) unsharedTokens() int {
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

// affinity returns the id of the longest prompt prefix that other prompts share. Requests with
// the same affinity have the same home.
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

// takeBeginning reports, once, whether t's answer began its stream.
func (t *Ticket) takeBeginning() bool {
	begins := t.beganAt != nil && !t.Continues && !t.beginningTaken
	t.beginningTaken = t.beginningTaken || begins
	return begins
}

// setVersion sets the version that began the stream at beganAt.
func (t *Ticket) setVersion(version string) {
	t.Version = OnlyVersion(version)
	if corrected := t.Version; version != t.beganAt.Version || t.corrected.Load() != nil {
		t.corrected.Store(&corrected)
	}
}

// CorrectedVersion returns the version that began the stream, not set unless it was at times thought to be another one
// than that of its target's entry. Any goroutine may call it.
func (t *Ticket) CorrectedVersion() VersionLimit {
	if v := t.corrected.Load(); v != nil {
		return *v
	}
	return VersionLimit{}
}
