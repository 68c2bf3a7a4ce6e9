package lifecycle_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

const window = 3 * time.Second

func ExampleTracker() {
	now := time.Now()
	t := lifecycle.New(window, logr.Discard())
	first, second := t.Begin(now), t.Begin(now)
	first.Decide(now, "first", lifecycle.Answered)
	first.Close(now, "")
	t.NoteChange(lifecycle.Change{Version: 2, At: now})
	second.Decide(now, "second", lifecycle.Answered)
	second.NoteUndelivered(lifecycle.CallerGone)
	second.Close(now, "")
	sums := t.Sums(now)
	fmt.Println(sums.Read, sums.Ends, sums.NearChange, sums.Check())
	// Output: 2 map[answered:1 caller-gone:1] map[caller-gone:1] <nil>
}

func TestCheckNamesWhatIsWrong(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		end  func(*lifecycle.Request)
		want error
	}{
		"in progress":       {func(*lifecycle.Request) {}, nil},
		"ended":             {func(r *lifecycle.Request) { r.Decide(now, "r", lifecycle.Refused); r.Close(now, "") }, nil},
		"closed, with why":  {func(r *lifecycle.Request) { r.Close(now, lifecycle.Unanswered) }, nil},
		"closed twice":      {func(r *lifecycle.Request) { r.Close(now, lifecycle.CallerGone); r.Close(now, "") }, nil},
		"forgotten":         {func(r *lifecycle.Request) { r.Close(now, "") }, lifecycle.ErrForgotten},
		"two ends":          {func(r *lifecycle.Request) { r.Decide(now, "r", lifecycle.Cut); r.Decide(now, "r", lifecycle.Cut) }, lifecycle.ErrEndedTwice},
		"end after the end": {func(r *lifecycle.Request) { r.Close(now, lifecycle.Cut); r.Decide(now, "r", lifecycle.Cut) }, lifecycle.ErrEndedTwice},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := lifecycle.New(window, logr.Discard())
			c.end(tracker.Begin(now))
			if err := tracker.Sums(now).Check(); !errors.Is(err, c.want) {
				t.Errorf("Check() = %v, want %v", err, c.want)
			}
		})
	}
}

// TestEndBeforeChangeIsNotNearIt guards against requests that count as ended just after a change though their end had
// been decided before it.
func TestEndBeforeChangeIsNotNearIt(t *testing.T) {
	change := time.Now()
	for name, c := range map[string]struct {
		decided time.Duration
		near    int64
	}{
		"before":     {-time.Millisecond, 0},
		"at once":    {0, 1},
		"after":      {window - 1, 1},
		"long after": {window, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := lifecycle.New(window, logr.Discard())
			r := tracker.Begin(change.Add(-time.Second))
			r.Decide(change.Add(c.decided), "r", lifecycle.Cut)
			tracker.NoteChange(lifecycle.Change{Version: 2, At: change})
			r.Close(change.Add(max(c.decided, 0)+time.Millisecond), "")
			if got := tracker.Sums(change).NearChange[lifecycle.Cut]; got != c.near {
				t.Errorf("%d near the change, want %d", got, c.near)
			}
		})
	}
}

func TestCheckOfUnbalancedSums(t *testing.T) {
	sums := lifecycle.Sums{Read: 3, Open: 1, Ends: map[lifecycle.End]int64{lifecycle.Answered: 1}}
	if err := sums.Check(); !errors.Is(err, lifecycle.ErrUnbalanced) {
		t.Errorf("Check() = %v", err)
	}
}

// TestLinesNameTheRequest guards against alarms that operators cannot trace to a request.
func TestLinesNameTheRequest(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		end  func(*lifecycle.Request)
		want string
	}{
		"whole":     {func(r *lifecycle.Request) { r.Decide(now, "r", lifecycle.Answered); r.Close(now, "") }, ""},
		"forgotten": {func(r *lifecycle.Request) { r.Identify("r"); r.Close(now, "") }, `"request has no end"`},
		"two ends":  {func(r *lifecycle.Request) { r.Close(now, lifecycle.Cut); r.Decide(now, "r", lifecycle.Cut) }, `"request has two ends"`},
		"not delivered": {func(r *lifecycle.Request) {
			r.Decide(now, "r", lifecycle.Answered)
			r.NoteUndelivered(lifecycle.Cut)
			r.Close(now, "")
		}, `"answer not delivered"`},
		"unanswered": {func(r *lifecycle.Request) { r.Identify("r"); r.Close(now, lifecycle.Unanswered) }, `"request left unanswered"`},
		"refusal not delivered": {func(r *lifecycle.Request) {
			r.Decide(now, "r", lifecycle.Refused)
			r.NoteUndelivered(lifecycle.Unanswered)
			r.Close(now, "")
		}, `"request left unanswered"`},
		"caller left": {func(r *lifecycle.Request) {
			r.Decide(now, "r", lifecycle.Refused)
			r.NoteUndelivered(lifecycle.CallerGone)
			r.Close(now, "")
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var lines []string
			log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
			c.end(lifecycle.New(window, log).Begin(now))
			got := strings.Join(lines, "\n")
			if (c.want == "") != (got == "") || !strings.Contains(got, c.want) || c.want != "" && !strings.Contains(got, `"id"="r"`) {
				t.Errorf("logged %q, want %s of the request", got, c.want)
			}
		})
	}
}

func BenchmarkAccount(b *testing.B) {
	now := time.Now()
	for name, account := range map[string]func(*lifecycle.Tracker){
		"at once": func(t *lifecycle.Tracker) { t.Count(now, lifecycle.Refused) },
		"begun": func(t *lifecycle.Tracker) {
			r := t.Begin(now)
			r.Decide(now, "r", lifecycle.Answered)
			r.Close(now, "")
		},
	} {
		b.Run(name, func(b *testing.B) {
			t := lifecycle.New(window, logr.Discard())
			b.ReportAllocs()
			for b.Loop() {
				account(t)
			}
		})
	}
}
