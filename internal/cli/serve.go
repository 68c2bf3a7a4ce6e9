package cli

import (
	"context"

	"github.com/stepcroft/stepcroft/platform"
)

// serveCommand is "stepcroft serve".
type serveCommand struct{}

// Run runs a router on the users' platform until SIGTERM, then makes a
// planned stop.
func (c *serveCommand) Run(ctx context.Context, s streams) error {
	return platform.Run(ctx, s.out)
}
