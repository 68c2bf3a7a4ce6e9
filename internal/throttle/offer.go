package throttle

import (
	"math"
	"time"
)

const (
	// requestCPUTime and pieceCPUTime are the CPU time that serving a request takes without
	// its answer, and that each piece of the answer takes which is passed on by itself, from a
	// CPU profile. Only their ratio matters: how much a router can handle follows from the
	// utilisation that it observes.
	requestCPUTime = 190 * time.Microsecond
	pieceCPUTime   = 36 * time.Microsecond
	// initialPiecesPerToken is the number of pieces assumed per token of an answer until
	// streams have ended, and piecesAverageWeight the weight of the newest stream in the
	// running average.
	initialPiecesPerToken = 0.1
	piecesAverageWeight   = 0.02
	// grades is the number of grades of requests. A grade is the rounded-down binary logarithm
	// of the tokens that a request brings per millisecond of CPU time, and 0 for less than 1
	// token: each grade brings twice the tokens of the one before.
	grades = 24
)

// RequestSize is the size of a request to an engine according to its header: the tokens of the
// prompt and those expected in the answer.
type RequestSize struct {
	Input, Output int
}

// Tokens returns the tokens that count towards the organisation's share; a generated token
// counts twice.
func (o RequestSize) Tokens() float64 { return float64(o.Input + 2*o.Output) }

// cpuTime returns the CPU time that serving the request takes if a token of the answer arrives
// in this many pieces.
func (o RequestSize) cpuTime(pieces float64) time.Duration {
	return requestCPUTime + time.Duration(float64(o.Output)*pieces*float64(pieceCPUTime))
}

// grade returns the request's grade: how many tokens it brings per CPU time.
func (o RequestSize) grade(pieces float64) int {
	perMillisecond := o.Tokens() / (float64(o.cpuTime(pieces)) / float64(time.Millisecond))
	if perMillisecond < 1 {
		return 0
	}
	return min(math.Ilogb(perMillisecond), grades-1)
}

// findCutGrade hands out CPU time from the best grade downwards and returns the first grade
// whose requests no longer fit, and the time left for it; -1 if all fit.
func findCutGrade(arrived *[grades]float64, allowance float64) (grade int, left float64) {
	left = allowance
	for i := grades - 1; i >= 0; i-- {
		if arrived[i] > left {
			return i, left
		}
		left -= arrived[i]
	}
	return -1, left
}
