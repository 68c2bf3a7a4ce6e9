package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/forward"
)

// send is what a target answers to one send of a request: a text after which it ends the stream, or breaks it
// off; or an error if status is set.
type send struct {
	text   string
	breaks bool
	status int
}

// textCaller records what it gets.
type textCaller struct {
	discard
	text strings.Builder
}

func (c *textCaller) Write(b []byte) error {
	c.text.Write(b)
	return nil
}

// forwardSends forwards a stream to targets that answer the sends of the request as given.
func forwardSends(t testing.TB, buffered bool, sends ...func(after string) send) (string, forward.Result) {
	t.Helper()
	var count atomic.Int64
	handlers := make([]http.HandlerFunc, len(sends))
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			s := sends[count.Add(1)-1](r.Header.Get("X-Last"))
			if s.status > 0 {
				w.WriteHeader(s.status)
				return
			}
			fmt.Fprint(w, s.text)
			_ = http.NewResponseController(w).Flush()
			if s.breaks {
				panic(http.ErrAbortHandler)
			}
		}
	}
	f := newBufferedForwarder(t, 1<<20, handlers...)
	f.Forwarder = f.WithBuffers(f.budget, func() bool { return buffered })
	c := &textCaller{}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	result := f.stream(ctx, 10*time.Second, c)
	return c.text.String(), result
}

// TestResumedStreamAgainstNaive guards against streams that miss events, have them twice or look complete before
// their end, whatever the targets answer to which they are sent one after the other.
func TestResumedStreamAgainstNaive(t *testing.T) {
	const whole = 8
	rapid.Check(t, func(r *rapid.T) {
		var sends []func(string) send
		passed, head, ended, status := 0, false, false, 0
		for range rapid.IntRange(1, 4).Draw(r, "sends") {
			first := rapid.SampledFrom([]int{1, 1, 1, 0, -passed}).Draw(r, "first event, from the last one passed on") + passed
			last := min(max(first, 1)+rapid.IntRange(-1, whole).Draw(r, "events"), whole)
			s := send{text: eventsFrom(max(first, 1)-1, last), breaks: last < whole || rapid.Bool().Draw(r, "breaks at the end")}
			if rapid.IntRange(0, 9).Draw(r, "fails") == 0 {
				s.status = http.StatusInternalServerError
			}
			if s.breaks && s.status == 0 && rapid.Bool().Draw(r, "within an event") {
				s.text += fmt.Sprintf("id: %d\ndata: ", last+1)
			}
			after := ""
			if passed > 0 {
				after = fmt.Sprint(passed)
			}
			sends = append(sends, func(got string) send {
				if got != after {
					t.Errorf("sent with the last id %q, want %q", got, after)
				}
				return s
			})
			if ended {
				continue
			}
			status = max(s.status, http.StatusOK)
			if s.status > 0 {
				continue
			}
			// A target that does not go on after the last event passed on is not believed.
			inOrder := passed == 0 || first > passed || last < max(first, 1)
			if inOrder {
				passed, head = max(passed, last), head || last > 0
				ended = !s.breaks
			}
		}
		got, result := forwardSends(t, rapid.Bool().Draw(r, "buffered"), sends...)
		if want := eventsFrom(0, passed); got != want {
			r.Fatalf("the caller got %q, want %q", got, want)
		}
		if complete := result.HeadSent && !result.Truncated && result.Status == http.StatusOK; complete != ended {
			r.Fatalf("complete: %t, want %t; %+v (last status %d, head %t)", complete, ended, result, status, head)
		}
	})
}
