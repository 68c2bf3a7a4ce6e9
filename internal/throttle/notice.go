package throttle

import "time"

const (
	// maxNotices bounds the notices kept between two calls of Notices.
	maxNotices = 16
	// noticeInterval is the time between two notices about an organisation that stays
	// throttled.
	noticeInterval = time.Second
)

// Notice reports that the router rejects some of an organisation's requests before parsing
// them.
type Notice struct {
	Organisation string
	// Began and Ended are set in the first and last notice of a period of throttling.
	Began, Ended bool
	// CPUUtilisation is the fraction of its cores that the router last used, and CoalesceLevel
	// how far streams coalesce events, from 0 to 1.
	CPUUtilisation, CoalesceLevel float64
	// CoreLimit is how much of a core the organisation may use, 0 if that is unlimited.
	CoreLimit float64
	// Waiting is the number of the organisation's requests that wait for an engine.
	Waiting int
	ShareStatus
	// RejectedQueueFull and RejectedBusy are how many requests were rejected before parsing
	// since throttling began, because too many were waiting and because the CPU was busy.
	RejectedQueueFull, RejectedBusy int
	// Duration is how long the organisation has been throttled.
	Duration time.Duration
}

// addNotice keeps a notice for Notices, unless there are too many.
func (c *Controller) addNotice(n Notice) {
	if len(c.notices) < maxNotices {
		c.notices = append(c.notices, n)
	}
}

// Notices returns the notices since the last call, at most the first maxNotices.
func (c *Controller) Notices() []Notice {
	out := c.notices
	c.notices = nil
	return out
}
