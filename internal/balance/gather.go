package balance

const (
	// gatherFrom is the part of the cores in use from which streams let events come
	// together as long as they may: bursts are to find time left.
	gatherFrom = 0.6
	// gatherFall is what is left, from one look to the next, of how much they do so
	// where less is in use, since it saves the very time that is free then; below
	// gatherLeast they stop. A shorter wait than the pause between two events takes
	// time and saves none.
	gatherFall  = 0.95
	gatherLeast = 0.5
)

// gatherAt returns how much streams are to let events come together, from 0 (none)
// to 1 (as long as callers accept), where they did so as much as last and the router
// uses a part of its cores. Three quarters of the processor time of a request goes
// into passing on events one by one.
func gatherAt(last, part float64) float64 {
	if part >= gatherFrom {
		return 1
	}
	if last*gatherFall < gatherLeast {
		return 0
	}
	return last * gatherFall
}
