package explain

import "fmt"

// cause returns the most likely cause of the request's outcome and the log lines that support it.
func (t *Timeline) cause() (string, []Line) {
	end := t.endLine()
	text, because := t.lastCause(end)
	reason, exchange := end.Text("reason"), end.Text("exchange_end")
	if reason != "" && exchange != reason && targetFaults[exchange] != "" {
		// The request had been sent before it found no other target.
		text = t.targetFault(exchange) + "; then " + text
	}
	return text, because
}

// lastCause returns what ended the request, whatever had happened to it before.
func (t *Timeline) lastCause(end Line) (string, []Line) {
	if end.Message == "" {
		return "no line says how it ended: it may still run, or its router was lost with it", t.restartLine()
	}
	reason, organisation := end.Text("reason"), end.Text("organisation")
	ofOrganisation := func(l Line) bool { return l.Text("organisation") == organisation }
	switch reason {
	case "":
		return t.lateCause(end)
	case "quarantined":
		sameContent := func(l Line) bool { return l.Text("content") == end.Text("content") }
		if part := end.Text("part"); part != "" {
			return "targets ended each time they began an answer to a request with the part " + part + " in its prompt",
				nonEmpty(t.lastBefore("part held back", end.Router, end.Time, sameContent))
		}
		return "targets ended each time they ran the same request", nonEmpty(t.lastBefore("request held back", end.Router, end.Time, sameContent))
	case "unknown-version":
		return "no router knew which version of the service began the stream that it takes up", nonEmpty(t.lastBefore("targets known", end.Router, end.Time, nil))
	case "no-target-of-version":
		return "no target of the version that began the stream took requests", nonEmpty(t.lastBefore("targets known", end.Router, end.Time, nil))
	case "queue-full":
		return "no engine had room for it in time" + t.organisationOutcomes(), nil
	case "cannot-finish":
		return "no engine that was considered was expected to end its answer before its deadline", t.firstAfter("streams bounded", end)
	case "over-share", "router-busy", "router-overdue", "organisation-queue-full":
		text := map[string]string{
			"over-share":              "its organisation had had more than its share while another's requests waited",
			"router-overdue":          "its connection waited too long for the router's processor",
			"router-busy":             "the router's processor served no more of its organisation",
			"organisation-queue-full": "too many requests of its organisation waited at this router",
		}[reason]
		return text + t.organisationOutcomes(), nonEmpty(t.lastBefore("organisation throttled", end.Router, end.Time, ofOrganisation))
	case "unknown-key", "no-route":
		return fmt.Sprintf("the configuration in force at this router, version %.0f, did not know it; the store had last been known to hold no newer one %.0f ms before",
				end.Number("config"), end.Number("config_age_ms")),
			nonEmpty(t.lastBefore("configuration in force", end.Router, end.Time, nil), t.lastBefore("copy of the store is old", end.Router, end.Time, nil), t.lastBefore("store came back older", end.Router, end.Time, nil))
	case "not-ready":
		return "the router had no configuration that it could rely on",
			nonEmpty(t.lastBefore("box was suspended", end.Router, end.Time, nil), t.lastBefore("router runs", end.Router, end.Time, nil))
	case "router-leaving":
		return "the router was stopping, and the request might have outlasted it", nonEmpty(t.stopLine(end))
	case "no-target":
		return "the service had no target", nonEmpty(t.lastBefore("targets known", end.Router, end.Time, nil), t.lastBefore("target says that it leaves", end.Router, end.Time, nil), t.lastBefore("store lost", end.Router, end.Time, nil))
	case "targets-resting":
		return "all targets of the service had turned requests away and asked for a rest, or were left alone for a moment",
			nonEmpty(t.lastBefore("target asks for a rest", end.Router, end.Time, nil), t.lastBefore("targets left alone that turn requests away", end.Router, end.Time, nil))
	case "target-broken", "target-invalid", "target-restarted", "target-silent", "target-unreachable", "target-failed", "target-refused":
		return t.targetFault(reason), t.firstAfter("targets known", end)
	case "improper-request":
		return "what its caller sent is no proper HTTP request", nil
	case "caller-gone":
		return fmt.Sprintf("the caller left after %.0f ms", end.Number("took_ms")), nil
	case "router-stopped":
		stop := t.stopLine(end)
		if stop.Message == "" {
			return "the router closed the connection, and no line says that it was stopping", nil
		}
		return "the router closed the connection, as the time of its planned stop was over", nonEmpty(stop)
	case "router-failed":
		return "the router failed while it served the request", nil
	case "caller-stalled":
		return "the engine's answer had ended, and the caller took no more of it for too long", nil
	case "deadline":
		return fmt.Sprintf("its time was over after %.0f ms", end.Number("took_ms")), nil
	}
	return reason, nil
}

// lateCause returns why an answered request missed its goal for the time to the first byte, if it
// did. It checks for retries first, then for time in the queue, and otherwise blames the engine's
// prefill backlog.
func (t *Timeline) lateCause(end Line) (string, []Line) {
	first, goal := end.Number("first_ms"), end.Number("goal_ms")
	switch {
	case goal <= 0 || first <= goal:
		return "none: it was answered in time, as far as its router can tell", nil
	case end.Number("sends") > 1:
		return fmt.Sprintf("late, %.0f ms for a goal of %.0f: it was sent to %.0f targets", first, goal, end.Number("sends")), nil
	case end.Number("waited_ms")*2 > first:
		return fmt.Sprintf("late, %.0f ms for a goal of %.0f: it waited %.0f ms for room", first, goal, end.Number("waited_ms")), nil
	}
	return fmt.Sprintf("late, %.0f ms for a goal of %.0f: its engine had %.0f prompt tokens to read before it, %.0f of them its own",
		first, goal, end.Number("unread"), end.Number("miss")), nil
}

// targetFaults says how a target failed, by the reason that routers log.
var targetFaults = map[string]string{
	"target-broken":      "target %s broke off its answer",
	"target-invalid":     "target %s sent something that is no answer to it",
	"target-restarted":   "target %s ended and started again",
	"target-silent":      "target %s showed no sign for too long",
	"target-unreachable": "no connection to target %s came about",
	"target-failed":      "target %s answered with a failure of its own",
	"target-refused":     "target %s said that it did not run it",
}

// targetFault describes how the target failed and how many other requests failed there at about
// the same time.
func (t *Timeline) targetFault(reason string) string {
	out := fmt.Sprintf(targetFaults[reason], t.target())
	if !t.neighbours.counted {
		return out
	}
	others := 0
	for _, n := range t.neighbours.reasonsAtTarget {
		others += n
	}
	if others == 0 {
		return out + "; nothing else failed there within two seconds"
	}
	return fmt.Sprintf("%s, as for %d others within two seconds %v", out, others, t.neighbours.reasonsAtTarget)
}

// organisationOutcomes says how many of the organisation's other requests at the same router were
// answered or refused at about the same time. It is empty if no neighbours were counted.
func (t *Timeline) organisationOutcomes() string {
	n := t.neighbours.outcomesOfOrganisation
	if !t.neighbours.counted {
		return ""
	}
	return fmt.Sprintf("; of its organisation's others here within two seconds %d were answered and %d refused", n["answered"], n["refused"])
}

// firstAfter returns the first line with a message that the request's router wrote after the
// request ended, provided that it came soon enough to be related.
func (t *Timeline) firstAfter(message string, end Line) []Line {
	for _, l := range t.states.lines {
		if l.Message == message && l.Router == end.Router && l.Time.After(end.Time) && l.Time.Sub(end.Time) < 5*NeighbourWindow {
			return []Line{l}
		}
	}
	return nil
}

// stopLine returns the line by which the router that wrote the request's end began a planned stop, unless it has started
// again since.
func (t *Timeline) stopLine(end Line) Line {
	stop := t.lastBefore("planned stop begins", end.Router, end.Time, nil)
	if started := t.lastBefore("router runs", end.Router, end.Time, nil); !started.Time.Before(stop.Time) {
		return Line{}
	}
	return stop
}

// restartLine returns the next start of the router that wrote the request's last line. For a
// request without a final line it shows that the router crashed.
func (t *Timeline) restartLine() []Line {
	last := t.RequestLines[len(t.RequestLines)-1]
	for _, l := range t.states.lines {
		if l.Message == "router runs" && l.Router == last.Router && l.Time.After(last.Time) {
			return []Line{l}
		}
	}
	return nil
}

// nonEmpty returns those of the lines that are not empty.
func nonEmpty(list ...Line) []Line {
	var out []Line
	for _, l := range list {
		if l.Message != "" {
			out = append(out, l)
		}
	}
	return out
}
