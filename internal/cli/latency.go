package cli

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/latency"
)

// latencyCommand is "stepcroft latency".
type latencyCommand struct {
	Router   string        `help:"Address of the router." required:""`
	Engine   string        `help:"Address of the engine behind it." required:""`
	Admin    string        `help:"Admin address of the router." required:""`
	Key      string        `help:"API key." required:""`
	Model    string        `help:"Model to request." required:""`
	Callers  int           `help:"Number of concurrent callers." default:"8"`
	Rate     float64       `help:"Requests per second of each caller." default:"20"`
	Duration time.Duration `help:"Duration of the run." default:"10s"`
	Tokens   int           `help:"Tokens in each answer." default:"8"`
	Stream   bool          `help:"Request streamed answers."`
	Direct   bool          `help:"Send every other request directly to the engine."`
}

// Run measures the latencies and prints the comparison as JSON.
func (c *latencyCommand) Run(ctx context.Context, s streams) error {
	result, err := latency.Compare(ctx, latency.Options{
		Router: c.Router, Engine: c.Engine, Admin: c.Admin, Key: c.Key, Model: c.Model, Callers: c.Callers,
		Rate: c.Rate, Duration: c.Duration, Tokens: c.Tokens, Stream: c.Stream, Direct: c.Direct,
	})
	if err != nil {
		return err
	}
	return writeJSON(s, result)
}
