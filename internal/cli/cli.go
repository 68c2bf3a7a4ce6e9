// Package cli implements the stepcroft command line: a command for each role that the binary can
// run as, and commands for operators.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/settings"
)

// Version is the program's version, as printed by --version.
const Version = "0.1.0"

// Exit codes of the program.
const (
	ExitOK = iota
	// ExitFailed means that the command failed for a reason that has no code of its own.
	ExitFailed
	// ExitUsage means that the command line, a settings file or an object's content is invalid.
	ExitUsage
	// ExitConflict means that someone else changed the object since the command read it.
	ExitConflict
	// ExitUnavailable means that the platform did not answer. A change that the command
	// tried to write does not count as accepted.
	ExitUnavailable
	// ExitGuaranteeBroken means that a load run broke a guarantee to callers; see errGuaranteeBroken.
	ExitGuaranteeBroken
)

// errGuaranteeBroken means that a load run lost requests, ran them twice, answered them wrongly or
// violated an invariant.
var errGuaranteeBroken = errors.New("a guarantee to callers was broken")

// commands defines the commands of the program. Kong derives names and flags from it.
type commands struct {
	Version  kong.VersionFlag `help:"Print the version and exit."`
	Demo     demoCommand      `cmd:"" help:"Run a small fleet with stand-ins on this machine for 20 s and print its results."`
	Route    routeCommand     `cmd:"" help:"Run one router."`
	Serve    serveCommand     `cmd:"" help:"Run one router on the platform that the environment variables name."`
	Load     loadCommand      `cmd:"" help:"Run a scenario with real routers and stand-ins on loopback, under one or several policies."`
	Latency  latencyCommand   `cmd:"" help:"Compare the latency of requests through a router with that of requests sent to its engine directly."`
	Standin  standinCommand   `cmd:"" help:"Run a stand-in for the platform, an engine or a plain service."`
	Org      orgCommand       `cmd:"" help:"List, show, create, edit or apply organisations."`
	Template templateCommand  `cmd:"" help:"List, show, create, edit or apply templates for organisations."`
	Policy   policyCommand    `cmd:"" help:"List, show, create, edit or apply pools and the fair policies that divide their capacity."`
	Status   statusCommand    `cmd:"" help:"Print routers' metrics."`

	Explain    explainCommand    `cmd:"" help:"Explain from routers' logs what happened to a request and why."`
	Quarantine quarantineCommand `cmd:"" help:"List, show, release or hold requests that crash the targets that run them."`
}

// streams holds the standard output and standard error that commands write to.
type streams struct {
	out, err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commands
	code := -1
	parser, err := kong.New(
		&c,
		kong.Name("stepcroft"),
		kong.Description("A fleet of routers that lets organisations share model engines fairly.\n\n"+
			"Exit codes: 0 success, 1 failure, 2 invalid command line or file, 3 object changed by someone else, "+
			"4 platform does not answer, 5 a load run broke a guarantee to callers."),
		kong.Vars{"version": Version},
		kong.Writers(out, errOut),
		kong.Exit(func(n int) { code = n }),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(errOut, "stepcroft:", err)
		return ExitFailed
	}
	k, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintln(errOut, "stepcroft:", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.Bind(streams{out, errOut})
	if err := k.Run(); err != nil {
		fmt.Fprintln(errOut, "stepcroft:", err)
		return exitCode(err)
	}
	return ExitOK
}

// exitCode maps an error to the program's exit code.
func exitCode(err error) int {
	switch {
	case errors.Is(err, settings.ErrInvalid), errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, port.ErrConflict):
		return ExitConflict
	case errors.Is(err, port.ErrUnavailable):
		return ExitUnavailable
	case errors.Is(err, errGuaranteeBroken):
		return ExitGuaranteeBroken
	}
	return ExitFailed
}

// errUsage means that the command line is invalid.
var errUsage = errors.New("invalid usage")
