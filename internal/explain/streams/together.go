package streams

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/explain"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// sameMoment is the longest time between the lines of answers that ended together.
const sameMoment = 20 * time.Millisecond

// UnframedEnd is an answer that ended with its connection and counts as whole.
type UnframedEnd struct {
	Time       time.Time           `json:"time"`
	Router     string              `json:"router"`
	Target     string              `json:"target"`
	ID         string              `json:"id"`
	LastEvent  string              `json:"last_event,omitempty"`
	CompleteBy httptarget.Evidence `json:"complete_by"`
}

// newUnframedEnd returns the end that a line tells of, if it does.
func newUnframedEnd(l explain.Line) (UnframedEnd, bool) {
	e := UnframedEnd{
		Time: l.Time.UTC(), Router: l.Router, Target: l.Text("target"), ID: l.Text("id"), LastEvent: l.Text("last_event"),
		CompleteBy: httptarget.Evidence(l.Text("complete_by")),
	}
	return e, l.Text("framing") == string(httptarget.Unframed) && lifecycle.End(l.Text("end")) == lifecycle.Answered && e.Target != ""
}

// EndedTogether has answers of one target that ended at one router in the same moment. Some may be cut.
type EndedTogether []UnframedEnd

func (t EndedTogether) text() string {
	var answers []string
	for _, e := range t[:min(len(t), maxFaultsAlike)] {
		answers = append(answers, fmt.Sprintf("%s at event %s (%s)", e.ID, orNone(e.LastEvent), orNone(string(e.CompleteBy))))
	}
	if n := len(t) - len(answers); n > 0 {
		answers = append(answers, fmt.Sprintf("and %d others", n))
	}
	return fmt.Sprintf("  %s  %s  %d of %s: %s", clock(t[0].Time), t[0].Router, len(t), t[0].Target, strings.Join(answers, ", "))
}

// endedTogether returns the ends of one target at one router that are less than sameMoment apart, two or more, the
// earliest first.
func endedTogether(ends []UnframedEnd) []EndedTogether {
	slices.SortFunc(ends, func(a, b UnframedEnd) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Target, b.Target), a.Time.Compare(b.Time), cmp.Compare(a.ID, b.ID))
	})
	ends = slices.Compact(ends)
	var out []EndedTogether
	for from, i := 0, 1; i <= len(ends); i++ {
		if i < len(ends) && ends[i].Router == ends[from].Router && ends[i].Target == ends[from].Target && ends[i].Time.Sub(ends[i-1].Time) < sameMoment {
			continue
		}
		if i-from > 1 {
			out = append(out, ends[from:i])
		}
		from = i
	}
	slices.SortStableFunc(out, func(a, b EndedTogether) int { return a[0].Time.Compare(b[0].Time) })
	return out
}

// togetherText returns answers that ended together as lines of text, of a number of them.
func togetherText(list []EndedTogether, total int) []string {
	if total == 0 {
		return nil
	}
	out := []string{"", fmt.Sprintf("suspected: answers without a length that ended together and count as whole: %d times, %d not listed", total, total-len(list))}
	for _, t := range list {
		out = append(out, t.text())
	}
	return out
}
