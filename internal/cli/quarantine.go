package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/suspectapi"
)

// quarantineCommand is "stepcroft quarantine".
type quarantineCommand struct {
	List    listSuspects   `cmd:"" help:"List the requests that are suspected of crashing targets, those held back first."`
	Show    showSuspect    `cmd:"" help:"Show a suspected request."`
	Release releaseSuspect `cmd:"" help:"Release a request at all routers; earlier crashes no longer count against it."`
	Hold    holdSuspect    `cmd:"" help:"Hold a request back at all routers, until it is released or has not been sent for an hour."`
}

// routerFlags holds the flags for the router to call. Any router will do, since routers share the
// quarantine.
type routerFlags struct {
	Router  string        `help:"Admin or metrics address of any router." required:""`
	Timeout time.Duration `help:"How long to wait for the router." default:"3s"`
}

// callSuspects calls the router's endpoint for suspected requests and returns the response body.
func (f routerFlags) callSuspects(ctx context.Context, method string, values url.Values) ([]byte, error) {
	return callRouter(ctx, f.Timeout, method, f.Router, "/suspects?"+values.Encode())
}

// suspects returns the requests that the router suspects.
func (f routerFlags) suspects(ctx context.Context) ([]suspectapi.Suspect, error) {
	body, err := f.callSuspects(ctx, http.MethodGet, nil)
	if err != nil {
		return nil, err
	}
	var list []suspectapi.Suspect
	return list, errors.Wrap(json.Unmarshal(body, &list), "parse response")
}

// postAction makes the routers release or hold a request. It checks the content first.
func (f routerFlags) postAction(ctx context.Context, action, content, organisation string) error {
	if _, err := quarantine.ParseKey(content); err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	_, err := f.callSuspects(ctx, http.MethodPost, url.Values{"do": {action}, "content": {content}, "organisation": {organisation}})
	return err
}

type listSuspects struct {
	routerFlags
	All    bool   `help:"Also list requests that crashed a single target, and requests that were cleared."`
	Output string `help:"Output format: text or json." short:"o" enum:"text,json" default:"text"`
}

// Run lists suspected requests, grouped by state.
func (c *listSuspects) Run(ctx context.Context, s streams) error {
	list, err := c.suspects(ctx)
	if err != nil {
		return err
	}
	var shown []suspectapi.Suspect
	for _, state := range []string{"held back", "sent away", "suspected", "cleared"} {
		for _, r := range list {
			if r.State == state && (c.All || r.Crashes > 1) {
				shown = append(shown, r)
			}
		}
	}
	if c.Output == "json" {
		return errors.Wrap(json.NewEncoder(s.out).Encode(shown), "write list")
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTENT\tPART\tORGANISATION\tSTATE\tTARGETS ENDED\tLAST ENDED\tLAST CAME")
	for _, r := range shown {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.0f s ago\t%.0f s ago\n", r.Content, cmp.Or(r.Part, "-"), r.Organisation, r.State, r.Crashes, r.SecondsSinceCrash, r.SecondsSinceSeen)
	}
	return errors.Wrap(w.Flush(), "write list")
}

type showSuspect struct {
	routerFlags
	Content string `arg:"" help:"The request's content hash, as in log lines and in the list."`
}

// Run shows one suspected request as JSON.
func (c *showSuspect) Run(ctx context.Context, s streams) error {
	list, err := c.suspects(ctx)
	if err != nil {
		return err
	}
	for _, r := range list {
		if r.Content == c.Content {
			out := json.NewEncoder(s.out)
			out.SetIndent("", "  ")
			return errors.Wrap(out.Encode(r), "write request")
		}
	}
	return errors.Errorf("router at %s suspects no request %q", c.Router, c.Content)
}

type releaseSuspect struct {
	routerFlags
	Content string `arg:"" help:"The request's content hash."`
}

// Run releases a request.
func (c *releaseSuspect) Run(ctx context.Context) error {
	return c.postAction(ctx, "release", c.Content, "")
}

type holdSuspect struct {
	routerFlags
	Content      string `arg:"" help:"The request's content hash."`
	Organisation string `help:"Organisation that sends the request."`
}

// Run holds a request back.
func (c *holdSuspect) Run(ctx context.Context) error {
	return c.postAction(ctx, "hold", c.Content, c.Organisation)
}
