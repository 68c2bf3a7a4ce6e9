package targethealth_test

import (
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/targethealth"
)

func TestSuspicion(t *testing.T) {
	type step = func(h *targethealth.Health, now time.Time)
	answer, failure, unreachable := (*targethealth.Health).RecordAnswer, (*targethealth.Health).RecordFailure, (*targethealth.Health).RecordUnreachable
	silent := (*targethealth.Health).SuspectSilent
	heard := func(h *targethealth.Health, now time.Time) { h.EndSilence(now, now) }
	heardBefore := func(h *targethealth.Health, now time.Time) { h.EndSilence(now, now.Add(-time.Second)) }
	// Steps are 100 ms apart.
	for name, c := range map[string]struct {
		steps []step
		// suspected is for how long it is suspected after the last step, in milliseconds.
		suspected  int
		recovering bool
	}{
		"one failure":                       {[]step{failure}, 0, false},
		"two failures":                      {[]step{failure, failure}, 500, true},
		"failures that alternate":           {[]step{failure, answer, failure, answer, failure}, 500, true},
		"a connection that was not made":    {[]step{unreachable}, 500, true},
		"two while it is suspected":         {[]step{unreachable, unreachable}, 400, true},
		"again after it was suspected":      {[]step{unreachable, answer, nil, nil, nil, nil, unreachable}, 1000, true},
		"answers since":                     {[]step{unreachable, answer, answer, answer, nil, nil, nil, unreachable}, 500, true},
		"silent, and heard again":           {[]step{silent, heard}, 0, true},
		"silent, and heard before that":     {[]step{silent, heardBefore}, 400, true},
		"not reached, and heard by another": {[]step{unreachable, heard}, 400, true},
	} {
		t.Run(name, func(t *testing.T) {
			var h targethealth.Health
			now := time.Unix(1000, 0)
			for _, do := range c.steps {
				now = now.Add(100 * time.Millisecond)
				if do != nil {
					do(&h, now)
				}
			}
			end := now.Add(time.Duration(c.suspected) * time.Millisecond)
			if h.Suspected(end) || c.suspected > 0 && !h.Suspected(end.Add(-time.Millisecond)) || h.Recovering() != c.recovering {
				t.Errorf("suspected now %v, at the end %v, recovering %v", h.Suspected(now), h.Suspected(end), h.Recovering())
			}
		})
	}
}
