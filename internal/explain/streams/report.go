package streams

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/explain/routerlog"
)

// Stream is a stream that is out of order, or may be.
type Stream struct {
	// ID is that of the request that began it.
	ID      string   `json:"id"`
	Faults  []Fault  `json:"faults"`
	LeftOut int      `json:"faults_left_out"`
	Answers []Answer `json:"answers"`
}

func (s Stream) suspected() bool {
	return !slices.ContainsFunc(s.Faults, func(f Fault) bool { return !f.Suspected })
}

func (s Stream) time() time.Time {
	return slices.MinFunc(s.Answers, func(a, b Answer) int { return a.Time.Compare(b.Time) }).Time
}

func (s Stream) text() []string {
	out := []string{"stream " + s.ID}
	for _, f := range s.Faults {
		word := ""
		if f.Suspected {
			word = ", suspected"
		}
		out = append(out, fmt.Sprintf("  %s%s: %s", f.Kind, word, f.What))
	}
	if s.LeftOut > 0 {
		out = append(out, fmt.Sprintf("  and %d others of these kinds", s.LeftOut))
	}
	services := ofServices(s.Answers)
	for _, a := range s.Answers {
		out = append(out, a.text(services)...)
	}
	return out
}

// KindCount counts the streams with a kind of fault.
type KindCount struct {
	Kind    Kind `json:"kind"`
	Streams int  `json:"streams"`
	// Suspected is the number of those for which it is suspected only, LeftOut that of those that are not listed.
	Suspected int `json:"suspected"`
	LeftOut   int `json:"left_out"`
}

// Report says which streams were out of order, in the form shown to operators.
type Report struct {
	Counts Counts      `json:"counts"`
	Kinds  []KindCount `json:"kinds"`
	// Streams are those with faults, those that are suspected only last.
	Streams []Stream `json:"streams"`
	// Together has answers without a length that ended together, TogetherCount how often such did.
	Together      []EndedTogether `json:"ended_together"`
	TogetherCount int             `json:"ended_together_count"`
	Gaps          Gaps            `json:"gaps"`
}

// Report returns the report. Call it once, after all lines were added.
func (s *Search) Report(u routerlog.Unread) Report {
	for router, n := range s.withoutRuns {
		if !s.writesRuns[router] {
			s.gaps.Older += n
		}
	}
	s.gaps.addLogs(s.logs, u)
	logsIncomplete := s.gaps.Incomplete
	s.merge()
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(s.streams)) {
		p := s.streams[id]
		p.assemble()
		for i := range p.answers {
			a := &p.answers[i]
			a.Undelivered = s.undelivered[answerKey{a.Router, a.ID}]
		}
		s.gaps.addStream(id, p)
		if p.runs() > 1 {
			s.counts.SeveralRuns++
		}
		ids = append(ids, id)
	}
	var faulty []Stream
	for _, id := range ids {
		p := s.streams[id]
		if faults, leftOut := p.check(logsIncomplete, s.seen); len(faults) > 0 {
			faulty = append(faulty, Stream{id, faults, leftOut, p.answers})
		}
	}
	slices.SortStableFunc(faulty, func(a, b Stream) int {
		if a.suspected() != b.suspected() {
			return map[bool]int{false: -1, true: 1}[a.suspected()]
		}
		return cmp.Or(a.time().Compare(b.time()), cmp.Compare(a.ID, b.ID))
	})
	out := Report{Counts: s.counts, Gaps: s.gaps}
	out.Kinds, out.Streams = selectStreams(faulty, s.limit)
	together := endedTogether(s.unframedEnds)
	out.Together, out.TogetherCount = together[:min(len(together), s.limit)], len(together)
	return out
}

// selectStreams counts streams by kind of fault, and returns those to list: as many as limit of each kind.
func selectStreams(faulty []Stream, limit int) ([]KindCount, []Stream) {
	counts, list := []KindCount{}, []Stream{}
	for _, k := range kinds {
		counts = append(counts, KindCount{Kind: k})
	}
	for _, s := range faulty {
		listed := false
		for _, c := range counts {
			listed = listed || c.Streams < limit && slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == c.Kind })
		}
		if listed {
			list = append(list, s)
		}
		for i := range counts {
			c := &counts[i]
			of := Stream{Faults: slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.Kind != c.Kind })}
			if len(of.Faults) == 0 {
				continue
			}
			if c.Streams++; of.suspected() {
				c.Suspected++
			}
			if !listed {
				c.LeftOut++
			}
		}
	}
	return counts, list
}

// Text returns the report as lines of text.
func (r Report) Text() []string {
	c := r.Counts
	out := []string{
		fmt.Sprintf("streams: %d begun, %d requests to take one up, %d streams of more than one run", c.Begun, c.TakeUps, c.SeveralRuns),
		fmt.Sprintf("joins of runs: %d; versions known by: %s; processes by: %s", c.Joins, countsText(c.Evidence), countsText(c.ProcessBy)),
	}
	if c.SkippedIDs > 0 {
		out = append(out, fmt.Sprintf("answers whose events leave out ids: %d", c.SkippedIDs))
	}
	out = append(out, "", fmt.Sprintf("%-20s %10s %10s", "out of order", "streams", "suspected"))
	for _, k := range r.Kinds {
		line := fmt.Sprintf("%-20s %10d %10d", k.Kind, k.Streams-k.Suspected, k.Suspected)
		if k.LeftOut > 0 {
			line += fmt.Sprintf("   %d not listed", k.LeftOut)
		}
		out = append(out, line)
	}
	if out = append(out, ""); len(r.Streams) == 0 {
		out = append(out, "no line shows a stream that is out of order")
	}
	for _, s := range r.Streams {
		out = append(out, s.text()...)
	}
	out = append(out, togetherText(r.Together, r.TogetherCount)...)
	return append(out, r.Gaps.text()...)
}

// countsText formats numbers by name.
func countsText[K ~string](counts map[K]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%d %s", counts[k], orNone(string(k))))
	}
	return orNone(strings.Join(out, ", "))
}
