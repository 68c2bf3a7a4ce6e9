package fair

const (
	// learningRate is the weight of the newest request in the moving averages.
	learningRate = 0.05
	// initialEstimate is the cost assumed for an organisation's first request.
	initialEstimate = 100
	// maxHintFactor bounds the factor by which a hint may raise or lower an estimate
	// from the organisation's mean cost.
	maxHintFactor = 4
)

// Estimator predicts the cost of requests, per organisation, from past costs
// and the callers' hints. Hints count as far as they have predicted costs
// before: the estimate is a linear regression of cost on hint. It is right on
// average whatever the hints are, and is the mean cost if they do not correlate
// with it. The zero value is ready for use.
type Estimator struct {
	regressions map[string]*regression
}

// regression holds the moving averages of an organisation's hints and costs,
// the variance of the hints and their covariance with the costs.
type regression struct {
	cost       float64
	hint       float64
	variance   float64
	covariance float64
	hinted     bool
}

// Estimate returns the expected cost of an organisation's next request. A
// hint of 0 means none.
func (e *Estimator) Estimate(organisation string, hint float64) float64 {
	r := e.regressions[organisation]
	if r == nil {
		return initialEstimate
	}
	if hint <= 0 || r.variance == 0 {
		return r.cost
	}
	slope := max(r.covariance/r.variance, 0)
	return min(max(r.cost+slope*(hint-r.hint), r.cost/maxHintFactor), r.cost*maxHintFactor)
}

// Learn updates the estimate with the actual cost of a request; a hint of 0
// means none.
func (e *Estimator) Learn(organisation string, hint, cost float64) {
	if e.regressions == nil {
		e.regressions = map[string]*regression{}
	}
	r := e.regressions[organisation]
	if r == nil {
		r = &regression{cost: cost}
		e.regressions[organisation] = r
	}
	costError := cost - r.cost
	r.cost += learningRate * costError
	if hint <= 0 {
		return
	}
	if !r.hinted {
		r.hint, r.hinted = hint, true
	}
	hintError := hint - r.hint
	r.hint += learningRate * hintError
	r.variance += learningRate * (hintError*hintError - r.variance)
	r.covariance += learningRate * (hintError*costError - r.covariance)
}
