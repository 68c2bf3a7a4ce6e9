package cli

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/load"
	"github.com/stepcroft/stepcroft/internal/report"
	"github.com/stepcroft/stepcroft/internal/scenario"
	"github.com/stepcroft/stepcroft/internal/settings"
)

//go:embed demo.yaml
var demoScenario []byte

// demoCommand is "stepcroft demo".
type demoCommand struct {
	Duration time.Duration `help:"Duration of the load." default:"20s"`
	Seed     uint64        `help:"Seed of the load." default:"1"`
}

// Run runs the embedded scenario under its pools' own policies and prints the report.
func (c *demoCommand) Run(ctx context.Context, s streams) error {
	sc, err := settings.Decode[scenario.Scenario]("demo.yaml", demoScenario)
	if err != nil {
		return err
	}
	sc.Duration = settings.Duration(c.Duration)
	fmt.Fprintf(s.out, "%d routers in %d availability zones, %d organisations, %s of load\n",
		sc.Routers, len(sc.Zones), len(sc.Organisations), c.Duration)
	result, err := load.Run(ctx, &sc, load.Options{
		Policies: []string{"default"}, Seed: c.Seed, Progress: s.err,
	})
	fmt.Fprintln(s.err)
	if err != nil {
		return err
	}
	return printReport(s.out, result)
}

// printReport prints the results under each policy and a comparison of the policies. It returns an
// error if a run broke a guarantee to callers.
func printReport(out io.Writer, result report.Comparison) error {
	for _, p := range result.Policies {
		fmt.Fprintf(out, "\npolicy %s\n", p.Policy)
		if err := p.WriteOrganisations(out); err != nil {
			return err
		}
		fmt.Fprintln(out)
		if err := p.WriteRouters(out); err != nil {
			return err
		}
	}
	fmt.Fprintln(out)
	if err := result.WriteText(out); err != nil {
		return err
	}
	return checkGuarantees(result)
}

// checkGuarantees returns errGuaranteeBroken if a run broke a guarantee to callers.
func checkGuarantees(result report.Comparison) error {
	for _, p := range result.Policies {
		if p.Lost+p.Doubled+p.Wrong+p.NotRunButRan > 0 || p.Violations > 0 {
			return errGuaranteeBroken
		}
	}
	return nil
}

// loadCommand is "stepcroft load".
type loadCommand struct {
	Scenario  string        `help:"Scenario file." required:"" type:"path"`
	Policy    []string      `help:"Policies to compare, comma-separated: any of 'stepcroft policy names', default, omniscient." default:"default"`
	Routers   int           `help:"Number of routers; overrides the scenario's."`
	Scale     int           `help:"Multiply the numbers of routers and engines and the load by this factor." default:"1"`
	Stretch   float64       `help:"Slow engines and load down by this factor." default:"1"`
	Skew      bool          `help:"Send all requests of every other organisation to a single router."`
	Seed      uint64        `help:"Seed of the load." default:"1"`
	Duration  time.Duration `help:"Duration of the load; overrides the scenario's."`
	ViewDelay time.Duration `help:"Delay the use of other routers' reports by this time."`
	Format    string        `help:"Output format: text or json." enum:"text,json" default:"text"`
	Plot      string        `help:"Write a plot of the fairness gap over time to this SVG file." type:"path"`
}

// Run runs the scenario, adjusted by the flags, and prints the report.
func (c *loadCommand) Run(ctx context.Context, s streams) error {
	sc, err := settings.ReadFile[scenario.Scenario](c.Scenario)
	if err != nil {
		return err
	}
	if c.Scale < 1 || c.Stretch <= 0 {
		return errors.Wrap(errUsage, "--scale must be at least 1 and --stretch greater than 0")
	}
	sc = sc.Scaled(c.Scale).Stretched(c.Stretch)
	if c.Skew {
		sc = sc.Skewed()
	}
	if c.Routers > 0 {
		sc.Routers = c.Routers
	}
	if c.Duration > 0 {
		sc.Duration = settings.Duration(c.Duration)
	}
	result, err := load.Run(ctx, &sc, load.Options{
		Policies: c.Policy, Seed: c.Seed, ViewDelay: c.ViewDelay, Progress: s.err,
	})
	fmt.Fprintln(s.err)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := report.Plot(result, c.Plot); err != nil {
			return err
		}
	}
	if c.Format == "json" {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return err
		}
		return checkGuarantees(result)
	}
	return printReport(s.out, result)
}
