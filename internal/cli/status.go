package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// statusCommand is "stepcroft status".
type statusCommand struct {
	Admin   []string      `help:"Routers' admin addresses, comma-separated." required:""`
	Output  string        `help:"Output format: text or json." short:"o" enum:"text,json" default:"text"`
	Timeout time.Duration `help:"How long to wait for each router." default:"3s"`
}

// Run prints each router's metrics. It goes on with the next router if one does not answer.
func (c *statusCommand) Run(ctx context.Context, s streams) error {
	var failed error
	for _, address := range c.Admin {
		body, err := fetchMetrics(ctx, address, c.Timeout)
		if err != nil {
			fmt.Fprintf(s.err, "%s: %v\n", address, err)
			failed = errors.Errorf("router at %s did not answer", address)
			continue
		}
		if c.Output == "json" {
			fmt.Fprintf(s.out, "%s\n", body)
			continue
		}
		fmt.Fprintln(s.out, address)
		for _, line := range fieldLines(body) {
			fmt.Fprintln(s.out, " ", line)
		}
	}
	return failed
}

// fetchMetrics returns a router's metrics as JSON.
func fetchMetrics(ctx context.Context, address string, timeout time.Duration) ([]byte, error) {
	body, err := callRouter(ctx, timeout, http.MethodGet, address, "/debug/vars")
	if err == nil && !json.Valid(body) {
		err = errors.New("response is not JSON")
	}
	return body, err
}

// callRouter sends a request without a body to a router's admin or metrics address and returns the
// response body.
func callRouter(ctx context.Context, timeout time.Duration, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "call router")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call router")
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("router at %s: %s", address, strings.TrimSpace(string(body)))
	}
	return body, nil
}
