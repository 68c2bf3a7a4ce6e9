// Package streams finds in routers' logs which streams were out of order: joined from runs of two versions or behind the
// wrong event, with events that come twice or are missing at a join, or with ends that contradict each other. It follows
// each stream over all routers by the ids of requests and events, since clocks of boxes differ.
package streams

import (
	"maps"
	"slices"

	"github.com/stepcroft/stepcroft/internal/explain"
	"github.com/stepcroft/stepcroft/internal/explain/routerlog"
	"github.com/stepcroft/stepcroft/internal/forward"
)

const (
	// maxLines bounds the lines about streams that are kept in memory, and again those about their beginnings. A stream of
	// one run takes none.
	maxLines = 100_000
	// maxStreamLines bounds those of one stream, whose answers are compared with each other.
	maxStreamLines = 250
)

// Counts are those of all streams.
type Counts struct {
	// Begun is the number of answers that began a stream, TakeUps that of requests for the rest of one.
	Begun   int `json:"begun"`
	TakeUps int `json:"take_ups"`
	// SeveralRuns is the number of streams of more than one run.
	SeveralRuns int `json:"several_runs"`
	// SkippedIDs is the number of answers whose events leave out ids.
	SkippedIDs int                             `json:"answers_with_skipped_ids"`
	Joins      int                             `json:"joins"`
	Evidence   map[forward.JoinEvidence]int    `json:"joins_by_evidence"`
	ProcessBy  map[forward.ProcessEvidence]int `json:"joins_by_process"`
}

// answerKey names an answer.
type answerKey struct{ router, id string }

// Search finds the streams that are out of order. Pass each line to Add, then each line with MessageRequest or
// MessageBegan to AddBeginning, and call Report. Use New to create one.
type Search struct {
	limit int
	// streams holds those of several runs and those that were taken up, by the id of the request that began them, and
	// lines is the number of lines that are kept of them.
	streams     map[string]*stream
	lines       int
	undelivered map[answerKey]bool
	// unframedEnds has the answers that ended with their connections and count as whole.
	unframedEnds []UnframedEnd
	// writesRuns has the routers whose lines have runs, withoutRuns the number of take-ups, by router, whose lines have none
	// though they may have had events.
	writesRuns  map[string]bool
	withoutRuns map[string]int
	counts      Counts
	gaps        Gaps
	logs        routerlog.Logs
	seen        *sightings
}

// New returns a search that lists at most limit streams of each kind of fault.
func New(limit int) *Search {
	return &Search{
		limit: limit, streams: map[string]*stream{}, undelivered: map[answerKey]bool{}, writesRuns: map[string]bool{}, withoutRuns: map[string]int{}, logs: routerlog.New(), gaps: newGaps(limit), seen: newSightings(),
		counts: Counts{Evidence: map[forward.JoinEvidence]int{}, ProcessBy: map[forward.ProcessEvidence]int{}},
	}
}

// Add notes a line.
func (s *Search) Add(l explain.Line) {
	s.logs.Add(l)
	switch l.Message {
	case MessageRequest:
		s.addRequest(newAnswer(l))
		s.addUnframedEnd(l)
	case msgJoin:
		j := newJoin(l)
		s.counts.Joins++
		s.counts.Evidence[j.Evidence]++
		s.counts.ProcessBy[j.ProcessBy]++
		if p := s.keep(j.stream, 1); p != nil {
			p.joins = append(p.joins, j)
		}
	case MessageBegan:
		b := newBeginning(l)
		s.noteSeen(begun{service: b.Service, version: b.Version, at: b.Time})
	case msgUndelivered:
		if len(s.undelivered) < maxLines {
			s.undelivered[answerKey{l.Router, l.Text("id")}] = true
		}
	case routerlog.MessageDropped:
		s.gaps.Dropped += int(l.Number("lines"))
	case routerlog.MessageSums:
		s.gaps.WithoutLine += int(l.Number("without_line"))
	}
}

func (s *Search) addRequest(a Answer) {
	if a.SkippedIDs > 0 {
		s.counts.SkippedIDs++
	}
	if a.Runs > 0 {
		s.writesRuns[a.Router] = true
	}
	if a.begins() {
		if a.Runs > 0 {
			s.counts.Begun++
			s.noteSeen(begun{a.route, a.Service, a.Version, a.config, a.begun()})
		}
		if a.Runs > 1 && s.streams[a.ID] == nil {
			s.keep(a.ID, 1)
		}
		return
	}
	s.counts.TakeUps++
	if a.unclear {
		s.withoutRuns[a.Router]++
	}
	if p := s.streams[a.stream()]; p != nil && p.countTry(a) {
		return
	}
	if p := s.keep(a.stream(), 1); p != nil {
		p.answers = append(p.answers, a)
	}
}

// addUnframedEnd notes a line of an answer that ended with its connection.
func (s *Search) addUnframedEnd(l explain.Line) {
	e, ok := newUnframedEnd(l)
	switch {
	case !ok:
	case len(s.unframedEnds) >= maxLines:
		s.gaps.LeftOut++
	default:
		s.unframedEnds = append(s.unframedEnds, e)
	}
}

func (s *Search) noteSeen(b begun) {
	if !s.seen.add(b) {
		s.gaps.LeftOut++
	}
}

// keep returns the stream to keep a line of, nil if it has no id or there are too many lines, as many as a share times
// the bounds.
func (s *Search) keep(id string, share int) *stream {
	if id == "" {
		s.gaps.WithoutID++
		return nil
	}
	p := s.streams[id]
	if s.lines >= share*maxLines || p != nil && p.lines >= share*maxStreamLines {
		s.gaps.LeftOut++
		if p != nil {
			p.truncated = true
		}
		return nil
	}
	s.lines++
	if p == nil {
		p = &stream{}
		s.streams[id] = p
	}
	p.lines++
	return p
}

// AddBeginning notes a line about a request that began one of the streams. It needs a second pass over the lines with
// MessageRequest and MessageBegan: most streams are of one run, and nothing is kept of them.
func (s *Search) AddBeginning(l explain.Line) {
	id := l.Text("id")
	if l.Text("after") != "" || s.streams[id] == nil {
		return
	}
	switch l.Message {
	case MessageRequest:
		if p := s.keep(id, 2); p != nil {
			p.answers = append(p.answers, newAnswer(l))
		}
	case MessageBegan:
		if p := s.keep(id, 2); p != nil {
			p.began = append(p.began, newBeginning(l))
		}
	}
}

// merge joins what callers took up by the id of an earlier take-up with the stream that it is of.
func (s *Search) merge() {
	of := map[string]string{}
	ids := slices.Sorted(maps.Keys(s.streams))
	for _, id := range ids {
		for _, a := range s.streams[id].answers {
			if !a.begins() && a.ID != id {
				of[a.ID] = id
			}
		}
	}
	for _, id := range ids {
		p := s.streams[id]
		root, seen := id, map[string]bool{}
		for of[root] != "" && !seen[root] {
			seen[root] = true
			root = of[root]
		}
		if to := s.streams[root]; to != nil && to != p && len(p.began) == 0 && !slices.ContainsFunc(p.answers, Answer.begins) {
			to.answers, to.joins = append(to.answers, p.answers...), append(to.joins, p.joins...)
			to.truncated = to.truncated || p.truncated
			delete(s.streams, id)
		}
	}
}
