package throttle

import (
	"math"
	"time"
)

const (
	// requestEffort and pieceEffort are the processor time that serving a request
	// takes without its answer, and that a piece of the answer takes which is passed
	// on by itself, from a processor profile. Only their proportion matters: how much
	// a router can do follows from the processor that it finds used.
	requestEffort = 190 * time.Microsecond
	pieceEffort   = 36 * time.Microsecond
	// firstPieces is how many pieces a token of an answer is taken for until streams
	// have ended, and piecesWeight the weight of the newest stream in the average.
	firstPieces  = 0.1
	piecesWeight = 0.02
	// grades is the number of grades of requests: each brings twice the tokens for
	// the same processor time as the one before, the first 1 a millisecond.
	grades = 24
)

// RequestSize is what a request to engines brings, as its head says: the prompt's tokens,
// and those expected out.
type RequestSize struct {
	Input, Output int
}

// Tokens returns what the request counts for in shares, a token made counted twice.
func (o RequestSize) Tokens() float64 { return float64(o.Input + 2*o.Output) }

// effort returns the processor time that serving takes where a token of the answer
// comes in so many pieces.
func (o RequestSize) effort(pieces float64) time.Duration {
	return requestEffort + time.Duration(float64(o.Output)*pieces*float64(pieceEffort))
}

// grade returns how much the request brings for its effort.
func (o RequestSize) grade(pieces float64) int {
	perMillisecond := o.Tokens() / (float64(o.effort(pieces)) / float64(time.Millisecond))
	if perMillisecond < 1 {
		return 0
	}
	return min(math.Ilogb(perMillisecond), grades-1)
}

// cutAt returns the grade from which requests fit into so much processor time, the
// best first, and how much of it is left for that grade itself; -1 if all fit.
func cutAt(arrived *[grades]float64, most float64) (grade int, left float64) {
	left = most
	for i := grades - 1; i >= 0; i-- {
		if arrived[i] > left {
			return i, left
		}
		left -= arrived[i]
	}
	return -1, left
}
