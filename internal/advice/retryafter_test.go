package advice_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/advice"
)

func TestRetryAfter(t *testing.T) {
	const date = "Sun, 06 Nov 1994 08:49:37 GMT"
	cases := map[string]time.Duration{
		"":                              0,
		"3":                             3 * time.Second,
		"0.25":                          250 * time.Millisecond,
		"0":                             0,
		"-1":                            0,
		"NaN":                           0,
		"soon":                          0,
		"1e300":                         (1<<31 - 1) * time.Second,
		"Sun, 06 Nov 1994 08:49:40 GMT": 3 * time.Second,
		"Sun, 06 Nov 1994 08:49:30 GMT": 0,
	}
	for value, want := range cases {
		t.Run(value, func(t *testing.T) {
			h := http.Header{"Date": {date}, "Retry-After": {value}}
			if got := advice.RetryAfter(start, h); got != want {
				t.Errorf("backoff %v, want %v", got, want)
			}
		})
	}
}
