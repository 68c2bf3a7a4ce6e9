// Package enginespeed compares how fast the engines of a service are. Routers add up the times to
// the first event that they saw at each engine and what a common reference predicts for the same
// work; the sums of all routers together tell the engines apart.
package enginespeed

// Sums adds up times to the first event at one engine, in milliseconds.
type Sums struct {
	// Expected is what the reference predicts, Actual what the engine took.
	Expected, Actual float64
}

// Plus returns the sum of both.
func (s Sums) Plus(o Sums) Sums { return Sums{s.Expected + o.Expected, s.Actual + o.Actual} }

// Report is what a router, or a zone, knows about one engine.
type Report struct {
	// Target is the engine's incarnation.
	Target, Service string
	Sums
}
