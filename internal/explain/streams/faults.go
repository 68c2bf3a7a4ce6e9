package streams

import (
	"fmt"
	"slices"
	"strings"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// Kind is a way in which a stream is out of order.
type Kind string

// The kinds.
const (
	// TwoVersions means that runs of a stream are of two versions.
	TwoVersions Kind = "two-versions"
	// WrongEvent means that a run does not go on behind the last event that was sent before.
	WrongEvent Kind = "wrong-event"
	// Repeated means that events come again behind a join, Skipped that ids are left out there.
	Repeated Kind = "repeated"
	Skipped  Kind = "skipped"
	// EndsDiffer means that a stream is complete at one event by one answer, and goes on behind it by another.
	EndsDiffer Kind = "ends-differ"
	// TakenUpAfterEnd means that a caller takes a stream up behind an earlier event than that of a whole end.
	TakenUpAfterEnd Kind = "taken-up-after-end"
)

// kinds has all kinds in the order of reports.
var kinds = []Kind{TwoVersions, WrongEvent, Repeated, Skipped, EndsDiffer, TakenUpAfterEnd}

// maxFaultsAlike bounds the faults of a kind that are listed of a stream. Callers may take a stream up many times.
const maxFaultsAlike = 5

// Fault is a place at which a stream is out of order.
type Fault struct {
	Kind Kind   `json:"kind"`
	What string `json:"what"`
	// Suspected is set if something explains the lines that is no fault, or if other lines are missing.
	Suspected bool `json:"suspected"`
}

// checker looks for faults of a stream.
type checker struct {
	*stream
	// incomplete is set if answers may be missing in the logs.
	incomplete bool
	seen       *sightings
	// services is set if runs are of different services.
	services bool
	faults   []Fault
	leftOut  int
}

// check returns the stream's faults, and the number of others that are left out.
func (s *stream) check(incomplete bool, seen *sightings) ([]Fault, int) {
	c := checker{stream: s, incomplete: incomplete, seen: seen, services: ofServices(s.answers)}
	for _, a := range s.answers {
		c.checkJoins(a)
	}
	c.checkVersions()
	c.checkPlaces()
	c.checkEnds()
	c.checkEmpty()
	c.checkEarlyEnds()
	return c.faults, c.leftOut
}

func (c *checker) add(k Kind, suspected bool, format string, args ...any) {
	alike := 0
	for _, f := range c.faults {
		if f.Kind == k && f.Suspected == suspected {
			alike++
		}
	}
	if alike >= maxFaultsAlike {
		c.leftOut++
		return
	}
	c.faults = append(c.faults, Fault{Kind: k, Suspected: suspected, What: fmt.Sprintf(format, args...)})
}

// checkJoins checks the joins within an answer.
func (c *checker) checkJoins(a Answer) {
	for i, j := range a.Joins {
		if j.within && j.FromVersion != j.ToVersion {
			c.add(TwoVersions, j.FromVersion == "" || j.ToVersion == "", "%s joins version %s of %s and version %s of %s behind event %s in one answer (%s)",
				j.Router, orNone(j.FromVersion), j.From, runText(j.ToVersion, j.ToService, c.services), j.To, j.After, j.Evidence)
		}
		if n, ok := j.skipped(); ok && n < 0 {
			c.add(Repeated, false, "%s goes on behind event %s with %s at %s", j.Router, j.After, j.First, j.To)
		} else if n > 0 {
			c.add(Skipped, !c.consecutive(), "%s goes on behind event %s with %s at %s", j.Router, j.After, j.First, j.To)
		}
		if i > 0 {
			c.checkFollows(a, a.Joins[i-1], j)
		}
	}
	if n := len(a.Joins); n > 0 && !a.NoLine {
		last := a.Joins[n-1]
		// The events behind a join are not sent if the caller leaves at that moment.
		if a.LastEvent != last.After && before(a.LastEvent, last.First) {
			c.add(WrongEvent, c.entangled, "%s ends the answer at event %s, though its last run began with %s", a.Router, a.LastEvent, last.First)
		}
		if a.missingJoins() == 0 && a.Process != last.To {
			c.add(WrongEvent, c.entangled, "%s has the last run at %s, though the last join is to %s", a.Router, a.Process, last.To)
		}
	}
}

// consecutive reports whether the engine is known to number the stream's events without leaving out ids.
func (c *checker) consecutive() bool {
	known := false
	for _, a := range c.answers {
		atJoins := int64(0)
		for _, j := range a.Joins {
			n, _ := j.skipped()
			atJoins += max(n, 0)
		}
		if a.SkippedIDs > atJoins {
			return false
		}
		known = known || a.Events > a.Runs
	}
	return known
}

// checkFollows checks that a join follows the run that began at the join before.
func (c *checker) checkFollows(a Answer, previous, j Join) {
	switch {
	case before(j.After, previous.First):
		c.add(WrongEvent, c.entangled || a.NoLine, "%s goes on behind event %s at %s, though the run before began with %s", j.Router, j.After, j.To, previous.First)
	case j.From != previous.To && !a.NoLine && a.missingJoins() == 0:
		c.add(WrongEvent, c.entangled, "%s goes on behind event %s from %s, though the run before is that of %s", j.Router, j.After, j.From, previous.To)
	}
}

// checkVersions compares the version of each answer with that of the answers that began the stream, or with that of the
// first one that is known to have taken it up.
func (c *checker) checkVersions() {
	var known []Answer
	var versions []string
	for _, a := range c.beginnings() {
		if v, ok := a.firstVersion(); ok {
			known, versions = append(known, a), append(versions, v)
		}
		for _, j := range a.Joins {
			versions = append(versions, j.ToVersion)
		}
		if a.Runs > 0 {
			versions = append(versions, a.Version)
		}
	}
	for _, a := range c.answers {
		v, ok := a.firstVersion()
		if a.begins() || !ok {
			continue
		}
		if len(known) == 0 {
			known, versions = []Answer{a}, append(versions, v)
			c.checkConcluded(a, v)
			continue
		}
		if slices.Contains(versions, v) {
			continue
		}
		first := known[0]
		began, how := c.firstVersionText(first), "began it"
		if !first.begins() {
			how = "took it up behind event " + first.After
		}
		c.add(TwoVersions, v == "" || slices.Contains(versions, ""), "%s takes it up behind event %s at %s, while %s %s at %s",
			a.Router, a.After, c.firstVersionText(a), first.Router, how, began)
	}
}

// checkConcluded checks an answer that took the stream up at a version that its router had concluded without a record, while
// no line tells at which version the stream began. The conclusion is wrong if it was one of the others.
func (c *checker) checkConcluded(a Answer, version string) {
	if a.evidence() == forward.JoinEvidence(streamversion.EvidenceRecord) {
		return
	}
	if others := c.seen.others(begun{a.route, a.firstService(), version, a.config, a.firstEvent()}); len(others) > 0 {
		c.add(TwoVersions, true, "%s takes it up behind event %s at %s, while no line tells the version that began it, and others of its route or service began at version %s",
			a.Router, a.After, c.firstVersionText(a), strings.Join(others, ", "))
	}
}

// firstVersionText names the version and the target of an answer's first run, and the evidence if it was taken up.
func (c *checker) firstVersionText(a Answer) string {
	v, _ := a.firstVersion()
	process, evidence := a.Process, ""
	if len(a.Joins) > 0 {
		j := a.Joins[0]
		if process = j.To; j.within {
			process = j.From
		} else {
			evidence = " (" + string(j.Evidence) + ")"
		}
	}
	text := "version " + runText(v, a.firstService(), c.services)
	if process != "" {
		text += " of " + process
	}
	return text + evidence
}

// checkPlaces checks that each event behind which the stream was taken up has been sent.
func (c *checker) checkPlaces() {
	if len(c.beginnings()) == 0 || c.truncated {
		return
	}
	// A caller that repeated its request may have got events by a router that was killed.
	repeated := len(c.beginnings()) < len(slices.DeleteFunc(slices.Clone(c.answers), func(a Answer) bool { return !a.begins() }))
	for i, t := range c.answers {
		_, numeric := number(t.After)
		if t.begins() || !numeric || len(t.Joins) == 0 && t.Runs == 0 {
			continue
		}
		furthest, sent := Answer{}, false
		for k, a := range c.answers {
			if i == k || a.Router == t.Router && !a.NoLine && !t.NoLine && a.begun().After(t.begun()) {
				continue
			}
			if sent = sent || a.maySend(t.After); before(furthest.LastEvent, a.LastEvent) || furthest.Router == "" {
				furthest = a
			}
		}
		if !sent {
			c.add(WrongEvent, c.incomplete || repeated, "%s takes it up behind event %s, which no answer has sent: %s of %s got furthest, to %s",
				t.Router, t.After, furthest.ID, furthest.Router, orNone(furthest.LastEvent))
		}
	}
}

// maySend reports whether an answer may have sent an event.
func (a Answer) maySend(event string) bool {
	if a.placeUnknown() {
		return true
	}
	if !a.begins() && !before(a.After, event) {
		return false
	}
	if _, numeric := number(a.LastEvent); a.unclear || !numeric && a.LastEvent != "" {
		return true
	}
	return a.LastEvent != "" && !before(a.LastEvent, event)
}

// checkEnds checks that no answer has another end than one that was taken for whole. Answers that both began the stream
// are not compared: the caller has repeated its request.
func (c *checker) checkEnds() {
	repeated := len(c.beginnings()) > 1
	for i, w := range c.answers {
		if !w.whole() {
			continue
		}
		var others []string
		for k, a := range c.answers {
			if i == k || a.NoLine || w.begins() && a.begins() || a.LastEvent == "" {
				continue
			}
			switch differs := a.LastEvent != w.LastEvent; {
			case differs && a.whole() && i < k:
				others = append(others, fmt.Sprintf("%s ended it whole at %s", a.Router, a.LastEvent))
			case !a.whole() && before(w.LastEvent, a.LastEvent):
				others = append(others, fmt.Sprintf("%s has sent events to %s", a.Router, a.LastEvent))
			}
		}
		if len(others) > 0 {
			c.add(EndsDiffer, repeated, "%s ended it whole at event %s, while %s", w.Router, w.LastEvent, strings.Join(others, ", and "))
		}
	}
}

// checkEmpty checks that no answer has ended the stream without events before its end. An engine that sends such an
// answer may mean something else by it.
func (c *checker) checkEmpty() {
	for _, w := range c.answers {
		i := slices.IndexFunc(c.answers, func(a Answer) bool { return before(w.After, a.LastEvent) })
		if w.empty() && i >= 0 {
			a := c.answers[i]
			c.add(EndsDiffer, true, "%s ended it with status %d and no events behind event %s, while %s has sent events to %s", w.Router, w.Status, w.After, a.Router, a.LastEvent)
		}
	}
}

// checkEarlyEnds checks that no caller takes up what it should have by a whole end. Which answer came first is told by
// the events that callers name, or by the clock if they are of one router.
func (c *checker) checkEarlyEnds() {
	for i, w := range c.answers {
		if !w.whole() || w.Undelivered {
			continue
		}
		for k, t := range c.answers {
			later := w.begins() || before(w.After, t.After)
			if t.Router == w.Router && !t.NoLine {
				later = t.begun().After(w.Time) || later && t.Time.After(w.Time)
			}
			if i != k && !t.begins() && !t.placeUnknown() && later && before(t.After, w.LastEvent) {
				c.add(TakenUpAfterEnd, true, "%s ended it whole at event %s, and its caller takes it up at %s behind event %s", w.Router, w.LastEvent, t.Router, t.After)
			}
		}
	}
}
