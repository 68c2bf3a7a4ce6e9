package report

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	// maxTimeMicros is the longest time that a histogram records, in microseconds.
	maxTimeMicros = 600_000_000
	// significantDigits is the number of decimal digits to which a histogram is exact.
	significantDigits = 3
)

// Quantiles holds quantiles of a distribution of times, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// NewHistogram returns an empty histogram of times in microseconds, up to ten minutes.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTimeMicros, significantDigits)
}

// NewQuantiles returns the quantiles of a histogram made by NewHistogram.
func NewQuantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}
