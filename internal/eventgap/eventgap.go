// Package eventgap learns the time between two events of a stream as a function of the number of
// requests that its engine runs. From it follow the time for which an engine may read prompts
// before a stream beside them pauses for too long, and the time that the rest of an answer takes.
package eventgap

import (
	"math"
	"time"
)

const (
	// minObservations is the number of observations from which the model predicts anything.
	minObservations = 20
	// memoryRequests is the number of observations after which one has lost most of its weight. At
	// ten answers a second, the model follows a change of load within some seconds.
	memoryRequests = 128
	// spreadPrior is added to the sum of squares of the numbers of requests. Without it, answers that
	// all ran beside about as many others would give an arbitrary part per request.
	spreadPrior = 16
	// outlierFactor bounds an observation to this multiple of the expected gap and to its inverse: a
	// caller that stops reading for seconds holds up its answer, and no engine is that slow.
	outlierFactor = 4
	// After changeRun observations in a row that are all above changeFactor times what is expected, or
	// all below its inverse, engines have become slower or faster. Earlier observations then keep
	// staleWeight of their weight. Engines of one service differ by factors of 0.7 and 1.7; with a third
	// of the slow kind, eight in a row are one in 6,500.
	changeFactor = 1.5
	changeRun    = 8
	staleWeight  = 0.05
	// minFactor and maxFactor bound an engine's factor.
	minFactor, maxFactor = 0.25, 4
	// longest bounds the times that are observed and predicted, so that no sum overflows.
	longest = time.Hour
)

// Model predicts gaps as a fixed part and a part per running request, for an engine of average speed.
// Use New to create one.
type Model struct {
	// count is the number of observations, at most minObservations.
	count int
	// weight, requests, gaps, squares and products are the decayed sums of a least squares fit: of 1,
	// of the numbers of requests, of the gaps in milliseconds, of the squares of the former and of
	// the products of both.
	weight, requests, gaps, squares, products float64
	// fixed and perRequest are the parts in milliseconds.
	fixed, perRequest float64
	// slower and faster count the last observations in a row that were far above or below the expected
	// gap.
	slower, faster int
}

// New returns a model without observations.
func New() *Model { return &Model{} }

// Observe adds the mean gap between the events of an answer. running is the number of requests at its
// engine, itself included, and factor the engine's time for the same work relative to the average.
func (m *Model) Observe(running int, factor float64, gap time.Duration) {
	if running < 1 || gap <= 0 || gap > longest {
		return
	}
	x, y := float64(running), milliseconds(gap)/bounded(factor)
	if expected := m.at(x); m.known() {
		m.detectChange(y / expected)
		y = min(max(y, expected/outlierFactor), expected*outlierFactor)
	}
	m.count = min(m.count+1, minObservations)
	m.decay(1 - 1.0/memoryRequests)
	m.weight++
	m.requests += x
	m.gaps += y
	m.squares += x * x
	m.products += x * y
	m.fit()
}

// detectChange reduces the weight of earlier observations if the last ones all differ from what is
// expected in the same direction. ratio is the observed over the expected gap.
func (m *Model) detectChange(ratio float64) {
	m.slower, m.faster = next(m.slower, ratio > changeFactor), next(m.faster, ratio < 1/changeFactor)
	if m.slower >= changeRun || m.faster >= changeRun {
		m.decay(staleWeight)
		m.slower, m.faster = 0, 0
	}
}

// next returns the length of a run of equal results after one more.
func next(run int, again bool) int {
	if again {
		return run + 1
	}
	return 0
}

func (m *Model) decay(by float64) {
	m.weight *= by
	m.requests *= by
	m.gaps *= by
	m.squares *= by
	m.products *= by
}

// fit solves the least squares problem around the means. Neither part may be negative.
func (m *Model) fit() {
	x, y := m.requests/m.weight, m.gaps/m.weight
	spread := m.squares - m.weight*x*x
	slope := (m.products - m.weight*x*y) / (max(spread, 0) + spreadPrior)
	m.perRequest = min(max(slope, 0), y/x)
	m.fixed = y - m.perRequest*x
}

func (m *Model) known() bool { return m.count >= minObservations }

func (m *Model) at(running float64) float64 { return m.fixed + m.perRequest*running }

// Gap returns the expected gap between two events at an engine that runs a number of requests, 0 if it
// is unknown.
func (m *Model) Gap(running int, factor float64) time.Duration {
	if !m.known() {
		return 0
	}
	return duration(m.at(float64(max(running, 1))) * bounded(factor))
}

// MaxPrefill returns the longest time for which an engine that runs a number of requests may read
// prompts between two events without a pause of more than maxPause. It returns false if nothing is
// known.
func (m *Model) MaxPrefill(running int, factor float64, maxPause time.Duration) (time.Duration, bool) {
	gap := m.Gap(running, factor)
	if gap == 0 || maxPause <= 0 {
		return 0, false
	}
	return max(maxPause-gap, 0), true
}

// Remaining returns the time that an engine takes for a number of further events, 0 if it is unknown.
func (m *Model) Remaining(running, events int, factor float64) time.Duration {
	return duration(float64(max(events, 0)) * milliseconds(m.Gap(running, factor)))
}

// bounded returns a usable factor: 1 for one that is not a positive number.
func bounded(factor float64) float64 {
	if !(factor > 0) || math.IsInf(factor, 1) {
		return 1
	}
	return min(max(factor, minFactor), maxFactor)
}

func duration(ms float64) time.Duration {
	return time.Duration(min(ms, milliseconds(longest)) * float64(time.Millisecond))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
