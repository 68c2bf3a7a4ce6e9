package forward_test

import (
	"net/http"
	"testing"
)

// TestSkippedEventIsCounted guards against streams that lack events of which no figure tells, where a target leaves
// some out. Ids need only rise, so that they are passed on.
func TestSkippedEventIsCounted(t *testing.T) {
	for name, c := range map[string]struct {
		sends   []send
		want    string
		skipped int64
	}{
		"none":            {sends: []send{{text: eventsFrom(0, 3), breaks: true}, {text: eventsFrom(3, 8)}}, want: eventsFrom(0, 8)},
		"as it resumes":   {sends: []send{{text: eventsFrom(0, 3), breaks: true}, {text: eventsFrom(5, 8)}}, want: eventsFrom(0, 3) + eventsFrom(5, 8), skipped: 2},
		"within one run":  {sends: []send{{text: eventsFrom(0, 3) + eventsFrom(5, 8)}}, want: eventsFrom(0, 3) + eventsFrom(5, 8), skipped: 2},
		"in several runs": {sends: []send{{text: eventsFrom(0, 3), breaks: true}, {text: eventsFrom(4, 5), breaks: true}, {text: eventsFrom(6, 8)}}, want: eventsFrom(0, 3) + eventsFrom(4, 5) + eventsFrom(6, 8), skipped: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sends []func(string) send
			for _, s := range c.sends {
				sends = append(sends, func(string) send { return s })
			}
			for _, buffered := range []bool{false, true} {
				got, result := forwardSends(t, buffered, sends...)
				if got != c.want || result.SkippedIDs != c.skipped || result.Truncated || result.Status != http.StatusOK {
					t.Errorf("buffered %t: got %q, skipped %d, want %q, %d; %+v", buffered, got, result.SkippedIDs, c.want, c.skipped, result)
				}
			}
		})
	}
}
