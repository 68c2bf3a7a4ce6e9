package streams

import (
	"cmp"
	"slices"
)

// stream is what the lines have of a stream.
type stream struct {
	answers []Answer
	joins   []Join
	began   []Beginning
	// lines is the number of lines that are kept.
	lines int
	// truncated is set if there are more lines than are kept, entangled if answers with the same id ran at the same time
	// at a router, so that it is not known which of them a join is in.
	truncated, entangled bool
}

// countTry counts a try to take the stream up that got no events with an earlier one behind the same event, if there is
// any.
func (s *stream) countTry(a Answer) bool {
	if a.Runs > 0 {
		return false
	}
	for i := range s.answers {
		if other := &s.answers[i]; other.After == a.After && other.Runs == 0 && other.End == a.End && other.Status == a.Status {
			other.MoreTries++
			return true
		}
	}
	return false
}

// assemble sorts the answers, those that begin the stream first, and gives each one its joins. Joins without an answer
// are given to one that has no line. It drops lines that were read twice.
func (s *stream) assemble() {
	slices.SortStableFunc(s.joins, func(a, b Join) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Router, b.Router), cmp.Compare(a.ID, b.ID))
	})
	s.joins = slices.Compact(s.joins)
	slices.SortStableFunc(s.answers, func(a, b Answer) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Router, b.Router), cmp.Compare(a.ID, b.ID))
	})
	s.answers = slices.CompactFunc(s.answers, func(a, b Answer) bool {
		return a.Time.Equal(b.Time) && a.Router == b.Router && a.ID == b.ID
	})
	s.assembleBeginnings()
	for _, j := range s.joins {
		a := s.answerOf(j)
		if a == nil {
			s.answers = append(s.answers, Answer{ID: j.ID, Router: j.Router, Joins: []Join{}, NoLine: true, unclear: true})
			a = &s.answers[len(s.answers)-1]
			if !j.within || j.ID != j.stream {
				a.After = j.After
			}
		}
		if a.NoLine && j.Time.After(a.Time) {
			a.Time = j.Time
		}
		a.Joins = append(a.Joins, j)
	}
	s.joins = nil
	slices.SortStableFunc(s.answers, compareAnswers)
}

// assembleBeginnings gives the answers the lines of their beginnings, the last one if there are several, and adds those that
// have no other line.
func (s *stream) assembleBeginnings() {
	slices.SortStableFunc(s.began, func(a, b Beginning) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.router, b.router)) })
	for _, b := range s.began {
		i := slices.IndexFunc(s.answers, func(a Answer) bool {
			return a.begins() && a.ID == b.id && a.Router == b.router && (a.NoLine || !a.begun().After(b.Time) && !a.Time.Before(b.Time))
		})
		if i < 0 {
			s.answers = append(s.answers, Answer{ID: b.id, Router: b.router, Joins: []Join{}, NoLine: true, unclear: true, Time: b.Time})
			i = len(s.answers) - 1
		}
		s.answers[i].Beginning = &b
	}
	s.began = nil
}

// ofServices reports whether runs of the answers are of different services.
func ofServices(answers []Answer) bool {
	first := ""
	differs := func(service string) bool {
		first = cmp.Or(first, service)
		return service != "" && service != first
	}
	return slices.ContainsFunc(answers, func(a Answer) bool {
		return differs(a.firstService()) || differs(a.Service) || slices.ContainsFunc(a.Joins, func(j Join) bool { return differs(j.ToService) })
	})
}

// answerOf returns the answer that a join is in, nil if it is in none that is known. It compares times of one router only.
func (s *stream) answerOf(j Join) *Answer {
	var out *Answer
	for i := range s.answers {
		a := &s.answers[i]
		if a.ID != j.ID || a.Router != j.Router || !j.within && (a.After != j.After || len(a.Joins) > 0) {
			continue
		}
		switch {
		case a.NoLine:
			if out == nil || out.NoLine {
				out = a
			}
		case a.missingJoins() == 0 || a.Time.Before(j.Time) || a.begun().After(j.Time):
		case out != nil:
			s.entangled = true
		default:
			out = a
		}
	}
	return out
}

// compareAnswers orders answers by the events that they begin behind, and by time where these do not tell.
func compareAnswers(a, b Answer) int {
	switch {
	case a.begins() != b.begins():
		if a.begins() {
			return -1
		}
		return 1
	case before(a.After, b.After):
		return -1
	case before(b.After, a.After):
		return 1
	}
	return a.Time.Compare(b.Time)
}

// beginnings returns the answers that begin the stream and have sent events, or may have: more than one if the caller
// has repeated its request.
func (s *stream) beginnings() []Answer {
	var out []Answer
	for _, a := range s.answers {
		if a.begins() && (a.Runs > 0 || a.unclear) {
			out = append(out, a)
		}
	}
	return out
}

// runs returns the number of runs that the lines tell of, at least one before those that were taken up.
func (s *stream) runs() int {
	n := 0
	for _, a := range s.answers {
		n += max(a.Runs, len(a.Joins))
		if a.NoLine && a.begins() {
			n++
		}
	}
	if n > 0 && len(s.beginnings()) == 0 {
		n++
	}
	return n
}
