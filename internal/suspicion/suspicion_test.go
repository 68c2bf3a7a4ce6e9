package suspicion

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// stateSuspects implements Suspects with the state of one router.
type stateSuspects struct {
	*quarantine.State
	// earlier has the services that requests went to before.
	earlier []string
}

func (s stateSuspects) RecordBreak(_ context.Context, b Break) int {
	if b.TargetExited {
		s.State.RecordExit(clock.Now(), b.Target.Incarnation())
	}
	a := b.Attributes[0]
	return s.RecordAttributeBreak(clock.Now(), a, b.Organisation, b.Target.Incarnation(), slices.Contains(b.Trials, a.Key))
}

func (s stateSuspects) StartTrial(_ context.Context, until time.Time, keys []quarantine.Key) bool {
	return s.State.StartTrial(clock.Now(), until, keys...)
}

func (s stateSuspects) EndTrial(k quarantine.Key, broke bool) {
	s.State.EndTrial(clock.Now(), k, broke)
}

func (s stateSuspects) RecordExit(t balance.Target, _ time.Time) {
	s.State.RecordExit(clock.Now(), t.Incarnation())
}

func (s stateSuspects) RecordEnd(attributes []quarantine.Credit) {
	s.State.RecordEnd(clock.Now(), attributes)
}
func (s stateSuspects) RecordSuccess(k quarantine.Key, sent time.Time) { s.ClearBefore(k, sent) }
func (s stateSuspects) EarlierServices(_, _, _, _ string) []string     { return s.earlier }
func (s stateSuspects) Inherit(_ context.Context, from quarantine.Key, to quarantine.Attribute) {
	s.State.Inherit(clock.Now(), from, to)
}

func (s stateSuspects) RecordSeen(k quarantine.Key) { s.State.RecordSeen(clock.Now(), k) }

// Guards against a request that many callers send in the same words and that is held back for 30 s, as
// if a trial had failed, when the targets that run it crash in quick succession under another one.
func TestNoTrialBeforeAccusation(t *testing.T) {
	suspects := stateSuspects{State: quarantine.New()}
	send := func() *Check {
		return New(suspects, Request{Organisation: "o", Method: "POST", URI: "/x", Body: memory.Of([]byte("question"))})
	}
	for _, target := range []string{"a", "b", "c"} {
		c := send()
		if _, refused := c.Refuse(context.Background()); refused {
			t.Fatalf("refused before target %s crashed", target)
		}
		c.RecordBreak(context.Background(), balance.Target{ID: target}, true, time.Time{}, true)
	}
	r, refused := send().Refuse(context.Background())
	if !refused {
		t.Fatal("sent after three crashes")
	}
	if r.RetryAfter > 3*time.Second {
		t.Errorf("held back for %v, want 3s: no trial has failed", r.RetryAfter)
	}
}

// TestContentOutlivesConfiguration guards against requests that get further targets once their organisation is told by
// another name, or their route leads to another service.
func TestContentOutlivesConfiguration(t *testing.T) {
	admitted := Request{Host: "h", Organisation: "o", Service: "s", Method: "POST", URI: "/x", Body: memory.Of([]byte("question"))}
	attribute := func(change func(r *Request)) quarantine.Attribute {
		r := admitted
		change(&r)
		return New(nil, r).Attributes()[0]
	}
	same := attribute(func(*Request) {})
	for name, c := range map[string]struct {
		change func(r *Request)
		other  bool
	}{
		"organisation":    {change: func(r *Request) { r.Organisation = "p" }},
		"service":         {change: func(r *Request) { r.Service = "t" }},
		"form of host":    {change: func(r *Request) { r.Host = "H:8080" }},
		"another host":    {change: func(r *Request) { r.Host = "i" }, other: true},
		"another request": {change: func(r *Request) { r.URI = "/y" }, other: true},
	} {
		if got := attribute(c.change); (got.Key != same.Key) != c.other || (got.Credit != same.Credit) != c.other {
			t.Errorf("%s: another content %t, want %t", name, got.Key != same.Key, c.other)
		}
	}
}

// TestPartAfterMove guards against a part of prompts that crashes targets of one service after the other as a route moves,
// and against holding it back for long at one whose targets it does not crash.
func TestPartAfterMove(t *testing.T) {
	suspects := stateSuspects{State: quarantine.New()}
	refused := func(service string) bool {
		_, refused := New(suspects, Request{
			Service: service, Method: "POST", URI: "/x", Parts: []prefix.Part{{ID: "p"}, {ID: "own"}}, Deadline: clock.Now().Add(time.Minute),
		}).Refuse(context.Background())
		return refused
	}
	now := clock.Now().Add(-time.Minute)
	for _, target := range []string{"a", "b", "c"} {
		suspects.RecordAttributeBreak(now, quarantine.PartOf("s", "p"), "o", target, false)
		suspects.State.RecordExit(now, target)
		now = now.Add(time.Second)
	}
	suspects.Updates(now)
	suspects.Shared(quarantine.PartOf("s", "p").Key)
	if refused("t") {
		t.Error("refused at a service of other requests")
	}
	suspects.earlier = []string{"s"}
	if refused("t") {
		t.Error("the first one is not sent on trial")
	}
	if !refused("t") {
		t.Error("sent beside the trial")
	}
	suspects.RecordSuccess(quarantine.PartOf("t", "p").Key, clock.Now())
	if refused("t") {
		t.Error("refused after one has ended well")
	}
	if suspects.View().Crashes(quarantine.PartOf("s", "p").Key) == 0 {
		t.Error("not suspected any more at the service before")
	}
}
