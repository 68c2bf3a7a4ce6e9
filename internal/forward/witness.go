package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// errNoTestimony means that nothing that answers in a target's place shows that its process goes on.
var errNoTestimony = errors.New("no answer of the target's process")

// witness returns what asks the process of a target whether it goes on: an engine for its status, which takes no slot
// there, any target that is not named by that for its health, and one that has no path for either for its options.
func (x *inflight) witness(to balance.Target) httptarget.Witness {
	var questions []string
	if x.ToEngine && x.status.Path != "" {
		questions = append(questions, http.MethodGet+" "+x.status.Path)
	}
	if x.HealthPath != "" {
		questions = append(questions, http.MethodGet+" "+x.HealthPath)
	}
	if len(questions) == 0 {
		questions = append(questions, serverOptions)
	}
	sender, headers, status, engine := x.sender, x.headers, x.status, x.ToEngine
	return func(ctx context.Context, before time.Time) error {
		var t testimony
		for _, question := range questions {
			var err error
			t, err = ask(ctx, sender, headers, status, to, question)
			if err != nil {
				return err
			}
			if t.goesOn && (t.named || t.connectedAt.Before(before)) {
				return nil
			}
		}
		// Engines name themselves. Other targets were asked by their ids, and another one would say that it is not meant.
		if t.goesOn && !engine {
			return nil
		}
		return errNoTestimony
	}
}

// serverOptions asks a server for its options (RFC 9110, section 9.3.7), which changes nothing.
const serverOptions = http.MethodOptions + " *"

// testimony is what a target's answer shows: whether it is that of a running target, whether it names the process that
// was meant, and when the connection was made on which it came.
type testimony struct {
	goesOn, named bool
	connectedAt   time.Time
}

// ask asks the process of a target with a request of a method and a path. It returns httptarget.ErrOtherProcess if
// another one answers.
func ask(ctx context.Context, s Sender, h HeaderNames, q StatusQuery, to balance.Target, question string) (testimony, error) {
	method, path, _ := strings.Cut(question, " ")
	head := fmt.Appendf(nil, "%s HTTP/1.1\r\nHost: %s\r\n", question, to.Address)
	head = append(appendHeader(head, h.ExpectTarget, to.ID), "\r\n"...)
	a, err := s.Send(ctx, to.Address, httptarget.Request{Method: method, Head: head, Instance: to.Incarnation(), Asks: true})
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
	t := testimony{named: name != "", connectedAt: a.ConnectedAt()}
	t.goesOn = t.named || a.Status == http.StatusOK || question == serverOptions || a.Header.Get(h.NotRun) != ""
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
