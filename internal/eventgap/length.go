package eventgap

const (
	// hintObservations is the number of observations that the caller's hints count as at the start, and
	// lengthMemory the number after which one has lost most of its weight.
	hintObservations = 4
	lengthMemory     = 64
	// minRatio and maxRatio bound the ratio of each answer and so their mean: one answer of a million
	// tokens must not make all others look endless.
	minRatio, maxRatio = 1.0 / 8, 8
)

// Length learns the ratio of the real to the hinted length of answers. The zero value takes hints as
// they are.
type Length struct {
	// excess is the mean of the ratio less 1.
	excess float64
	count  int
}

// Observe adds an answer. If it was cut off, length is an estimate of what its length would have been, by
// the caller, and counts only if it is more than expected.
func (l *Length) Observe(hinted, length int, cut bool) {
	if hinted <= 0 || length <= 0 {
		return
	}
	ratio := min(max(float64(length)/float64(hinted), minRatio), maxRatio)
	if cut && ratio <= l.Ratio() {
		return
	}
	l.count = min(l.count+1, lengthMemory)
	l.excess += (ratio - l.Ratio()) / float64(min(l.count+hintObservations, lengthMemory))
}

// Ratio returns the mean ratio of real to hinted length.
func (l *Length) Ratio() float64 { return 1 + l.excess }
