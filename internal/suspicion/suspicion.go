// Package suspicion decides for one request whether it may be sent although targets have exited while they ran the same,
// and reports what becomes of it to those who keep account of that.
package suspicion

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// Suspects tracks the requests suspected of crashing targets: those that a target was
// running when its process exited.
type Suspects interface {
	// View returns the requests suspected now, or nil if there are none.
	View() *quarantine.View
	// RecordBreak records that a target broke off its answer to a request. It returns the
	// number of targets that have exited while running the same content.
	RecordBreak(ctx context.Context, b Break) int
	// StartTrial reports whether a request with quarantined attributes may be sent on trial. The
	// trial ends with an EndTrial for each, which says whether the answer broke off, and at the latest
	// at until.
	StartTrial(ctx context.Context, until time.Time, keys []quarantine.Key) bool
	EndTrial(k quarantine.Key, broke bool)
	// RecordExit records that the process of a target has exited, or closed its listener if it refused a connection
	// that was attempted at refusedAt, the zero time if it did not.
	RecordExit(t balance.Target, refusedAt time.Time)
	// RecordEnd records that a request with these attributes has ended well.
	RecordEnd(attributes []quarantine.Credit)
	// RecordSuccess records that a target has run a request to its end that was sent at a time and has
	// a suspected attribute.
	RecordSuccess(k quarantine.Key, sent time.Time)
	// RecordSeen records that a request with a quarantined attribute has been received again.
	RecordSeen(k quarantine.Key)
	// EarlierServices returns the services but one that requests with a host, a path and an id went to before their
	// route moved.
	EarlierServices(host, path, id, but string) []string
	// Inherit records that what is known of an attribute counts for another one of which nothing is known.
	Inherit(ctx context.Context, from quarantine.Key, to quarantine.Attribute)
}

// Break describes an answer that a target broke off.
type Break struct {
	// Attributes are what may be suspected, the request's content first.
	Attributes   []quarantine.Attribute
	Organisation string
	Target       balance.Target
	// TargetExited is set if the target's process is known to have exited, and RefusedAt if that is known by a refused
	// connection. Trials are the attributes that were rejected or held back and with which the request was sent
	// nevertheless.
	TargetExited bool
	RefusedAt    time.Time
	Trials       []quarantine.Key
}

// Request is what is looked at of a request.
type Request struct {
	// ID is the one by which its route chooses a service.
	ID, Method, Host string
	// URI is the path and query, Path the path by which the route is chosen.
	URI, Path             string
	Organisation, Service string
	Parts                 []prefix.Part
	Body                  memory.Buffer
	// Deadline is when the request is abandoned.
	Deadline time.Time
}

// Check is what is known of the suspicion against one request while it is forwarded. Use New to create one. Only one
// goroutine may use it at a time.
type Check struct {
	suspects Suspects
	request  Request
	// attributes has what may be suspected of crashing targets; computed when first needed, see
	// Attributes.
	attributes []quarantine.Attribute
	// trials has the attributes that were rejected or held back and with which the request is sent
	// nevertheless.
	trials []quarantine.Key
}

// New returns the check of a request.
func New(s Suspects, r Request) *Check { return &Check{suspects: s, request: r} }

// Fork returns a check of the same request for another goroutine, with the trials so far.
func (c *Check) Fork() *Check {
	return &Check{suspects: c.suspects, request: c.request, trials: slices.Clone(c.trials)}
}

// Attributes returns what may be suspected if a target crashes: the request's content, by which repeats
// with other ids are recognised, and the parts of its prompt that other requests share.
func (c *Check) Attributes() []quarantine.Attribute {
	if c.attributes == nil {
		r := &c.request
		c.attributes = append(c.attributes, quarantine.ContentOf(contentHost(r.Host), r.Method, r.URI, r.Body.Chunks()...))
		for _, p := range c.SharedParts() {
			c.attributes = append(c.attributes, quarantine.PartOf(r.Service, p.ID))
		}
	}
	return c.attributes
}

// contentHost returns what all forms of a host that lead to the same route have in common.
func contentHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// Credits returns the request's attributes for RecordEnd.
func (c *Check) Credits() []quarantine.Credit {
	r, shared := &c.request, c.SharedParts()
	list := make([]quarantine.Credit, 0, 1+len(shared))
	list = append(list, quarantine.ContentCredit(contentHost(r.Host), r.Method, r.URI, r.Body.Chunks()...))
	for _, p := range shared {
		list = append(list, quarantine.PartOf(r.Service, p.ID).Credit)
	}
	return list
}

// maxSharedParts bounds the parts of a prompt that are looked at; prompts have a few.
const maxSharedParts = 16

// SharedParts returns the parts of the prompt that other prompts may share: all but the last.
func (c *Check) SharedParts() []prefix.Part {
	parts := c.request.Parts
	return parts[:min(max(len(parts)-1, 0), maxSharedParts)]
}

// Refusal is why a request is not sent.
type Refusal struct {
	// Digest identifies the content or the part of the prompt that is quarantined, Part is the id of the part.
	Digest, Part string
	RetryAfter   time.Duration
}

// Refuse reports whether the request is refused because it or a part of its prompt is quarantined.
// Without this, one request that a caller kept repeating crashed 38 to 44 engines in 10 s,
// together with everything else they ran. It costs one pointer comparison while nothing is
// suspected.
func (c *Check) Refuse(ctx context.Context) (r Refusal, refused bool) {
	v := c.suspects.View()
	if v == nil {
		return Refusal{}, false
	}
	now := clock.Now()
	if c.inheritParts(ctx, now, v) {
		v = c.suspects.View()
	}
	var held []quarantine.Attribute
	for _, a := range c.Attributes() {
		switch {
		case v.RejectedFor(now, a.Key) > 0:
			return c.refusal(now, v, a, v.RejectedFor(now, a.Key)), true
		case slices.Contains(c.trials, a.Key):
		case v.HoldsBack(now, a.Key):
			held = append(held, a)
		case a.Part == "" && v.WasRejected(now, a.Key):
			c.trials = append(c.trials, a.Key)
		}
	}
	if len(held) == 0 || c.startTrial(ctx, now, v, held) {
		return Refusal{}, false
	}
	return c.refusal(now, v, held[0], trialRetryAfter), true
}

// inheritParts makes what is known of parts of the prompt at services that the request's route led to before count at
// its service, of which nothing may be known, and reports whether there were such parts. Else each service that the route
// moves to would lose targets until the part is known there.
func (c *Check) inheritParts(ctx context.Context, now time.Time, v *quarantine.View) (inherited bool) {
	r, shared := &c.request, c.SharedParts()
	if len(shared) == 0 {
		return false
	}
	for _, service := range c.suspects.EarlierServices(r.Host, r.Path, r.ID, r.Service) {
		for _, p := range shared {
			from, to := quarantine.PartOf(service, p.ID), quarantine.PartOf(r.Service, p.ID)
			if v.HoldsBack(now, from.Key) && !v.Knows(to.Key) {
				c.suspects.Inherit(ctx, from.Key, to)
				inherited = true
			}
		}
	}
	return inherited
}

// refusal returns the refusal of the request because of a quarantined attribute.
func (c *Check) refusal(now time.Time, v *quarantine.View, a quarantine.Attribute, left time.Duration) Refusal {
	if v.LastSeenStale(now, a.Key) {
		c.suspects.RecordSeen(a.Key)
	}
	return Refusal{Digest: a.Key.String(), Part: a.Part, RetryAfter: left}
}

const (
	// trialRetryAfter is the Retry-After of a quarantined request that may be sent on trial, but
	// not now or not by this router.
	trialRetryAfter = 5 * time.Second
	// commonTrialDelay is how much later a request with several quarantined attributes goes on
	// trial: until then, requests with one of them may show which of them is the cause.
	commonTrialDelay = 5 * time.Second
)

// startTrial reports whether the request may be sent although some of its attributes are held back:
// one request with them at a time, by one router.
func (c *Check) startTrial(ctx context.Context, now time.Time, v *quarantine.View, held []quarantine.Attribute) bool {
	keys := make([]quarantine.Key, 0, len(held))
	for _, a := range held {
		if len(held) > 1 && v.DueFor(now, a.Key) < commonTrialDelay {
			return false
		}
		keys = append(keys, a.Key)
	}
	if !c.suspects.StartTrial(ctx, c.request.Deadline, keys) {
		return false
	}
	c.trials = append(c.trials, keys...)
	return true
}

// IsQuarantined reports whether the request must not be sent to another target now, as it may end it.
func (c *Check) IsQuarantined() bool {
	v := c.suspects.View()
	if v == nil {
		return false
	}
	now := clock.Now()
	return slices.ContainsFunc(c.Attributes(), func(a quarantine.Attribute) bool {
		return v.RejectedFor(now, a.Key) > 0 || v.HoldsBack(now, a.Key) && !slices.Contains(c.trials, a.Key)
	})
}

// EndTrials ends the trials of the request's attributes; broke is set if the answer broke off.
func (c *Check) EndTrials(broke bool) {
	for _, k := range c.trials {
		c.suspects.EndTrial(k, broke)
	}
}

// RecordBreak records that a target broke off its answer, or may have, and whether it is known to have exited. parts is
// set if parts of the prompt may be the cause. It returns true if so many targets have exited while running the request
// that the router must not retry it.
func (c *Check) RecordBreak(ctx context.Context, to balance.Target, exited bool, refusedAt time.Time, parts bool) (final bool) {
	b := Break{
		Attributes: c.Attributes(), Organisation: c.request.Organisation, Target: to, TargetExited: exited, RefusedAt: refusedAt, Trials: c.trials,
	}
	if !parts {
		b.Attributes = b.Attributes[:1]
	}
	return !quarantine.MayRetry(c.suspects.RecordBreak(ctx, b))
}

// Clear clears the suspicion against the attributes of a request that a target has run to its
// end, to which it was sent at a time.
func (c *Check) Clear(sentAt time.Time) {
	v := c.suspects.View()
	for _, a := range c.Attributes() {
		if v.Crashes(a.Key) > 0 {
			c.suspects.RecordSuccess(a.Key, sentAt)
		}
	}
}
