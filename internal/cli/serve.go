package cli

import (
	"context"

	"github.com/stepcroft/stepcroft/platform"
)

// serveCommand is "stepcroft serve".
type serveCommand struct{}

// Run runs a router on the platform that package platform adapts to, until SIGINT or SIGTERM, then
// drains and stops it.
func (c *serveCommand) Run(ctx context.Context, s streams) error {
	return platform.Run(ctx, s.out)
}
