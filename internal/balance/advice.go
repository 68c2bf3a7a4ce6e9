package balance

import "time"

// Leaves notes that the target to which a request was sent says in its answer that it
// leaves. It reports whether that is news.
func (s *State) Leaves(now time.Time, t *Ticket) bool {
	if t.at == nil {
		return false
	}
	record, news := s.advice.Leave(now, t.at.name)
	t.at.said = record
	if listed := s.alive(t.at.name); listed != nil {
		listed.said = record
	}
	return news
}

// AfterLeaving returns how many requests were sent to targets that had said in an answer
// that they leave.
func (s *State) AfterLeaving() int64 { return s.afterLeaving }
