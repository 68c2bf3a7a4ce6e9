package throttle

const (
	// coalesceUtilisation is the CPU utilisation, as a fraction of the cores, from which
	// streams coalesce events for as long as they may, so that CPU time is left for bursts.
	coalesceUtilisation = 0.6
	// coalesceDecay is the factor by which the coalescing level falls per call while
	// utilisation is lower: coalescing itself saves the CPU time that is then free, and a
	// sudden stop would raise utilisation again. Below minCoalesceLevel coalescing stops:
	// waiting for less than the gap between two events costs CPU time and saves none.
	coalesceDecay    = 0.95
	minCoalesceLevel = 0.5
)

// nextCoalesceLevel returns how long streams should hold events back to send them together,
// from 0 (not at all) to 1 (as long as callers accept), given the previous level and the
// router's CPU utilisation (0 to 1). Three quarters of the CPU time of a request goes into
// passing on events one by one.
func nextCoalesceLevel(last, utilisation float64) float64 {
	if utilisation >= coalesceUtilisation {
		return 1
	}
	if last*coalesceDecay < minCoalesceLevel {
		return 0
	}
	return last * coalesceDecay
}
