package explain

import "fmt"

// cause returns the most likely cause of the request's outcome and the log lines that support it.
func (s *Story) cause() (string, []Line) {
	end := s.end()
	if end.What == "" {
		return "no line says how it ended: it may still run, or its router was lost with it", s.lostRouter()
	}
	reason, organisation := end.text("reason"), end.text("organisation")
	ofOrganisation := func(l Line) bool { return l.text("organisation") == organisation }
	switch reason {
	case "":
		return s.late(end)
	case "quarantined":
		held := s.last("request held back", end.Router, end.Time, func(l Line) bool { return l.text("content") == end.text("content") })
		return "targets ended each time they ran the same request", some(held)
	case "queue-full":
		return "no engine had room for it in time" + s.besides(), nil
	case "over-share", "router-busy", "router-overdue", "organisation-queue-full":
		why := map[string]string{
			"over-share":              "its organisation had had more than its share while another's requests waited",
			"router-overdue":          "its connection waited too long for the router's processor",
			"router-busy":             "the router's processor served no more of its organisation",
			"organisation-queue-full": "too many requests of its organisation waited at this router",
		}[reason]
		return why + s.besides(), some(s.last("organisation throttled", end.Router, end.Time, ofOrganisation))
	case "unknown-key", "no-route":
		return "the configuration in force at this router did not know it",
			some(s.last("configuration in force", end.Router, end.Time, nil), s.last("store came back older", end.Router, end.Time, nil))
	case "not-ready":
		return "the router had no configuration that it could rely on",
			some(s.last("box was suspended", end.Router, end.Time, nil), s.last("router runs", end.Router, end.Time, nil))
	case "router-leaving":
		return "the router was stopping, and the request might have outlasted it", some(s.last("planned stop begins", end.Router, end.Time, nil))
	case "no-target":
		return "the service had no target", some(s.last("targets known", end.Router, end.Time, nil), s.last("target says that it leaves", end.Router, end.Time, nil), s.last("store lost", end.Router, end.Time, nil))
	case "targets-resting":
		return "all targets of the service had turned requests away and asked for a rest, or were left alone for a moment",
			some(s.last("target asks for a rest", end.Router, end.Time, nil), s.last("targets left alone that turn requests away", end.Router, end.Time, nil))
	case "target-broken", "target-restarted", "target-silent", "target-unreachable", "target-failed", "target-refused":
		return s.targetFault(reason), s.after("targets known", end)
	case "caller-gone":
		return fmt.Sprintf("the caller left after %.0f ms", end.number("took_ms")), nil
	case "deadline":
		return fmt.Sprintf("its time was over after %.0f ms", end.number("took_ms")), nil
	}
	return reason, nil
}

// late returns why an answered request missed its goal for the time to the first byte, if it did.
// It checks for retries first, then for time in the queue, then for the engine's prefill backlog.
func (s *Story) late(end Line) (string, []Line) {
	first, goal := end.number("first_ms"), end.number("goal_ms")
	switch {
	case goal <= 0 || first <= goal:
		return "none: it was answered in time, as far as its router can tell", nil
	case end.number("sends") > 1:
		return fmt.Sprintf("late, %.0f ms for a goal of %.0f: it was sent to %.0f targets", first, goal, end.number("sends")), nil
	case end.number("waited_ms")*2 > first:
		return fmt.Sprintf("late, %.0f ms for a goal of %.0f: it waited %.0f ms for room", first, goal, end.number("waited_ms")), nil
	}
	return fmt.Sprintf("late, %.0f ms for a goal of %.0f: its engine had %.0f prompt tokens to read before it, %.0f of them its own",
		first, goal, end.number("unread"), end.number("miss")), nil
}

// targetFault describes how the target failed and how many other requests failed there at about
// the same time.
func (s *Story) targetFault(reason string) string {
	what := map[string]string{
		"target-broken":      "target %s broke off its answer",
		"target-restarted":   "target %s ended and started again",
		"target-silent":      "target %s showed no sign for too long",
		"target-unreachable": "no connection to target %s came about",
		"target-failed":      "target %s answered with a failure of its own",
		"target-refused":     "target %s said that it did not run it",
	}[reason]
	out := fmt.Sprintf(what, s.target())
	if !s.neighbours.counted {
		return out
	}
	others := 0
	for _, n := range s.neighbours.target {
		others += n
	}
	if others == 0 {
		return out + "; nothing else failed there within two seconds"
	}
	return fmt.Sprintf("%s, as for %d others within two seconds %v", out, others, s.neighbours.target)
}

// besides counts how the organisation's other requests at the same router ended at about the
// same time. It returns an empty text if no neighbours were counted.
func (s *Story) besides() string {
	n := s.neighbours.organisation
	if !s.neighbours.counted {
		return ""
	}
	return fmt.Sprintf("; of its organisation's others here within two seconds %d were answered and %d refused", n["answered"], n["refused"])
}

// after returns the first line with a message that the request's router wrote after the request
// ended, provided that it came soon enough to be related.
func (s *Story) after(what string, end Line) []Line {
	for _, l := range s.Beliefs {
		if l.What == what && l.Router == end.Router && l.Time.After(end.Time) && l.Time.Sub(end.Time) < 5*near {
			return []Line{l}
		}
	}
	return nil
}

// lostRouter returns the next start of the router that wrote the request's last line. For a
// request without a final line it shows that the router crashed.
func (s *Story) lostRouter() []Line {
	last := s.Own[len(s.Own)-1]
	for _, l := range s.Beliefs {
		if l.What == "router runs" && l.Router == last.Router && l.Time.After(last.Time) {
			return []Line{l}
		}
	}
	return nil
}

// some returns those of the lines that are not empty.
func some(list ...Line) []Line {
	var out []Line
	for _, l := range list {
		if l.What != "" {
			out = append(out, l)
		}
	}
	return out
}
