package advice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/advice"
)

var start = time.Unix(1000, 0)

// ExampleRecords shows that what one incarnation reported does not apply to the next.
func ExampleRecords() {
	var b advice.Records
	_, changed := b.SetLeaving(start, "t@1")
	fmt.Println(changed, b.Find("t@1").Leaving(), b.Find("t@2").Leaving())
	_, changed = b.SetLeaving(start.Add(time.Second), "t@1")
	fmt.Println(changed)
	// Output:
	// true true false
	// false
}

// ExampleRecords_SetBackoff shows that a backoff is never shortened, and bounded by
// MaxBackoff.
func ExampleRecords_SetBackoff() {
	var b advice.Records
	r, changed := b.SetBackoff(start, "t", 3*time.Second)
	fmt.Println(r.BackoffUntil().Sub(start), changed)
	r, changed = b.SetBackoff(start.Add(time.Second), "t", time.Second)
	fmt.Println(r.BackoffUntil().Sub(start), changed)
	r, _ = b.SetBackoff(start, "t", 1000*time.Hour)
	fmt.Println(r.BackoffUntil().Sub(start))
	// Output:
	// 3s true
	// 3s false
	// 10m0s
}

func TestPrune(t *testing.T) {
	cases := map[string]struct {
		after  time.Duration
		listed bool
		kept   bool
	}{
		"not listed, reported recently": {after: 10 * time.Minute, kept: true},
		"not listed for long":           {after: time.Hour},
		"listed":                        {after: 100 * time.Hour, listed: true, kept: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var b advice.Records
			b.SetLeaving(start, "t")
			b.Prune(start.Add(c.after), func(string) bool { return c.listed })
			if got := b.Find("t").Leaving(); got != c.kept {
				t.Errorf("kept %t, want %t", got, c.kept)
			}
		})
	}
}
