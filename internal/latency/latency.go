// Package latency compares the latency of requests through a router with that of requests sent
// directly to its engine.
package latency

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/report"
	"github.com/stepcroft/stepcroft/internal/standin"
)

// Options describes a comparison of a router with the engine behind it.
type Options struct {
	// Router and Engine are the addresses for requests, Admin is the one of the router's
	// metrics.
	Router, Engine, Admin string
	Key, Model            string
	// Callers is the number of concurrent callers, Rate the number of requests that each sends
	// a second.
	Callers  int
	Rate     float64
	Duration time.Duration
	Tokens   int
	Stream   bool
	// Direct sends every other request directly to the engine.
	Direct bool
}

// Result holds the measurements of a comparison.
type Result struct {
	Requests                  int              `json:"requests"`
	Failed                    int              `json:"failed"`
	RequestsPerSecond         float64          `json:"requests_per_second"`
	TokensPerSecond           float64          `json:"tokens_per_second"`
	RoutedMS                  report.Quantiles `json:"routed_ms"`
	DirectMS                  report.Quantiles `json:"direct_ms"`
	RouterCores               float64          `json:"router_cores"`
	RouterCPUMicrosPerRequest float64          `json:"router_cpu_us_per_request"`
	RouterResidentBytes       int64            `json:"router_resident_bytes"`
	MaxOpen                   int              `json:"open_at_most"`
	BetweenTokensMS           report.Quantiles `json:"between_tokens_ms"`
}

// run is a comparison in progress.
type run struct {
	options Options
	client  *http.Client

	mu             sync.Mutex
	result         Result
	open, tokens   int
	routed, direct *hdrhistogram.Histogram
	between        *hdrhistogram.Histogram
}

// Compare sends requests through a router, and directly to its engine if the options say so, and
// returns the measurements.
func Compare(ctx context.Context, o Options) (Result, error) {
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	r := &run{
		options: o, routed: report.NewHistogram(), direct: report.NewHistogram(), between: report.NewHistogram(),
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: o.Callers, DisableCompression: true,
		}},
	}
	before, err := readProcess(ctx, o.Admin)
	if err != nil {
		return Result{}, err
	}
	start := clock.Now()
	g := group.New(ctx)
	for i := range o.Callers {
		g.GoContext(func(ctx context.Context) { r.runCaller(ctx, i, start) })
	}
	g.Wait()
	took := clock.Since(start).Seconds()
	after, err := readProcess(ctx, o.Admin)
	if err != nil {
		return Result{}, err
	}
	out := r.result
	cpu := after.CPUSeconds - before.CPUSeconds
	out.RequestsPerSecond = float64(out.Requests) / took
	out.TokensPerSecond = float64(r.tokens) / took
	out.RouterCores = cpu / took
	out.RouterCPUMicrosPerRequest = cpu * 1e6 / float64(max(int(r.routed.TotalCount()), 1))
	out.RouterResidentBytes = after.ResidentBytes
	out.RoutedMS, out.DirectMS, out.BetweenTokensMS = report.NewQuantiles(r.routed), report.NewQuantiles(r.direct), report.NewQuantiles(r.between)
	return out, nil
}

// processMetrics holds the metrics of a router's process.
type processMetrics struct {
	CPUSeconds    float64 `json:"cpu_seconds"`
	ResidentBytes int64   `json:"resident_bytes"`
}

func readProcess(ctx context.Context, admin string) (processMetrics, error) {
	var vars struct {
		Process processMetrics `json:"process"`
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/debug/vars", nil)
	if err != nil {
		return vars.Process, errors.Wrap(err, "read router's metrics")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return vars.Process, errors.Wrap(err, "read router's metrics")
	}
	defer res.Body.Close()
	return vars.Process, errors.Wrap(json.NewDecoder(res.Body).Decode(&vars), "read router's metrics")
}

// runCaller sends requests at the rate of one caller until the duration is over. The callers'
// first requests are spread over one interval.
func (r *run) runCaller(ctx context.Context, i int, start time.Time) {
	interval := time.Duration(float64(time.Second) / r.options.Rate)
	next := start.Add(interval * time.Duration(i) / time.Duration(r.options.Callers))
	end := start.Add(r.options.Duration)
	for n := 0; next.Before(end); n++ {
		if !group.SleepUntil(ctx, next) {
			return
		}
		r.request(ctx, r.options.Direct && (n+i)%2 == 1)
		next = next.Add(interval)
		if now := clock.Now(); next.Before(now) {
			next = now
		}
	}
}

func (r *run) request(ctx context.Context, direct bool) {
	r.addOpen(1)
	defer r.addOpen(-1)
	start := clock.Now()
	tokens, err := r.exchange(ctx, direct)
	took := clock.Since(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	r.tokens += tokens
	if err != nil || tokens == 0 {
		r.result.Failed++
		return
	}
	h := r.routed
	if direct {
		h = r.direct
	}
	_ = h.RecordValue(took.Microseconds())
}

func (r *run) addOpen(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open += n
	r.result.MaxOpen = max(r.result.MaxOpen, r.open)
}

// exchange sends one request and returns the number of tokens in the answer.
func (r *run) exchange(ctx context.Context, direct bool) (int, error) {
	address := r.options.Router
	if direct {
		address = r.options.Engine
	}
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`,
		r.options.Model, r.options.Stream, standin.Prompt("latency", 1, r.options.Tokens))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions",
		bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+r.options.Key)
	res, err := r.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, errors.Errorf("status %d", res.StatusCode)
	}
	if !r.options.Stream && !direct {
		_, err := io.Copy(io.Discard, res.Body)
		return r.options.Tokens, err
	}
	return r.readTokens(res.Body)
}

// readTokens counts the tokens of a streamed answer and records the times between them.
func (r *run) readTokens(body io.Reader) (int, error) {
	reader := bufio.NewReader(body)
	tokens := 0
	last := time.Time{}
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return tokens, nil
		}
		if err != nil {
			return tokens, err
		}
		if !bytes.Contains(line, []byte(`"content"`)) {
			continue
		}
		tokens++
		now := clock.Now()
		if !last.IsZero() {
			r.mu.Lock()
			_ = r.between.RecordValue(now.Sub(last).Microseconds())
			r.mu.Unlock()
		}
		last = now
	}
}
