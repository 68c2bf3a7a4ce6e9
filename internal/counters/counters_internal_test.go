package counters

import (
	"testing"

	"github.com/stepcroft/stepcroft/internal/forward"
)

// TestCutAnswersAreCountedByCause guards against counts that mix answers cut by targets with those cut by routers.
func TestCutAnswersAreCountedByCause(t *testing.T) {
	cases := map[string]struct {
		result forward.Result
		want   string
	}{
		"whole":                       {result: forward.Result{HeadSent: true, ExchangeEnd: forward.ReasonBroken}},
		"no attempt left":             {result: forward.Result{Truncated: true, Reason: forward.ReasonBroken, ExchangeEnd: forward.ReasonBroken, NotRetried: forward.NotRetriedAttempts}, want: "target-broken attempts"},
		"no other target had room":    {result: forward.Result{Truncated: true, Reason: forward.ReasonQueueFull, ExchangeEnd: forward.ReasonSilent}, want: "target-silent queue-full"},
		"deadline during an exchange": {result: forward.Result{Truncated: true, Reason: forward.ReasonDeadline}, want: "deadline"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := New()
			m.RecordRequest(c.result, 0)
			want := "{}"
			if c.want != "" {
				want = `{"` + c.want + `": 1}`
			}
			if got := m.cut.String(); got != want {
				t.Errorf("counts %s, want %s", got, want)
			}
		})
	}
}
