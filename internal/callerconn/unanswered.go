package callerconn

import (
	"expvar"
	"sync/atomic"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// Reasons for which this process closes a caller's connection with a request that has no answer.
const (
	// Stopping means that the server shut down, Timeout that the rest of the request did not
	// arrive in time, Lost that the process had no descriptor for the connection, Behind that the answer to
	// the request before was the last on its connection, and Aborted anything else.
	Stopping = "stopping"
	Timeout  = "timeout"
	Lost     = "lost"
	Behind   = "behind the last"
	Aborted  = "aborted"
	// unreadSuffix marks requests of which nothing had been read.
	unreadSuffix = " unread"
)

// unansweredCounter counts the requests without an answer whose connections this process closed, by
// reason. lastLogged is the Unix time, in seconds, at which they were last logged.
type unansweredCounter struct {
	byReason   expvar.Map
	lastLogged atomic.Int64
}

// Unanswered returns the number of requests since the start that got neither an answer nor a
// refusal because this process closed their connections, by reason. Those of callers that had closed the
// connection before are not counted.
func (s *Connections) Unanswered() map[string]int64 {
	out := map[string]int64{}
	s.unanswered.byReason.Do(func(kv expvar.KeyValue) { out[kv.Key] = kv.Value.(*expvar.Int).Value() })
	return out
}

// countUnanswered counts a request without an answer whose connection is closed. It logs the counts at most
// once a second.
func (s *Connections) countUnanswered(reason string) {
	s.unanswered.byReason.Add(reason, 1)
	second := clock.Wall().Unix()
	if s.unanswered.lastLogged.Swap(second) == second {
		return
	}
	s.Log.Info("callers closed without an answer", "why", reason, "counts", s.Unanswered())
}

// noteClosing notes, as the connection is about to be closed, how a request without an answer ends, and counts it if
// that is this process's doing. stopping is set if the server has shut down.
func (c *Conn) noteClosing(stopping bool) {
	end, reason := lifecycle.Unanswered, Aborted
	switch {
	case c.callerEnded.Load(), sockopt.RemoteClosed(c.Conn):
		end, reason = lifecycle.CallerGone, ""
	case c.timedOut.Load() && !c.place.Evicted() && !c.serving.Load():
		end, reason = lifecycle.Incomplete, Timeout
	case stopping:
		reason = Stopping
	}
	c.closedAs.Store(&end)
	switch {
	case reason == "", !c.unanswered.Load() && sockopt.Idle(c.Conn):
		return
	case !c.unanswered.Load():
		reason += unreadSuffix
	}
	c.shared.countUnanswered(reason)
}
