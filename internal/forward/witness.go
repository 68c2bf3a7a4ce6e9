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
			if t.goesOn && (t.named || t.connectedAt.Before(before)) {
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
// was meant, and when the connection was made on which it came.
type testimony struct {
	goesOn, named bool
	connectedAt   time.Time
}

// question sends a GET of a path to a target. It returns httptarget.ErrOtherProcess if another one answers.
func question(ctx context.Context, s Sender, h HeaderNames, to balance.Target, path string) (*httptarget.Answer, error) {
	head := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n", path, to.Address)
	head = append(appendHeader(head, h.ExpectTarget, to.ID), "\r\n"...)
	a, err := s.Send(ctx, to.Address, httptarget.Request{Method: http.MethodGet, Head: head, Instance: to.Incarnation()})
	if err != nil {
		return nil, err
	}
	if name := a.Header.Get(h.ServedBy); a.Status == http.StatusMisdirectedRequest || name != "" && name != to.ID {
		a.Close()
		return nil, httptarget.ErrOtherProcess
	}
	return a, nil
}

// ask asks the process of a target with a GET of a path. It returns httptarget.ErrOtherProcess if another one answers.
func ask(ctx context.Context, s Sender, h HeaderNames, q StatusQuery, to balance.Target, path string) (testimony, error) {
	a, err := question(ctx, s, h, to, path)
	if err != nil {
		return testimony{}, err
	}
	defer a.Close()
	// The answer's head is evidence enough; what the body lacks is not known.
	text, _ := readStatus(a)
	t := testimony{named: a.Header.Get(h.ServedBy) != "", connectedAt: a.ConnectedAt()}
	t.goesOn = t.named || a.Status == http.StatusOK || a.Header.Get(h.NotRun) != ""
	if born, ok := q.started(text); ok && to.Born != 0 && path == q.Path {
		if born > to.Born {
			return testimony{}, httptarget.ErrOtherProcess
		}
		t.named = true
	}
	return t, nil
}

// readStatus reads the status in an answer, as far as it is JSON. It does not wait for the end of an answer that ends with
// its connection: whether that is whole may be what is asked for, and JSON needs no other mark of its end.
func readStatus(a *httptarget.Answer) (json.RawMessage, error) {
	var text json.RawMessage
	body := io.LimitReader(a, maxStatusBytes)
	err := json.NewDecoder(body).Decode(&text)
	if a.Framing() != httptarget.Unframed {
		// The connection can be reused once its answer has been read to the end.
		_, _ = io.Copy(io.Discard, body)
	}
	return text, errors.Wrap(err, "read status")
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
