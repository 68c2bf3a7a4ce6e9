package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// errNoTestimony means that nothing that answers in a target's place shows that its process goes on.
var errNoTestimony = errors.New("no answer of the target's process")

// witness returns what asks the process of a target whether it goes on: an engine for its status, which takes no slot
// there, and any target that is not named by that for its health; nil if it has no path for either.
func (x *inflight) witness(to balance.Target) httptarget.Witness {
	var paths []string
	if x.ToEngine && x.status.Path != "" {
		paths = append(paths, x.status.Path)
	}
	if x.HealthPath != "" {
		paths = append(paths, x.HealthPath)
	}
	if len(paths) == 0 {
		return nil
	}
	sender, headers, status := x.sender, x.headers, x.status
	return func(ctx context.Context, before time.Time) error {
		var t testimony
		for _, path := range paths {
			var err error
			if t, err = ask(ctx, sender, headers, status, to, path); err != nil {
				return err
			}
			if t.goesOn && (t.named || t.known && t.connectedAt.Before(before)) {
				return nil
			}
		}
		// It was asked by its id, and another target would say that it is not the one.
		if t.goesOn {
			return nil
		}
		return errNoTestimony
	}
}

// testimony is what a target's answer shows: whether it is that of a running target, whether it names the process that
// was meant, whether that had answered on the same connection before, and when that was made.
type testimony struct {
	goesOn, named, known bool
	connectedAt          time.Time
}

// ask asks the process of a target with a GET of a path. It returns httptarget.ErrOtherProcess if another one answers.
// An answer with an id of a request is a late one to an earlier request.
func ask(ctx context.Context, s Sender, h HeaderNames, q StatusQuery, to balance.Target, path string) (testimony, error) {
	head := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n", path, to.Address)
	head = append(appendHeader(head, h.ExpectTarget, to.ID), "\r\n"...)
	a, err := s.Send(ctx, to.Address, httptarget.Request{Method: http.MethodGet, Head: head, Instance: to.Incarnation(), IDHeader: h.RequestID, PlainEnd: true})
	if err != nil {
		return testimony{}, err
	}
	defer a.Close()
	// The answer's head is evidence enough; what the body lacks is not known.
	text, _ := io.ReadAll(io.LimitReader(a, maxStatusBytes))
	name := a.Header.Get(h.ServedBy)
	if a.Status == http.StatusMisdirectedRequest || name != "" && name != to.ID {
		return testimony{}, httptarget.ErrOtherProcess
	}
	t := testimony{named: name != "", known: a.IsConnectionKnown(), connectedAt: a.ConnectedAt()}
	if t.named {
		a.SetConnectionKnown()
	}
	t.goesOn = t.named || a.Status == http.StatusOK || a.Header.Get(h.NotRun) != ""
	if born, ok := q.started(text); ok && to.Born != 0 && path == q.Path {
		if born > to.Born {
			return testimony{}, httptarget.ErrOtherProcess
		}
		t.named = true
	}
	return t, nil
}

// started returns when a process started according to its status, in Unix milliseconds.
func (q StatusQuery) started(text []byte) (int64, bool) {
	var fields map[string]json.RawMessage
	var born int64
	if json.Unmarshal(text, &fields) != nil || json.Unmarshal(fields[q.Field], &born) != nil {
		return 0, false
	}
	return born, true
}
