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
	Output string   `help:"text or json." short:"o" enum:"text,json" default:"text"`
	Files  []string `arg:"" help:"Routers' logs, plain or gzip; - for standard input, which is read once: requests beside this one are not counted then."`
}

const (
	// progressEvery is the number of bytes after which progress is shown.
	progressEvery = 64 << 20
	// badShown is how many lines that cannot be read are shown.
	badShown = 10
)

// progress shows how much was read.
type progress struct {
	io.Reader
	out         io.Writer
	read, shown int64
}

func (p *progress) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	p.read += int64(n)
	if p.read-p.shown >= progressEvery {
		p.shown = p.read
		fmt.Fprintf(p.out, "%d MB read\n", p.read>>20)
	}
	return n, err
}

// Run tells the story of a request.
func (c *explainCommand) Run(s streams) error {
	story := explain.New(c.ID)
	bad := 0
	failed := c.read(s, story.Add, func(b explain.BadLine) {
		if bad++; bad <= badShown {
			fmt.Fprintf(s.err, "%s, line %d: %v\n", b.File, b.Number, b.Err)
		}
	}, false)
	if bad > badShown {
		fmt.Fprintf(s.err, "%d lines cannot be read\n", bad)
	}
	story.Sort()
	// What cannot be read was told the first time.
	if err := c.read(s, story.AddNeighbour, func(explain.BadLine) {}, true); failed == nil {
		failed = err
	}
	if c.Output == "json" {
		if err := json.NewEncoder(s.out).Encode(story.Explain()); err != nil {
			return errors.Wrap(err, "write story")
		}
		return failed
	}
	for _, l := range story.Explain().Text() {
		fmt.Fprintln(s.out, l)
	}
	return failed
}

// read reads all files; again leaves out what can be read only once. A file that fails does
// not keep the others from being read.
func (c *explainCommand) read(s streams, f func(explain.Line), bad func(explain.BadLine), again bool) error {
	var failed error
	for _, name := range c.Files {
		if name == "-" && again {
			continue
		}
		if err := readFile(s, name, f, bad); err != nil {
			if !again {
				fmt.Fprintln(s.err, "stepcroft:", err)
			}
			failed = err
		}
	}
	return failed
}

func readFile(s streams, name string, f func(explain.Line), bad func(explain.BadLine)) error {
	if name == "-" {
		return explain.Read(&progress{Reader: os.Stdin, out: s.err}, "standard input", f, bad)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer file.Close()
	return explain.Read(&progress{Reader: file, out: s.err}, name, f, bad)
}
