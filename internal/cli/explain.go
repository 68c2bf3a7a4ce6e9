package cli

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/explain"
	"github.com/stepcroft/stepcroft/internal/explain/changes"
	explainstreams "github.com/stepcroft/stepcroft/internal/explain/streams"
)

// explainCommand is "stepcroft explain".
type explainCommand struct {
	ID      string        `help:"The request's id." xor:"what" required:""`
	Change  string        `help:"Explain which requests had no whole answer near a change of the configuration: last, all or its version." xor:"what" required:""`
	Streams bool          `help:"Explain which streams were out of order, over the logs of all routers." xor:"what" required:""`
	Window  time.Duration `help:"With --change: how long after the change has reached the last router the end of a request counts as near it." default:"3s"`
	AllEnds bool          `help:"With --change: list refused requests and those whose callers left, too."`
	Limit   int           `help:"With --change: how many requests of each end are listed; with --streams: how many streams of each kind." default:"200"`
	Output  string        `help:"Output format: text or json." short:"o" enum:"text,json" default:"text"`
	Files   []string      `arg:"" help:"Routers' logs or directories of them, plain or compressed with gzip; - for standard input. Standard input is read only once, so other requests in it are not counted for comparison, and --change and --streams cannot read it."`
}

// explanation is what the command prints.
type explanation interface{ Text() []string }

// Run explains what happened to a request, to those near a change of the configuration, or to streams.
func (c *explainCommand) Run(s streams) error {
	logs := newLogFiles(s, c.Files)
	var out explanation
	switch {
	case c.ID != "":
		out = c.explainRequest(logs)
	case c.Streams:
		report, err := c.explainStreams(logs)
		if err != nil {
			return err
		}
		out = report
	default:
		report, err := c.explainChange(logs)
		if err != nil {
			return err
		}
		out = report
	}
	if c.Output == "json" {
		if err := json.NewEncoder(s.out).Encode(out); err != nil {
			return errors.Wrap(err, "write explanation")
		}
		return logs.failure()
	}
	for _, l := range out.Text() {
		fmt.Fprintln(s.out, l)
	}
	return logs.failure()
}

func (c *explainCommand) explainRequest(logs *logFiles) explain.Explanation {
	timeline := explain.New(c.ID)
	logs.read(timeline.Add)
	if text := logs.notRead.OthersText(); text != "" {
		fmt.Fprintln(logs.err, text)
	}
	timeline.Sort()
	logs.readAgain(timeline.AddNeighbour)
	return timeline.Explain()
}

func (c *explainCommand) explainChange(logs *logFiles) (changes.Report, error) {
	selection, err := changes.ParseSelection(c.Change)
	switch {
	case err != nil:
		return changes.Report{}, errors.Wrap(errUsage, "--change: "+err.Error())
	case slices.Contains(logs.names, standardInput):
		return changes.Report{}, errors.Wrap(errUsage, "--change reads logs more than once, and cannot read standard input")
	case c.Limit < 1, c.Window < 0:
		return changes.Report{}, errors.Wrap(errUsage, "--limit must be positive, and --window not negative")
	}
	var history changes.History
	logs.readMessage(changes.MessageInForce, history.Add)
	search, err := changes.New(&history, selection, changes.Options{After: c.Window, All: c.AllEnds, Limit: c.Limit})
	if err != nil {
		return changes.Report{}, err
	}
	logs.read(search.Add)
	search.Sort()
	logs.readTimes(search.WantsNeighbours, search.AddNeighbour)
	return search.Report(logs.reportUnread()), nil
}

func (c *explainCommand) explainStreams(logs *logFiles) (explainstreams.Report, error) {
	switch {
	case slices.Contains(logs.names, standardInput):
		return explainstreams.Report{}, errors.Wrap(errUsage, "--streams reads logs more than once, and cannot read standard input")
	case c.Limit < 1:
		return explainstreams.Report{}, errors.Wrap(errUsage, "--limit must be positive")
	}
	search := explainstreams.New(c.Limit)
	logs.read(search.Add)
	logs.readMessage(explainstreams.MessageRequest, search.AddBeginning)
	logs.readMessage(explainstreams.MessageBegan, search.AddBeginning)
	return search.Report(logs.reportUnread()), nil
}
