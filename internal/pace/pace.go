// Package pace learns how long model engines take to the first event of an
// answer, from how long they took before. Engines read prompts one after the
// other, so that the time grows with the tokens that are unread when a request
// arrives, and more than in proportion with the length of its own prompt.
package pace

import (
	"math"
	"time"
)

// Work is what an engine has to read before a request's first event.
type Work struct {
	// Ahead is the number of prompt tokens that are unread before it.
	Ahead int
	// Uncached is the number of tokens of its own prompt that the engine must read.
	Uncached int
}

const (
	// terms is the number of coefficients: a fixed time, one per token to be
	// read, and one per pair of tokens of the request's own prompt.
	terms = 3
	// memory is the number of requests after which an observation has lost
	// most of its weight.
	memory = 400
	// trust is how many observations the first guess is worth.
	trust = 2
	// unusual is from how many times the usual error on an observation counts
	// only in part: one slow engine must not make all look slow.
	unusual = 3
	// errorWeight is the weight of the newest error in the usual one.
	errorWeight = 0.02
	// firstError is the usual error assumed at the start, as a part of the time
	// predicted.
	firstError = 1
)

// first is what is assumed before anything is known, in milliseconds, per 1,000
// tokens and per 1,000,000 pairs: the engines known read 40 to 112 tokens a
// millisecond, of which this is the slower end.
var first = coefficients{50, 25, 0}

type coefficients [terms]float64

// Model is what is known of a service's engines. Use New to make one.
type Model struct {
	now coefficients
	// products and sums are the decayed normal equations of a least squares
	// fit.
	products [terms]coefficients
	sums     coefficients
	// usual is the usual error, as a part of the time predicted.
	usual float64
}

// New returns a model that knows only a cautious first guess.
func New() *Model { return &Model{now: first, usual: firstError} }

// Predict returns the time to the first event of a request.
func (m *Model) Predict(w Work) time.Duration { return duration(m.predict(features(w))) }

// RelativeError returns the usual difference between the time predicted and the time
// taken, as a part of the former.
func (m *Model) RelativeError() float64 { return m.usual }

// PrefillTime returns the time in which an engine reads a number of tokens, beside
// what else it does.
func (m *Model) PrefillTime(tokens int) time.Duration {
	return duration(float64(tokens) / 1000 * m.now[1])
}

// Observe takes in how long the first event of a request took. What is unread
// before a request is known late and in part, what is its own is known well, and
// an engine reads both alike: so the time per token is learnt from requests' own
// tokens, after the time that those before it are taken to need. Learnt from
// both, it came out at half of what it is.
func (m *Model) Observe(w Work, took time.Duration) {
	expected := m.predict(features(w))
	miss := milliseconds(took) - expected
	limit := unusual * m.usual * expected
	m.usual += errorWeight * (min(math.Abs(miss), limit)/expected - m.usual)
	x := features(Work{Uncached: w.Uncached})
	y := m.predict(x) + min(max(miss, -limit), limit)
	// Errors grow with the time, and so long prompts count less.
	weight := min(m.now[0]/expected, 1)
	weight *= weight
	for i := range terms {
		for j := range terms {
			m.products[i][j] = m.products[i][j]*(1-1.0/memory) + weight*x[i]*x[j]
		}
		m.sums[i] = m.sums[i]*(1-1.0/memory) + weight*x[i]*y
	}
	m.fit()
}

func (m *Model) predict(x coefficients) float64 {
	sum := 0.0
	for i, c := range m.now {
		sum += c * x[i]
	}
	return sum
}

// fit solves the normal equations, to which the first guess adds as if it had
// been observed: what the requests so far don't tell stays as guessed.
func (m *Model) fit() {
	a, b := m.products, m.sums
	for i := range terms {
		a[i][i] += trust
		b[i] += trust * first[i]
	}
	solved := solve(a, b)
	for i, v := range solved {
		m.now[i] = max(v, least[i])
	}
}

// least are the smallest coefficients that an engine can have.
var least = coefficients{1, 0.5, 0}

// solve returns the solution of a system with a positive definite matrix.
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

// features returns what the coefficients are multiplied with.
func features(w Work) coefficients {
	own := float64(w.Uncached) / 1000
	return coefficients{1, float64(w.Ahead)/1000 + own, own * own}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
