package eventstream_test

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/eventstream"
)

// errSource is the error of a pieceSource.
var errSource = errors.New("source broke")

// pieceSource returns its text in given pieces, the last one together with end if joined is set.
type pieceSource struct {
	pieces []string
	joined bool
	end    error
}

func (s *pieceSource) Read(b []byte) (int, error) {
	if len(s.pieces) == 0 {
		return 0, s.end
	}
	n := copy(b, s.pieces[0])
	if s.pieces[0] = s.pieces[0][n:]; s.pieces[0] == "" {
		s.pieces = s.pieces[1:]
	}
	if len(s.pieces) == 0 && s.joined {
		return n, s.end
	}
	return n, nil
}

// drawStream draws a stream of events, part of which have ids that do not increase.
func drawStream(t *rapid.T) string {
	var b strings.Builder
	id := rapid.Int64Range(-2, 3).Draw(t, "first")
	for range rapid.IntRange(0, 12).Draw(t, "events") {
		ends := rapid.SampledFrom([][]string{{"\n"}, {"\r\n"}, {"\n", "\r\n"}}).Draw(t, "line ends")
		end := func() string { return rapid.SampledFrom(ends).Draw(t, "line end") }
		if rapid.Bool().Draw(t, "comment") {
			fmt.Fprintf(&b, ": id: 9%s", end())
		}
		if rapid.IntRange(0, 5).Draw(t, "identified") > 0 {
			id += rapid.SampledFrom([]int64{1, 1, 1, 1, 1, 1, 1, 1, 7, 0, -1}).Draw(t, "step")
			fmt.Fprintf(&b, "id:%s%d%s", rapid.SampledFrom([]string{"", " "}).Draw(t, "blank"), id, end())
		}
		fmt.Fprintf(&b, "data: %s%s%s", strings.Repeat("x", rapid.SampledFrom([]int{0, 1, 30, 3000}).Draw(t, "size")), end(), end())
	}
	return b.String()
}

// naiveEvents splits a text into whole events and the rest.
func naiveEvents(text string) (events []string, rest string) {
	event := ""
	for line := range strings.Lines(text) {
		event += line
		if line == "\n" || line == "\r\n" {
			events, event = append(events, event), ""
		}
	}
	return events, event
}

// naiveID returns the id of an event, and false if it has none.
func naiveID(event string) (int, bool) {
	for line := range strings.Lines(event) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(value))
			return n, err == nil
		}
	}
	return 0, false
}

// TestEventsAgainstNaive guards against events that are lost, doubled, torn or passed on although their ids do not
// increase, however the bytes of a stream arrive and wherever it breaks off.
func TestEventsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawStream(t)
		text = text[:rapid.IntRange(0, len(text)).Draw(t, "length")]
		source := &pieceSource{joined: rapid.Bool().Draw(t, "joined"), end: rapid.SampledFrom([]error{io.EOF, errSource}).Draw(t, "end")}
		for left := text; left != ""; {
			n := rapid.IntRange(1, min(len(left), rapid.SampledFrom([]int{1, 40, 5000}).Draw(t, "most"))).Draw(t, "piece")
			source.pieces, left = append(source.pieces, left[:n]), left[n:]
		}
		after := rapid.SampledFrom([]string{"", "1", "3"}).Draw(t, "after")
		events, rest := naiveEvents(text)
		want, ordered := "", true
		last, known := 0, after != ""
		if known {
			last, _ = strconv.Atoi(after)
		}
		for _, event := range events {
			id, ok := naiveID(event)
			if ordered = !ok || !known || id > last; !ordered {
				break
			}
			if ok {
				last, known = id, true
			}
			want += event
		}
		got, lastID, err := "", after, error(nil)
		reader := eventstream.New(source, nil, nil)
		for err == nil {
			var batch eventstream.Batch
			batch, err = reader.Next(lastID)
			if batch.Text != nil {
				got, lastID = got+string(batch.Text), batch.LastID
			}
		}
		complete := err == io.EOF
		switch {
		case !ordered && (!errors.Is(err, eventstream.ErrOrder) || !strings.HasPrefix(want, got)):
			t.Fatalf("events %q out of order: got %q and %v", text, got, err)
		case ordered && (got != want || known && lastID != strconv.Itoa(last)):
			t.Fatalf("got %q up to id %s, want %q up to %d", got, lastID, want, last)
		case ordered && complete != (rest == "" && source.end == io.EOF):
			t.Fatalf("ends with %v, %q is left", err, rest)
		}
	})
}
