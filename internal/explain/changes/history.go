// Package changes finds in routers' logs which requests ended around a change of the configuration without a whole
// answer, and why, and what the logs cannot tell. Collect the changes in a History, select some, and pass each line to a
// Search.
package changes

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/explain"
)

// MessageInForce is the message of the lines that routers write as a configuration comes into force.
const MessageInForce = "configuration in force"

// maxChanges bounds the number of changes that are kept in memory.
const maxChanges = 50_000

var (
	// ErrSelection means that a text names no change.
	ErrSelection = errors.New("change is neither last, all nor a version")
	// ErrUnknownChange means that no line of the logs has the change.
	ErrUnknownChange = errors.New("change is not in the logs")
)

// Change is a change of the configuration, as it came into force at the routers.
type Change struct {
	// Version is the operators' number; Era and Revision tell writes of the same version apart.
	Version  int64 `json:"version"`
	Era      int64 `json:"era"`
	Revision int64 `json:"revision"`
	// First and Last are when it came into force at the first and at the last router.
	First       time.Time `json:"first"`
	Last        time.Time `json:"last"`
	FirstRouter string    `json:"first_router"`
	LastRouter  string    `json:"last_router"`
	// Routers is the number of routers at which it replaced another one, Starts that of those that began with it. First
	// and Last are of the starts only if there is nothing else.
	Routers int `json:"routers"`
	Starts  int `json:"starts"`
}

type changeKey struct{ version, era, revision int64 }

// History holds the changes of the configuration that logs tell of. The zero value is empty.
type History struct {
	changes map[changeKey]*Change
	// before is when the last change came into force that is left out, leftOut the number of those.
	before  time.Time
	leftOut int
}

// Add notes a line with MessageInForce; it ignores others.
func (h *History) Add(l explain.Line) {
	if l.Message != MessageInForce || !l.Time.After(h.before) {
		return
	}
	key := changeKey{int64(l.Number("version")), int64(l.Number("era")), int64(l.Number("revision"))}
	c := h.changes[key]
	if c == nil {
		c = &Change{Version: key.version, Era: key.era, Revision: key.revision}
		if h.changes == nil {
			h.changes = map[changeKey]*Change{}
		}
		h.changes[key] = c
	}
	c.add(l)
	if len(h.changes) > 2*maxChanges {
		h.dropOldest()
	}
}

func (c *Change) add(l explain.Line) {
	before, known := l.Fields["version_before"].(float64)
	atStart := known && before == 0
	if atStart {
		c.Starts++
		if c.Routers > 0 {
			return
		}
	} else if c.Routers++; c.Routers == 1 {
		c.First, c.Last = time.Time{}, time.Time{}
	}
	if c.First.IsZero() || l.Time.Before(c.First) {
		c.First, c.FirstRouter = l.Time, l.Router
	}
	if l.Time.After(c.Last) {
		c.Last, c.LastRouter = l.Time, l.Router
	}
}

func (h *History) dropOldest() {
	list := h.sorted()
	for _, c := range list[:len(list)-maxChanges] {
		delete(h.changes, changeKey{c.Version, c.Era, c.Revision})
		h.before = c.Last
		h.leftOut++
	}
}

// sorted returns the changes, the oldest one first.
func (h *History) sorted() []*Change {
	return slices.SortedFunc(maps.Values(h.changes), func(a, b *Change) int {
		return cmp.Or(a.First.Compare(b.First), cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Version, b.Version))
	})
}

// Selection says which changes are looked at. Use ParseSelection to create one.
type Selection struct {
	last, all bool
	version   int64
}

// ParseSelection reads a selection: last, all or a version.
func ParseSelection(text string) (Selection, error) {
	switch text {
	case "last":
		return Selection{last: true}, nil
	case "all":
		return Selection{all: true}, nil
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return Selection{}, errors.Wrapf(ErrSelection, "%q", text)
	}
	return Selection{version: version}, nil
}

// Select returns the selected changes and the others, the oldest one first.
func (h *History) Select(s Selection) (selected, others []Change, err error) {
	list := h.sorted()
	if len(list) == 0 {
		return nil, nil, errors.Wrapf(ErrUnknownChange, "no line %q", MessageInForce)
	}
	last := list[len(list)-1]
	for _, c := range list {
		if c.Routers > 0 && (c.First.After(last.First) || last.Routers == 0) {
			last = c
		}
	}
	for _, c := range list {
		if s.all || s.last && c == last || !s.last && c.Version == s.version {
			selected = append(selected, *c)
		} else {
			others = append(others, *c)
		}
	}
	if len(selected) == 0 {
		return nil, nil, errors.Wrapf(ErrUnknownChange, "version %d, of %d changes from version %d to %d", s.version, len(list), list[0].Version, last.Version)
	}
	return selected, others, nil
}
