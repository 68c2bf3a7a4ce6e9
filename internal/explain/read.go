// Package explain reconstructs from routers' log lines what happened to one request and why.
package explain

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Line is a log line of a router.
type Line struct {
	Time   time.Time
	Router string
	// Message is the line's message. Fields holds all keys of the line, including its time and
	// message.
	Message string
	Fields  map[string]any
}

// Text returns a field as text, empty if it is missing or of another type.
func (l Line) Text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Number returns a field as a number, 0 if it is missing or of another type.
func (l Line) Number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// BadLine is a line that cannot be parsed.
type BadLine struct {
	File   string
	Number int
	Err    error
}

// maxLineBytes bounds the length of a line, in bytes. Routers write lines of a few hundred bytes.
const maxLineBytes = 1 << 20

// errNoJSON means that a line contains no JSON object.
var errNoJSON = errors.New("no JSON object")

// gzipMagic is the first two bytes of a file compressed with gzip.
var gzipMagic = []byte{0x1f, 0x8b}

// Read calls f for each line of a router's log, plain or compressed with gzip, and bad for
// each line that cannot be parsed. It ignores text before the JSON object, such as a timestamp
// that a log collector prepended.
func Read(r io.Reader, name string, f func(Line), bad func(BadLine)) error {
	var previous Line
	return scan(r, name, func(n int, text []byte) {
		l, err := parseLine(text, previous)
		if err != nil {
			bad(BadLine{name, n, err})
			return
		}
		previous = l
		f(l)
	}, bad)
}

// ReadMessage calls f for each line with a message. It decodes no others, which takes a fraction of the time of Read,
// and passes over lines that cannot be parsed.
func ReadMessage(r io.Reader, name, message string, f func(Line)) error {
	quoted := []byte(`"` + message + `"`)
	return readSome(r, name, func(text []byte) bool { return bytes.Contains(text, quoted) }, func(l Line) {
		if l.Message == message {
			f(l)
		}
	})
}

// ReadTimes calls f for each line of a time that is wanted. It decodes no others, and passes over lines that cannot be
// parsed or have no time.
func ReadTimes(r io.Reader, name string, wanted func(time.Time) bool, f func(Line)) error {
	return readSome(r, name, func(text []byte) bool {
		_, after, _ := bytes.Cut(text, []byte(`"time":"`))
		clock, _, _ := bytes.Cut(after, []byte(`"`))
		at, err := time.Parse(time.RFC3339Nano, string(clock))
		return err == nil && wanted(at)
	}, f)
}

// readSome calls f for those of the lines whose text is wanted.
func readSome(r io.Reader, name string, wanted func([]byte) bool, f func(Line)) error {
	return scan(r, name, func(_ int, text []byte) {
		if !wanted(text) {
			return
		}
		if l, err := parseLine(text, Line{}); err == nil {
			f(l)
		}
	}, func(BadLine) {})
}

// scan calls f for each line that is not blank, and bad for each one that is too long.
func scan(r io.Reader, name string, f func(n int, text []byte), bad func(BadLine)) error {
	in := bufio.NewReaderSize(r, maxLineBytes)
	if head, err := in.Peek(len(gzipMagic)); err == nil && bytes.Equal(head, gzipMagic) {
		z, err := gzip.NewReader(in)
		if err != nil {
			return errors.Wrapf(err, "decompress %s", name)
		}
		in = bufio.NewReaderSize(z, maxLineBytes)
	}
	for n := 1; ; n++ {
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			bad(BadLine{name, n, errors.Errorf("longer than %d bytes", maxLineBytes)})
			err = skipLine(in)
			text = nil
		}
		if text = bytes.TrimSpace(text); len(text) > 0 {
			f(n, text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "read %s after line %d", name, n)
		}
	}
}

// skipLine discards the rest of the current line.
func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// msgLinesDropped is the message of the line that counts the lines that a router dropped because
// it logged too fast. That line has neither time nor router; parseLine copies them from the line
// before it.
const msgLinesDropped = "log lines dropped"

// parseLine parses a line. A line without time and router takes those of previous, the line before
// it.
func parseLine(text []byte, previous Line) (Line, error) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, errNoJSON
	}
	var l Line
	if err := json.Unmarshal(text[i:], &l.Fields); err != nil {
		return Line{}, errors.Wrap(err, "decode")
	}
	if l.Message = l.Text("msg"); l.Message == msgLinesDropped {
		l.Time, l.Router = previous.Time, previous.Router
		return l, nil
	}
	at, err := time.Parse(time.RFC3339Nano, l.Text("time"))
	if err != nil {
		return Line{}, errors.Wrap(err, "parse time of line")
	}
	l.Time, l.Router = at, l.Text("router")
	return l, nil
}
