package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/explain"
)

// explainCommand is "stepcroft explain".
type explainCommand struct {
	ID     string   `help:"The request's id." required:""`
	Output string   `help:"Output format: text or json." short:"o" enum:"text,json" default:"text"`
	Files  []string `arg:"" help:"Routers' logs, plain or compressed with gzip; - for standard input. Standard input is read only once, so other requests in it are not counted for comparison."`
}

const (
	// progressIntervalBytes is how many bytes are read between two lines of progress.
	progressIntervalBytes = 64 << 20
	// maxBadLinesShown bounds the number of malformed lines that are reported one by one.
	maxBadLinesShown = 10
)

// progressReader is a reader that writes to out how much was read.
type progressReader struct {
	io.Reader
	out                  io.Writer
	bytesRead, lastShown int64
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	p.bytesRead += int64(n)
	if p.bytesRead-p.lastShown >= progressIntervalBytes {
		p.lastShown = p.bytesRead
		fmt.Fprintf(p.out, "%d MB read\n", p.bytesRead>>20)
	}
	return n, err
}

// Run explains what happened to a request.
func (c *explainCommand) Run(s streams) error {
	timeline := explain.New(c.ID)
	bad := 0
	failed := c.read(s, timeline.Add, func(b explain.BadLine) {
		if bad++; bad <= maxBadLinesShown {
			fmt.Fprintf(s.err, "%s, line %d: %v\n", b.File, b.Number, b.Err)
		}
	}, false)
	if bad > maxBadLinesShown {
		fmt.Fprintf(s.err, "%d lines could not be parsed\n", bad)
	}
	timeline.Sort()
	// The first pass reported the lines and files that cannot be read.
	if err := c.read(s, timeline.AddNeighbour, func(explain.BadLine) {}, true); failed == nil {
		failed = err
	}
	if c.Output == "json" {
		if err := json.NewEncoder(s.out).Encode(timeline.Explain()); err != nil {
			return errors.Wrap(err, "write explanation")
		}
		return failed
	}
	for _, l := range timeline.Explain().Text() {
		fmt.Fprintln(s.out, l)
	}
	return failed
}

// read passes the lines of all files to f, and goes on with the next file if one fails. The second
// pass skips standard input, which can be read only once, and does not report errors again.
func (c *explainCommand) read(s streams, f func(explain.Line), bad func(explain.BadLine), secondPass bool) error {
	var failed error
	for _, name := range c.Files {
		if name == "-" && secondPass {
			continue
		}
		if err := readFile(s, name, f, bad); err != nil {
			if !secondPass {
				fmt.Fprintln(s.err, "stepcroft:", err)
			}
			failed = err
		}
	}
	return failed
}

func readFile(s streams, name string, f func(explain.Line), bad func(explain.BadLine)) error {
	if name == "-" {
		return explain.Read(&progressReader{Reader: os.Stdin, out: s.err}, "standard input", f, bad)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer file.Close()
	return explain.Read(&progressReader{Reader: file, out: s.err}, name, f, bad)
}
