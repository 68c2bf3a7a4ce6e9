package throttle

import "time"

const (
	// noticesMost bounds what is remembered of throttled organisations between two
	// looks, in entries.
	noticesMost = 16
	// noticePeriod is the time between two entries of an organisation that is
	// throttled all the while.
	noticePeriod = time.Second
)

// Notice says that the router refuses some of an organisation's requests unread.
type Notice struct {
	Organisation string
	// Began and Ended are set where it began and ended to do so.
	Began, Ended bool
	// CPUUtilisation is the part of its cores that the router used last, and CoalesceLevel how much
	// streams let events come together, from 0 to 1.
	CPUUtilisation, CoalesceLevel float64
	// CoreLimit is how much of a core the organisation may use, 0 if that is not
	// bounded.
	CoreLimit float64
	// Waiting is how many of its requests wait for an engine.
	Waiting int
	ShareStatus
	// RejectedQueueFull and RejectedBusy are how many were refused unread since it began, because
	// too many wait and for the processor.
	RejectedQueueFull, RejectedBusy int
	// Duration is for how long it has gone on.
	Duration time.Duration
}

func (c *Controller) notice(n Notice) {
	if len(c.notices) < noticesMost {
		c.notices = append(c.notices, n)
	}
}

// Notices returns which organisations the router throttled since the last call, the first
// few of them.
func (c *Controller) Notices() []Notice {
	out := c.notices
	c.notices = nil
	return out
}
