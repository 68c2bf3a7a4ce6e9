package gateway

import (
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
)

const (
	// answerMemoryPart is the divisor of the router's memory that buffered answers may use: 16 MB
	// of 256 MB, enough for 64 answers of the greatest size or for 1,300 of 60 events.
	answerMemoryPart = 16
	// fullLogInterval is the shortest interval between two log lines about answers that wait for
	// room.
	fullLogInterval = time.Second
)

// answerBuffers is the memory for buffered answers and whether it is in use.
type answerBuffers struct {
	budget  *answerbuffer.Budget
	enabled atomic.Bool
	// loggedFull is the count of answers that waited for room as logged last, at loggedAt.
	loggedFull int64
	loggedAt   time.Time
}

// logAnswersWaiting logs that answers wait for room, at most once a second. Only the control goroutine may
// call it.
func (g *Gateway) logAnswersWaiting(now time.Time) {
	a := &g.answers
	if now.Sub(a.loggedAt) < fullLogInterval {
		return
	}
	stats := a.budget.Stats()
	if stats.Full == a.loggedFull {
		return
	}
	g.Log.Info("answers wait for room", "count", stats.Full-a.loggedFull, "waiting", stats.Waiting, "bytes", stats.Bytes)
	a.loggedFull, a.loggedAt = stats.Full, now
}
