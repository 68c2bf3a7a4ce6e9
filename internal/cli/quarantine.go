package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// quarantineCommand is "stepcroft quarantine".
type quarantineCommand struct {
	List    listSuspects   `cmd:"" help:"List the requests under which targets ended, those held back first."`
	Show    showSuspect    `cmd:"" help:"Show one of them."`
	Release releaseSuspect `cmd:"" help:"Let one go at all routers: targets have to end under it anew."`
	Hold    holdSuspect    `cmd:"" help:"Hold one back at all routers, until it is released or has not come for an hour."`
}

// asked is a router that is asked.
type asked struct {
	Router  string        `help:"Any router's metrics address." required:""`
	Timeout time.Duration `help:"How long to wait for it." default:"3s"`
}

// call sends a call to the router and returns its answer.
func (a asked) call(ctx context.Context, method string, values url.Values) ([]byte, error) {
	return askRouter(ctx, a.Timeout, method, a.Router, "/suspects?"+values.Encode())
}

// suspects returns what the router suspects.
func (a asked) suspects(ctx context.Context) ([]gateway.Suspect, error) {
	body, err := a.call(ctx, http.MethodGet, nil)
	if err != nil {
		return nil, err
	}
	var list []gateway.Suspect
	return list, errors.Wrap(json.Unmarshal(body, &list), "read answer")
}

// act asks the router to do something with a request.
func (a asked) act(ctx context.Context, do, content, organisation string) error {
	if _, err := quarantine.ParseKey(content); err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	_, err := a.call(ctx, http.MethodPost, url.Values{"do": {do}, "content": {content}, "organisation": {organisation}})
	return err
}

type listSuspects struct {
	asked
	All    bool   `help:"Also those that one target ended under, and those that were cleared."`
	Output string `help:"text or json." short:"o" enum:"text,json" default:"text"`
}

// Run lists suspected requests.
func (c *listSuspects) Run(ctx context.Context, s streams) error {
	list, err := c.suspects(ctx)
	if err != nil {
		return err
	}
	var shown []gateway.Suspect
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
	fmt.Fprintln(w, "CONTENT\tORGANISATION\tSTATE\tTARGETS ENDED\tLAST ENDED\tLAST CAME")
	for _, r := range shown {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.0f s ago\t%.0f s ago\n", r.Content, r.Organisation, r.State, r.Crashes, r.SecondsSinceCrash, r.SecondsSinceSeen)
	}
	return errors.Wrap(w.Flush(), "write list")
}

type showSuspect struct {
	asked
	Content string `arg:"" help:"The request's content, as lines and the list have it."`
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
	asked
	Content string `arg:"" help:"The request's content."`
}

// Run lets a request go.
func (c *releaseSuspect) Run(ctx context.Context) error {
	return c.act(ctx, "release", c.Content, "")
}

type holdSuspect struct {
	asked
	Content      string `arg:"" help:"The request's content."`
	Organisation string `help:"Whose it is."`
}

// Run holds a request back.
func (c *holdSuspect) Run(ctx context.Context) error {
	return c.act(ctx, "hold", c.Content, c.Organisation)
}
