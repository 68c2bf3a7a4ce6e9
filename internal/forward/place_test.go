package forward_test

import (
	"net/http"
	"testing"
)

// identified returns events with a line of data each; an id of "" is left out.
func identified(ids ...string) string {
	text := ""
	for _, id := range ids {
		if id != "" {
			text += "id: " + id + "\n"
		}
		text += "data: of " + id + "\n\n"
	}
	return text
}

// resumption is a stream that breaks off, what its targets answer, and what the caller must get.
type resumption struct {
	broken string
	// resumed answer the requests to resume the stream, in order.
	resumed []string
	want    string
	// cut is set if the stream must not be resumed at any target.
	cut bool
}

func (r resumption) check(t *testing.T) {
	t.Helper()
	sends := []func(string) send{func(string) send { return send{text: r.broken, breaks: true} }}
	for _, text := range r.resumed {
		sends = append(sends, func(string) send { return send{text: text} })
	}
	for _, buffered := range []bool{false, true} {
		got, result := forwardSends(t, buffered, sends...)
		if got != r.want || result.Truncated != r.cut || result.Status != http.StatusOK {
			t.Errorf("buffered: %t; the caller got %q, want %q; status %d, truncated: %t", buffered, got, r.want, result.Status, result.Truncated)
		}
	}
}

// TestStreamWithoutIDsIsNotSentTwice guards against a stream whose events have no ids and that is sent again from
// its start behind what the caller has.
func TestStreamWithoutIDsIsNotSentTwice(t *testing.T) {
	tests := map[string]resumption{
		"no ids": {
			broken: identified("", ""), resumed: []string{identified("", "", "")}, want: identified("", ""), cut: true,
		},
		"empty ids": {
			broken: "id:\ndata: x\n\nid\ndata: y\n\n", resumed: []string{"id:\ndata: x\n\n"}, want: "id:\ndata: x\n\nid\ndata: y\n\n", cut: true,
		},
		"only comments so far": {
			broken: ": wait\n\n", resumed: []string{identified("1", "2")}, want: ": wait\n\n" + identified("1", "2"),
		},
	}
	for name, test := range tests {
		t.Run(name, test.check)
	}
}

// TestEventsWithoutIDAreNotRepeated guards against events without an id that come after the last one with an id
// and that the next target sends again.
func TestEventsWithoutIDAreNotRepeated(t *testing.T) {
	tests := map[string]resumption{
		"in the middle": {
			broken: identified("1", ""), resumed: []string{identified("", "2", "", "3")}, want: identified("1", "", "2", "", "3"),
		},
		"at the end": {
			broken: identified("1") + "data: [DONE]\n\n", resumed: []string{"data: [DONE]\n\n"}, want: identified("1") + "data: [DONE]\n\n",
		},
		"two, and a comment": {
			broken: identified("1", "", ""), resumed: []string{": resumed\n\n" + identified("", "", "", "2")}, want: identified("1", "", "") + ": resumed\n\n" + identified("", "2"),
		},
		"an empty id resets nothing": {
			broken: identified("1") + "id:\ndata: x\n\n", resumed: []string{"id:\ndata: x\n\n" + identified("2")}, want: identified("1") + "id:\ndata: x\n\n" + identified("2"),
		},
		"others": {
			broken: identified("1", ""), resumed: []string{"data: other\n\n" + identified("2")}, want: identified("1", "") + "data: other\n\n" + identified("2"),
		},
	}
	for name, test := range tests {
		t.Run(name, test.check)
	}
}

// TestIDsWithoutOrderAreNotRepeated guards against events whose ids are no numbers and that a target sends again
// which does not resume the stream where it is asked to.
func TestIDsWithoutOrderAreNotRepeated(t *testing.T) {
	tests := map[string]resumption{
		"from the start": {
			broken: identified("a", "b"), resumed: []string{identified("a", "b", "c"), identified("c")}, want: identified("a", "b", "c"),
		},
		"the last one again": {
			broken: identified("a", "b"), resumed: []string{identified("b", "c"), identified("c")}, want: identified("a", "b", "c"),
		},
		"from the middle, everywhere": {
			broken: identified("a", "b", "c"), resumed: []string{identified("b", "c"), identified("b")}, want: identified("a", "b", "c"), cut: true,
		},
		"large numbers": {
			broken: identified("99999999999999999998", "99999999999999999999"), resumed: []string{identified("99999999999999999998"), ""},
			want: identified("99999999999999999998", "99999999999999999999"),
		},
		"in their place": {
			broken: identified("b", "a"), resumed: []string{identified("c", "aa")}, want: identified("b", "a", "c", "aa"),
		},
	}
	for name, test := range tests {
		t.Run(name, test.check)
	}
}
