// Package request defines a caller's request over its lifetime: its id, its outcome, the
// reasons for refusing or retrying it, and the records in which a caller can look it up
// later.
package request

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrBadID means that a text is not a valid request id.
var ErrBadID = errors.New("not a request id")

// Outcome says whether a request ran. Every answer carries one.
type Outcome string

// The outcomes.
const (
	// Completed means that the target ran the request to its end.
	Completed Outcome = "completed"
	// NotRun means that no target ran any of it.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have run all or part of it.
	Unknown Outcome = "unknown"
	// InProgress is the outcome of a request that is looked up before it has ended.
	InProgress Outcome = "in-progress"
)

// Reason is a stable identifier of why a request was refused or retried.
type Reason string

// Reasons for refusing a request.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonBodyTooLarge     Reason = "body-too-large"
	ReasonUnknownKey       Reason = "unknown-key"
	ReasonUnknownModel     Reason = "unknown-model"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnknownPath      Reason = "unknown-path"
	ReasonUnknownRequest   Reason = "unknown-request"
	ReasonDuplicateRequest Reason = "duplicate-request"
	ReasonQueueFull        Reason = "queue-full"
	ReasonProcessFull      Reason = "process-full"
	ReasonRateLimit        Reason = "rate-limit"
	ReasonDeadline         Reason = "deadline"
	ReasonCancelled        Reason = "cancelled"
	ReasonCallerGone       Reason = "caller-gone"
	ReasonRouterLeaving    Reason = "router-leaving"
	ReasonNotReady         Reason = "not-ready"
	ReasonTargetFailed     Reason = "target-failed"
	ReasonTargetRefused    Reason = "target-refused"
	ReasonRetryBudget      Reason = "retry-budget"
	ReasonOtherRouter      Reason = "other-router"
	ReasonIncarnationGone  Reason = "incarnation-gone"
)

// Reasons for retrying a request.
const (
	RetryUnreachable Reason = "retry-unreachable"
	RetryRefused     Reason = "retry-refused"
	RetryBroken      Reason = "retry-broken"
	RetryResume      Reason = "retry-resume"
)

// refusalAnswer is the HTTP answer to a request that is refused for some reason.
type refusalAnswer struct {
	status int
	// retryAfterSeconds is the Retry-After header; 0 means that a retry will not help.
	retryAfterSeconds int
}

var refusalAnswers = map[Reason]refusalAnswer{
	ReasonBadRequest:       {status: http.StatusBadRequest},
	ReasonBodyTooLarge:     {status: http.StatusRequestEntityTooLarge},
	ReasonUnknownKey:       {status: http.StatusUnauthorized},
	ReasonUnknownModel:     {status: http.StatusNotFound},
	ReasonUnknownService:   {status: http.StatusNotFound},
	ReasonUnknownPath:      {status: http.StatusNotFound},
	ReasonUnknownRequest:   {status: http.StatusNotFound},
	ReasonDuplicateRequest: {status: http.StatusConflict},
	ReasonQueueFull:        {status: http.StatusTooManyRequests, retryAfterSeconds: 2},
	ReasonProcessFull:      {status: http.StatusServiceUnavailable, retryAfterSeconds: 2},
	ReasonRateLimit:        {status: http.StatusTooManyRequests, retryAfterSeconds: 1},
	ReasonDeadline:         {status: http.StatusGatewayTimeout},
	ReasonCancelled:        {status: statusClientClosed},
	ReasonCallerGone:       {status: statusClientClosed},
	ReasonRouterLeaving:    {status: http.StatusServiceUnavailable, retryAfterSeconds: 1},
	ReasonNotReady:         {status: http.StatusServiceUnavailable, retryAfterSeconds: 1},
	ReasonTargetFailed:     {status: http.StatusBadGateway},
	ReasonTargetRefused:    {status: http.StatusServiceUnavailable, retryAfterSeconds: 1},
	ReasonRetryBudget:      {status: http.StatusServiceUnavailable, retryAfterSeconds: 2},
	ReasonOtherRouter:      {status: http.StatusTemporaryRedirect},
	ReasonIncarnationGone:  {status: http.StatusGone},
}

// statusClientClosed is the status that proxies log for a client that has disconnected.
const statusClientClosed = 499

// Status returns the HTTP status of a refusal.
func (r Reason) Status() int { return refusalAnswers[r].status }

// RetryAfterSeconds returns the number of seconds after which to retry, or 0 if a retry will
// not help.
func (r Reason) RetryAfterSeconds() int { return refusalAnswers[r].retryAfterSeconds }

// Reasons returns all reasons for refusing and for retrying, in the order in which the
// documentation lists them.
func Reasons() []Reason {
	return []Reason{
		ReasonBadRequest, ReasonBodyTooLarge, ReasonUnknownKey, ReasonUnknownModel,
		ReasonUnknownService, ReasonUnknownPath, ReasonUnknownRequest, ReasonDuplicateRequest,
		ReasonQueueFull, ReasonProcessFull, ReasonRateLimit, ReasonDeadline,
		ReasonCancelled, ReasonCallerGone, ReasonRouterLeaving, ReasonNotReady,
		ReasonTargetFailed, ReasonTargetRefused, ReasonRetryBudget,
		ReasonOtherRouter, ReasonIncarnationGone,
		RetryUnreachable, RetryRefused, RetryBroken, RetryResume,
	}
}

// ID identifies a request within the fleet: by the router that accepted it, that router's
// incarnation (which changes each time it starts) and a number.
type ID struct {
	Router      string
	Incarnation uint64
	Number      uint64
}

// String returns the form used in headers: router.incarnation.number, with both numbers in
// hexadecimal.
func (id ID) String() string {
	return fmt.Sprintf("%s.%x.%x", id.Router, id.Incarnation, id.Number)
}

// ParseID parses the form that String returns. Its errors wrap ErrBadID.
func ParseID(text string) (ID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] == "" {
		return ID{}, errors.Wrapf(ErrBadID, "%q", text)
	}
	incarnation, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return ID{}, errors.Wrapf(ErrBadID, "%q", text)
	}
	number, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return ID{}, errors.Wrapf(ErrBadID, "%q", text)
	}
	return ID{Router: parts[0], Incarnation: incarnation, Number: number}, nil
}

// Ticket is a request that waits for or occupies an engine's slot. It is shared by the
// request's goroutine and the control thread, which assigns the slots. What the methods
// return does not change.
type Ticket struct {
	id           ID
	organisation string
	pool         string
	priority     int
	deadline     time.Time
	arrived      time.Time
	hint         float64

	// ServedCost is the cost served so far, in cost units; the request's goroutine adds to it.
	ServedCost atomic.Int64
	// Decision carries the control thread's decisions to the request's goroutine, one at a time.
	Decision chan Decision
}

// Decision is what the control thread decides about a waiting request: the engine whose slot
// it gets, or the reason why it is refused.
type Decision struct {
	Engine  string
	Address string
	// Refused is empty if a slot was assigned.
	Refused Reason
	// RetryAfterSeconds overrides the one of the reason if it is not 0.
	RetryAfterSeconds int
}

// RunEnd describes how a request's run on an engine ended.
type RunEnd struct {
	// Cost is the cost known to have been served, in cost units.
	Cost float64
	// Partial is set if the run was cut short, so that more than Cost may have been served.
	Partial bool
	// Failed is set if the engine did not answer properly.
	Failed bool
}

// TicketSpec holds the parameters of a new ticket.
type TicketSpec struct {
	ID           ID
	Organisation string
	Pool         string
	Priority     int
	Deadline     time.Time
	Arrived      time.Time
	// CostHint is the caller's estimate of the cost; 0 if none.
	CostHint float64
}

// NewTicket returns a ticket for a request.
func NewTicket(s TicketSpec) *Ticket {
	return &Ticket{
		id:           s.ID,
		organisation: s.Organisation,
		pool:         s.Pool,
		priority:     s.Priority,
		deadline:     s.Deadline,
		arrived:      s.Arrived,
		hint:         s.CostHint,
		Decision:     make(chan Decision, 1),
	}
}

// ID returns the request's id.
func (t *Ticket) ID() ID { return t.id }

// Organisation returns the organisation that sent the request.
func (t *Ticket) Organisation() string { return t.organisation }

// Pool returns the pool of engines that can run it.
func (t *Ticket) Pool() string { return t.pool }

// Priority returns the caller's priority within its organisation, 0 to 9.
func (t *Ticket) Priority() int { return t.priority }

// Deadline returns when the caller stops waiting for the answer.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// Arrived returns when the router accepted the request.
func (t *Ticket) Arrived() time.Time { return t.arrived }

// CostHint returns the caller's estimate of the cost, or 0 if it gave none.
func (t *Ticket) CostHint() float64 { return t.hint }
