// Package pace learns how long model engines take to the first event of an answer from how
// long they took before. Engines prefill (read) prompts one after the other, so the time grows
// with the prompt tokens that are pending when a request arrives, and more than linearly with
// the length of the request's own prompt.
package pace

import (
	"math"
	"time"
)

// Work is what an engine has to prefill before a request's first event.
type Work struct {
	// Ahead is the number of pending prompt tokens of earlier requests.
	Ahead int
	// Uncached is the number of tokens of the request's own prompt that are not in the
	// engine's prefix cache.
	Uncached int
}

const (
	// terms is the number of coefficients: a fixed time, a time per token to be read, and a
	// time per pair of tokens of the request's own prompt.
	terms = 3
	// memoryRequests is the number of requests after which an observation has lost most of its
	// weight.
	memoryRequests = 400
	// priorWeight is the number of observations that the prior counts as.
	priorWeight = 2
	// outlierFactor bounds the error of an observation to this multiple of the usual error, so
	// that one slow engine doesn't make all look slow.
	outlierFactor = 3
	// errorAverageWeight is the weight of the newest error in the running average.
	errorAverageWeight = 0.02
	// initialError is the relative error assumed at the start.
	initialError = 1
)

// prior is the estimate before anything is observed, in milliseconds, per 1,000 tokens and per
// 1,000,000 pairs. Known engines read 40 to 112 tokens a millisecond; this is the slower end.
var prior = coefficients{50, 25, 0}

// Reference returns the time to the first event by the prior, which is the same at all routers and
// at all times. Engines are compared by it: what routers have learnt differs between them.
func Reference(w Work) time.Duration {
	m := Model{current: prior}
	return m.Predict(w)
}

// coefficients holds the coefficients of the model, or the features that they are multiplied
// with.
type coefficients [terms]float64

// Model is a regression model of the time that a service's engines take to the first event.
// Use New to create one.
type Model struct {
	current coefficients
	// products and sums are the exponentially decayed normal equations of a least squares fit.
	products [terms]coefficients
	sums     coefficients
	// relativeError is the running average of the error, as a fraction of the predicted time.
	relativeError float64
}

// New returns a model that knows only the prior, a cautious estimate.
func New() *Model { return &Model{current: prior, relativeError: initialError} }

// Predict returns the expected time to the first event of a request.
func (m *Model) Predict(w Work) time.Duration { return duration(m.predict(features(w))) }

// RelativeError returns the usual difference between predicted and actual time, as a fraction
// of the predicted time.
func (m *Model) RelativeError() float64 { return m.relativeError }

// PrefillTime returns the time in which an engine reads a number of prompt tokens, without its
// other work.
func (m *Model) PrefillTime(tokens int) time.Duration {
	return duration(float64(tokens) / 1000 * m.current[1])
}

// Observe updates the model with the time that the first event of a request took. The tokens
// ahead of a request are known late and incompletely, those of its own prompt exactly, and an
// engine reads both at the same speed. So the time per token is fitted to the requests' own
// tokens, after subtracting the time predicted for those ahead. Fitted to both, it came out at
// half its true value.
func (m *Model) Observe(w Work, took time.Duration) {
	expected := m.predict(features(w))
	miss := milliseconds(took) - expected
	limit := outlierFactor * m.relativeError * expected
	m.relativeError += errorAverageWeight * (min(math.Abs(miss), limit)/expected - m.relativeError)
	x := features(Work{Uncached: w.Uncached})
	y := m.predict(x) + min(max(miss, -limit), limit)
	// The error grows with the time, so long prompts get less weight.
	weight := min(m.current[0]/expected, 1)
	weight *= weight
	for i := range terms {
		for j := range terms {
			m.products[i][j] = m.products[i][j]*(1-1.0/memoryRequests) + weight*x[i]*x[j]
		}
		m.sums[i] = m.sums[i]*(1-1.0/memoryRequests) + weight*x[i]*y
	}
	m.fit()
}

func (m *Model) predict(x coefficients) float64 {
	sum := 0.0
	for i, c := range m.current {
		sum += c * x[i]
	}
	return sum
}

// fit solves the normal equations. The prior is added as if it had been observed, so
// coefficients that the requests so far don't determine stay close to it.
func (m *Model) fit() {
	a, b := m.products, m.sums
	for i := range terms {
		a[i][i] += priorWeight
		b[i] += priorWeight * prior[i]
	}
	solved := solve(a, b)
	for i, v := range solved {
		m.current[i] = max(v, minCoefficients[i])
	}
}

// minCoefficients are the smallest coefficients that an engine can have.
var minCoefficients = coefficients{1, 0.5, 0}

// solve returns the solution of a linear system with a positive definite matrix.
func solve(a [terms]coefficients, b coefficients) coefficients {
	for i := range terms {
		for k := i + 1; k < terms; k++ {
			f := a[k][i] / a[i][i]
			for j := i; j < terms; j++ {
				a[k][j] -= f * a[i][j]
			}
			b[k] -= f * b[i]
		}
	}
	var x coefficients
	for i := terms - 1; i >= 0; i-- {
		x[i] = b[i]
		for j := i + 1; j < terms; j++ {
			x[i] -= a[i][j] * x[j]
		}
		x[i] /= a[i][i]
	}
	return x
}

// features returns the values that the coefficients are multiplied with.
func features(w Work) coefficients {
	uncached := float64(w.Uncached) / 1000
	return coefficients{1, float64(w.Ahead)/1000 + uncached, uncached * uncached}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
