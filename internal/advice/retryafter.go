package advice

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// RetryAfter returns the delay given in Retry-After (RFC 9110, section 10.2.3), or 0 if
// the header is missing or invalid. The value is a number of seconds, which unlike in the RFC
// may have a fraction, or a date, which is compared with the answer's own Date header, or else with now.
func RetryAfter(now time.Time, h http.Header) time.Duration {
	value := h.Get("Retry-After")
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
	}
	retryAt, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	sentAt, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		sentAt = now
	}
	return max(retryAt.Sub(sentAt), 0)
}
