package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/settings"
	"github.com/stepcroft/stepcroft/internal/standin"
)

// standinCommand is "stepcroft standin".
type standinCommand struct {
	Platform standinPlatform `cmd:"" help:"Run a stand-in for the platform's object API."`
	Engine   standinEngine   `cmd:"" help:"Run a stand-in for a model engine."`
	Service  standinService  `cmd:"" help:"Run a stand-in for a plain service."`
}

type standinPlatform struct {
	Listen string `help:"Listen address, as IP address and port." default:"127.0.0.1:7000"`
	Boxes  string `help:"YAML file with the boxes to store, one document per box." type:"existingfile"`
}

// Run runs the stand-in until SIGINT or SIGTERM.
func (c *standinPlatform) Run(ctx context.Context, s streams) error {
	p, err := standin.NewPlatform(c.Listen)
	if err != nil {
		return err
	}
	defer p.Stop()
	if c.Boxes != "" {
		if err := seedBoxes(p, c.Boxes); err != nil {
			return err
		}
	}
	return serveUntilDone(ctx, s, p.Address())
}

// seedBoxes stores the boxes of a file on the platform.
func seedBoxes(p *standin.Platform, file string) error {
	boxes, err := settings.ReadFileAll[config.Box](file)
	if err != nil {
		return err
	}
	for _, b := range boxes {
		if err := p.Seed(config.KindBox, b.Name, b); err != nil {
			return err
		}
	}
	return nil
}

// serveUntilDone prints the listen address and waits for a signal to stop.
func serveUntilDone(ctx context.Context, s streams, address string) error {
	fmt.Fprintln(s.out, "listening on", address)
	<-ctx.Done()
	return nil
}

type standinEngine struct {
	Listen      string        `help:"Listen address, as IP address and port." default:"127.0.0.1:7100"`
	Slots       int           `help:"Number of requests that run at the same time." default:"8"`
	TokenTime   time.Duration `help:"Time between two tokens." default:"15ms"`
	PrefillRate float64       `help:"Prompt tokens processed per second." default:"20000"`
}

// Run runs the stand-in until SIGINT or SIGTERM.
func (c *standinEngine) Run(ctx context.Context, s streams) error {
	e, err := standin.NewEngine(standin.EngineOptions{
		Address: c.Listen, Slots: c.Slots, TokenTime: c.TokenTime, PrefillRate: c.PrefillRate,
	})
	if err != nil {
		return err
	}
	defer e.Stop()
	return serveUntilDone(ctx, s, e.Address())
}

type standinService struct {
	Listen string `help:"Listen address, as IP address and port." default:"127.0.0.1:7200"`
}

// Run runs the stand-in until SIGINT or SIGTERM.
func (c *standinService) Run(ctx context.Context, s streams) error {
	v, err := standin.NewService(c.Listen, nil)
	if err != nil {
		return err
	}
	defer v.Stop()
	return serveUntilDone(ctx, s, v.Address())
}
