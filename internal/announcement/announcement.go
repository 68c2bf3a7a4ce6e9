// Package announcement limits how often a router tells the others of a long prompt between two reports.
package announcement

import (
	"math"
	"time"
)

const (
	// threshold is the number of tokens to read from which a request is announced to the
	// other routers at once, rather than with the next report. Such a request keeps an engine
	// reading for tens of milliseconds, and requests that other routers send there meanwhile
	// wait behind it. Announcing it cut the 95th percentile of the time to the first event,
	// beyond what the known pending tokens explain, from 139 to 52 ms under normal and from
	// 225 to 86 ms under high load (8 routers).
	threshold = 1000
	// maxRate is the number of such messages a second that a router should receive, from
	// all routers that serve callers. At about 20 microseconds each they take half a percent
	// of a core. Beyond, only the longest prompts are announced.
	maxRate = 250
	// minRate is the number of such messages a second below which a router's part of
	// maxRate is too small to be of use: in a large fleet none are sent.
	minRate = 2
	// maxThreshold is the number of tokens from which a request is still announced once
	// the router's part of maxRate is used up.
	maxThreshold = 40_000
)

// Limiter limits the rate of announcements: the tokens from which a request is announced rise from threshold
// to maxThreshold as the router's allowance is used up. Use New to make one.
type Limiter struct {
	// remaining is the unused part of the router's allowance, from 0 to 1. It refills within a
	// second.
	remaining float64
	updatedAt time.Time
}

// New returns a limiter of which nothing is used.
func New(now time.Time) *Limiter { return &Limiter{remaining: 1, updatedAt: now} }

// Allow reports whether a request that makes a target read this many tokens is to be announced,
// and counts it if so. routers is the number of routers that announce requests to each other.
func (l *Limiter) Allow(now time.Time, tokens, routers int) bool {
	l.remaining = min(l.remaining+now.Sub(l.updatedAt).Seconds(), 1)
	l.updatedAt = now
	if routers > maxRate/minRate {
		return false
	}
	if float64(tokens) < threshold*math.Pow(maxThreshold/threshold, 1-l.remaining) {
		return false
	}
	l.remaining = max(l.remaining-float64(routers)/maxRate, 0)
	return true
}
