package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/explain"
	"github.com/stepcroft/stepcroft/internal/explain/routerlog"
)

const (
	// progressIntervalBytes is how many bytes are read between two lines of progress.
	progressIntervalBytes = 64 << 20
	// maxBadLinesShown bounds the number of malformed lines that are reported one by one.
	maxBadLinesShown = 10
	// standardInput names the standard input among files.
	standardInput = "-"
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

// logFiles are the logs that the command reads.
type logFiles struct {
	streams
	names []string
	// unread holds the files that could not be read to their end, and notRead says what else could not be read.
	unread  map[string]bool
	notRead routerlog.Unread
}

// newLogFiles returns the logs with these names, and those in directories with these names, each once.
func newLogFiles(s streams, names []string) *logFiles {
	out := &logFiles{streams: s, unread: map[string]bool{}, notRead: routerlog.Unread{OtherNames: []string{}}}
	for _, name := range names {
		files, err := filesOf(name)
		if err != nil {
			out.noteUnread(name, err)
		}
		for _, f := range files {
			if !slices.Contains(out.names, f) {
				out.names = append(out.names, f)
			}
		}
	}
	return out
}

// filesOf returns the regular files in a directory, sorted, or the name itself if it is none.
func filesOf(name string) ([]string, error) {
	info, err := os.Stat(name)
	if name == standardInput || err != nil || !info.IsDir() {
		// Reading reports what is wrong with the name.
		return []string{filepath.Clean(name)}, nil
	}
	entries, err := os.ReadDir(name)
	if err != nil {
		return nil, errors.Wrap(err, "list directory of logs")
	}
	var out []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			out = append(out, filepath.Join(name, e.Name()))
		}
	}
	if len(out) == 0 {
		return nil, errors.Errorf("no files in directory %s", name)
	}
	return out, nil
}

// read passes the lines of all files to f, and reports those that cannot be parsed.
func (l *logFiles) read(f func(explain.Line)) {
	l.each(l.names, func(r io.Reader, name string) error {
		good, bad, first := 0, 0, []explain.BadLine(nil)
		err := explain.Read(r, name, func(line explain.Line) {
			good++
			f(line)
		}, func(b explain.BadLine) {
			if bad++; bad <= maxBadLinesShown {
				first = append(first, b)
			}
		})
		l.noteBadLines(name, good, bad, first)
		return err
	})
	if l.notRead.BadLines > maxBadLinesShown {
		fmt.Fprintf(l.err, "%d lines could not be parsed\n", l.notRead.BadLines)
	}
}

// reportUnread returns what could not be read.
func (l *logFiles) reportUnread() routerlog.Unread {
	out := l.notRead
	out.Files = len(l.unread)
	return out
}

// failure returns an error if a file could not be read to its end; noteUnread has said why.
func (l *logFiles) failure() error {
	if len(l.unread) == 0 {
		return nil
	}
	return errors.Errorf("%d of the logs could not be read to their end", len(l.unread))
}

// noteBadLines reports the first lines of a file that could not be parsed. A file of which no line could be is no log,
// and its lines are not reported.
func (l *logFiles) noteBadLines(name string, good, bad int, first []explain.BadLine) {
	if good == 0 && bad > 0 {
		l.notRead.AddOther(name)
		return
	}
	for i, b := range first {
		if l.notRead.BadLines+i < maxBadLinesShown {
			fmt.Fprintf(l.err, "%s, line %d: %v\n", b.File, b.Number, b.Err)
		}
	}
	l.notRead.BadLines += bad
}

// readAgain passes the lines of all files but standard input, which can be read only once, to f.
func (l *logFiles) readAgain(f func(explain.Line)) {
	files := slices.DeleteFunc(slices.Clone(l.names), func(name string) bool { return name == standardInput })
	l.each(files, func(r io.Reader, name string) error { return explain.Read(r, name, f, func(explain.BadLine) {}) })
}

// readMessage passes the lines with a message to f.
func (l *logFiles) readMessage(message string, f func(explain.Line)) {
	l.each(l.names, func(r io.Reader, name string) error { return explain.ReadMessage(r, name, message, f) })
}

// readTimes passes the lines of the times that are wanted to f.
func (l *logFiles) readTimes(wanted func(time.Time) bool, f func(explain.Line)) {
	l.each(l.names, func(r io.Reader, name string) error { return explain.ReadTimes(r, name, wanted, f) })
}

// each opens one file after the other and goes on with the next one if one fails.
func (l *logFiles) each(names []string, read func(io.Reader, string) error) {
	for _, name := range names {
		if err := l.open(name, read); err != nil {
			l.noteUnread(name, err)
		}
	}
}

func (l *logFiles) open(name string, read func(io.Reader, string) error) error {
	if name == standardInput {
		return read(&progressReader{Reader: os.Stdin, out: l.err}, "standard input")
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer file.Close()
	return read(&progressReader{Reader: file, out: l.err}, name)
}

// noteUnread reports a file that could not be read to its end, once.
func (l *logFiles) noteUnread(name string, err error) {
	if !l.unread[name] {
		fmt.Fprintln(l.err, "stepcroft:", err)
	}
	l.unread[name] = true
}
