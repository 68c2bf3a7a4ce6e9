package cli

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/adapter/platform"
	"github.com/stepcroft/stepcroft/internal/router"
	"github.com/stepcroft/stepcroft/internal/settings"
)

// defaultDrainTimeout bounds how long a planned stop may take if the settings give no limit.
const defaultDrainTimeout = 2 * time.Minute

// routeCommand is "stepcroft route".
type routeCommand struct {
	Settings string `help:"Settings file." required:"" type:"path"`
	Check    bool   `help:"Validate the settings and exit."`
}

// Run runs a router until SIGINT or SIGTERM, then drains and stops it. A second signal ends the
// drain at once.
func (c *routeCommand) Run(ctx context.Context, s streams) error {
	set, err := settings.ReadFile[settings.Router](c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintf(s.out, "%s: settings of router %s are valid\n", c.Settings, set.ID)
		return nil
	}
	log := newLogger(s, set.Log).WithValues("router", set.ID)
	client := platform.New(set.Platform)
	defer client.Stop()
	r, err := router.New(router.Options{
		ID: set.ID, Zone: set.Zone, Listen: set.Listen, PeerListen: set.PeerListen, AdminListen: set.AdminListen,
		Platform: client, ReportPeriod: time.Duration(set.ReportPeriod), RouterTimeout: time.Duration(set.Timeout),
		MaxWaiting: set.MaxWaiting, MaxConnections: set.MaxConnections, Log: log,
	})
	if err != nil {
		return err
	}
	defer r.Stop()
	log.Info("router runs", "address", r.Address(), "peer", r.Self().Peer, "incarnation", r.Self().Incarnation)
	<-ctx.Done()
	return drain(r, log, cmp.Or(time.Duration(set.DrainTimeout), defaultDrainTimeout))
}

// drain lets the router finish its requests, for at most limit or until another signal.
func drain(r *router.Router, log logr.Logger, limit time.Duration) error {
	log.Info("planned stop begins", "limit", limit.String())
	second, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(second, limit)
	defer cancel()
	if err := r.Drain(ctx); err != nil {
		return errors.Wrap(err, "planned stop cut short")
	}
	log.Info("planned stop is done")
	return nil
}

// newLogger returns a logger that writes to the standard error in the configured format.
func newLogger(s streams, l settings.Log) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-l.Level)}
	if l.Format == "json" {
		return logr.FromSlogHandler(slog.NewJSONHandler(s.err, options))
	}
	return logr.FromSlogHandler(slog.NewTextHandler(s.err, options))
}
