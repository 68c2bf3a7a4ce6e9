package balance

const (
	// gatherFrom is the part of the cores in use from which streams let events come
	// together, and gatherFull that from which they do so as long as they may.
	gatherFrom = 0.5
	gatherFull = busyLimit
	// gatherFall is what is left at least, from one look to the next, of how much
	// they do so: it saves the time that made the processor free.
	gatherFall = 0.95
)

// gatherAt returns how much streams are to let events come together, from 0 (none)
// to 1 (as long as callers accept), where they did so as much as last and the router
// uses a part of its cores. Three quarters of the processor time of a request goes
// into passing on events one by one.
func gatherAt(last, part float64) float64 {
	want := min(max((part-gatherFrom)/(gatherFull-gatherFrom), 0), 1)
	return max(want, last*gatherFall)
}
