package balance

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/pace"
)

// estimator predicts the times of one target, by the model of its service and the target's factor.
type estimator struct {
	*pace.Model
	// factor is the target's time for the same work relative to the average of its service.
	factor float64
}

// estimate returns the estimator of a target.
func (s *State) estimate(now time.Time, c *target) estimator {
	return estimator{s.pace(c.Service), s.factor(now, c)}
}

// factor returns the target's time for the same work relative to the average of its service, 1 if
// it is unknown or the service's engines are equally fast.
func (s *State) factor(now time.Time, c *target) float64 {
	v := s.services[c.Service]
	if v == nil || !v.spread.Unequal() || !s.comparesSpeeds(c.Service) {
		return 1
	}
	return s.speeds.Lookup(now, c.Service, c.incarnation)
}

const (
	// spreadInterval is the interval at which the engines of a service are compared.
	spreadInterval = time.Second
	// maxCompared bounds the engines that are compared, which takes some 20 microseconds.
	maxCompared = 300
)

// compareEngines finds out which services have engines that differ in speed.
func (s *State) compareEngines(now time.Time) {
	if now.Sub(s.comparedAt) < spreadInterval {
		return
	}
	s.comparedAt = now
	for name, v := range s.services {
		if !s.comparesSpeeds(name) {
			v.spread = enginespeed.Spread{}
			continue
		}
		s.factors = s.factors[:0]
		for _, t := range v.all.Members() {
			if f := s.speeds.Lookup(now, name, t.incarnation); f != 1 && len(s.factors) < maxCompared {
				s.factors = append(s.factors, f)
			}
		}
		v.spread = v.spread.With(s.factors)
	}
}

// comparesSpeeds reports whether the engines of a service are told apart by their speed.
func (s *State) comparesSpeeds(service string) bool {
	return s.enabled(s.features.EngineSpeeds, service)
}

// Predict returns the expected time to the first event of a request.
func (e estimator) Predict(w pace.Work) time.Duration { return e.scale(e.Model.Predict(w)) }

// PrefillTime returns the time in which the target reads a number of prompt tokens, without its
// other work.
func (e estimator) PrefillTime(tokens int) time.Duration {
	return e.scale(e.Model.PrefillTime(tokens))
}

func (e estimator) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.factor)
}

// observeFirstEvent updates the model of a service, and the speed of the target, with the time to
// the first event of t. The speed counts only the part of the time that the request's own prompt is
// expected to take. The requests ahead of it are known late and incompletely, so an engine with a
// long queue would otherwise look slow.
func (s *State) observeFirstEvent(now time.Time, t *Ticket) {
	took, factor := now.Sub(t.sentAt), 1.0
	if s.comparesSpeeds(t.Service) {
		factor = s.factor(now, t.target)
	}
	// An engine that fails answers at once. Taken for speed, that would attract all requests.
	if t.target.Service == t.Service && s.comparesSpeeds(t.Service) && !t.ServerError.Load() {
		own := pace.Reference(pace.Work{Uncached: t.work.Uncached})
		part := float64(own) / float64(pace.Reference(t.work))
		s.speeds.Observe(now, t.Service, t.target.incarnation, own, time.Duration(part*float64(took)))
	}
	s.pace(t.Service).Observe(t.work, time.Duration(float64(took)/factor))
}

// EngineSpeeds describes the speeds of the engines of each service whose engines are compared.
func (s *State) EngineSpeeds(now time.Time) map[string]enginespeed.Summary {
	all := s.speeds.Summaries(now)
	for name := range all {
		if !s.comparesSpeeds(name) {
			delete(all, name)
		}
	}
	return all
}

// IgnoredSpeeds returns the number of times of engines that were ignored because they were invalid
// or too many.
func (s *State) IgnoredSpeeds() int64 { return s.speeds.Ignored() }

// SetReportReceivers sets the number of routers that this router's reports go to.
func (s *State) SetReportReceivers(n int) { s.speeds.SetReceivers(n) }
