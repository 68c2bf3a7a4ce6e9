package standin

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"
)

// Faults are the faults that a stand-in simulates, set with POST /v1/faults. The zero value means
// none.
type Faults struct {
	// DelayMS delays each answer, in milliseconds, 0 to 60,000.
	DelayMS int `json:"delay_ms" yaml:"delay_ms" validate:"min=0,max=60000"`
	// Outage makes every call fail.
	Outage bool `json:"outage" yaml:"outage"`
	// LoseAnswers makes the platform carry out writes, and services requests, without returning
	// the answer.
	LoseAnswers bool `json:"lose_answers" yaml:"lose_answers"`
	// Leaving makes an engine or service refuse new requests as not run, and an engine report
	// that it is shutting down.
	Leaving bool `json:"leaving" yaml:"leaving"`
	// Refuse makes an engine or service refuse requests as not run.
	Refuse bool `json:"refuse" yaml:"refuse"`
	// BreakAfterTokens is the number of tokens after which an engine breaks off each answer; 0
	// means never.
	BreakAfterTokens int `json:"break_after" yaml:"break_after" validate:"min=0"`
	// ForgetBroken makes an engine refuse to continue broken answers.
	ForgetBroken bool `json:"forget_broken" yaml:"forget_broken"`
	// DropEveryNthEvent makes an engine leave out every n-th cache event, with n as the value; 0
	// means that it reports all of them.
	DropEveryNthEvent int `json:"drop_events" yaml:"drop_events" validate:"min=0"`
	// ReverseChanges makes the platform return changes in reverse order.
	ReverseChanges bool `json:"reorder" yaml:"reorder"`
	// LoadAgeMS is the age of an engine's load reports and cache events when they are returned,
	// in milliseconds.
	LoadAgeMS int `json:"late_load_ms" yaml:"late_load_ms" validate:"min=0,max=60000"`
}

// faultSwitch holds the faults in force. Stand-ins embed it.
type faultSwitch struct{ current atomic.Pointer[Faults] }

// faults returns the faults in force.
func (s *faultSwitch) faults() Faults {
	if f := s.current.Load(); f != nil {
		return *f
	}
	return Faults{}
}

// SetFaults replaces the faults in force.
func (s *faultSwitch) SetFaults(f Faults) { s.current.Store(&f) }

// serveFaults handles POST /v1/faults.
func (s *faultSwitch) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

// applyFaults waits for the delay in force. In an outage it answers the call with an error and
// returns false.
func (s *faultSwitch) applyFaults(w http.ResponseWriter) bool {
	f := s.faults()
	if f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
