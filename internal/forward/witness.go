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
		questions = append(questions, x.status.question())
	}
	if x.HealthPath != "" {
		questions = append(questions, http.MethodGet+" "+x.HealthPath)
	}
	if len(questions) == 0 {
		questions = append(questions, serverOptions)
	}
	sender, headers, status := x.sender, x.headers, x.status
	return func(ctx context.Context, before time.Time) error {
		sender := sender
		if before.IsZero() {
			sender = apart{sender}
		}
		for _, question := range questions {
			t, err := ask(ctx, sender, headers, status, to, question)
			if err != nil {
				return err
			}
			// Whatever listens in place of the target's process may answer without a name on a connection that is not its.
			if t.goesOn && (t.named || t.known && t.connectedAt.Before(before)) {
				return nil
			}
		}
		return errNoTestimony
	}
}

// apart is a sender of questions on connections that carry no other requests.
type apart struct{ Sender }

// Send sends a question.
func (s apart) Send(ctx context.Context, address string, r httptarget.Request) (*httptarget.Answer, error) {
	r.Apart = true
	return s.Sender.Send(ctx, address, r)
}

// serverOptions asks a server for its options (RFC 9110, section 9.3.7), which changes nothing.
const serverOptions = http.MethodOptions + " *"

// testimony is what a target's answer shows: whether it is that of a running target, whether it names the process that
// was meant, whether that had answered on the same connection before, and when that was made.
type testimony struct {
	goesOn, named, known bool
	connectedAt          time.Time
}

// putQuestion asks a target about itself with a request of a method and a path. It returns httptarget.ErrOtherProcess if
// another one answers. An answer with an id of a request is a late one to an earlier request.
func putQuestion(ctx context.Context, s Sender, h HeaderNames, to balance.Target, question string) (*httptarget.Answer, error) {
	method, _, _ := strings.Cut(question, " ")
	head := fmt.Appendf(nil, "%s HTTP/1.1\r\nHost: %s\r\n", question, to.Address)
	head = append(appendHeader(head, h.ExpectTarget, to.ID), "\r\n"...)
	a, err := s.Send(ctx, to.Address, httptarget.Request{Method: method, Head: head, Instance: to.Incarnation(), IDHeader: h.RequestID, Asks: true})
	if err != nil {
		return nil, err
	}
	if name := a.Header.Get(h.ServedBy); a.Status == http.StatusMisdirectedRequest || name != "" && name != to.ID {
		a.Close()
		return nil, httptarget.ErrOtherProcess
	}
	return a, nil
}

// ask asks the process of a target a question. It returns httptarget.ErrOtherProcess if another one answers.
func ask(ctx context.Context, s Sender, h HeaderNames, q StatusQuery, to balance.Target, question string) (testimony, error) {
	a, err := putQuestion(ctx, s, h, to, question)
	if err != nil {
		return testimony{}, err
	}
	defer a.Close()
	// The answer's head is evidence enough; what the body lacks is not known.
	text, _ := readStatus(a)
	t := testimony{named: a.Header.Get(h.ServedBy) != "", known: a.IsConnectionKnown(), connectedAt: a.ConnectedAt()}
	t.goesOn = t.named || a.Status == http.StatusOK || question == serverOptions && !ofRelay(a.Status) || a.Header.Get(h.NotRun) != ""
	if born, ok := q.started(text); ok && to.Born != 0 && question == q.question() {
		if born > to.Born {
			return testimony{}, httptarget.ErrOtherProcess
		}
		t.named = true
	}
	switch {
	case t.named:
		a.SetConnectionKnown()
	case t.goesOn:
		a.SetConnectionAnswered()
	}
	return t, nil
}

// ofRelay reports whether a relay answers with a status in place of a server that it gets no answer from.
func ofRelay(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
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

// question returns the question for an engine's status.
func (q StatusQuery) question() string { return http.MethodGet + " " + q.Path }

// started returns when a process started according to its status, in Unix milliseconds.
func (q StatusQuery) started(text []byte) (int64, bool) {
	var fields map[string]json.RawMessage
	var born int64
	if json.Unmarshal(text, &fields) != nil || json.Unmarshal(fields[q.Field], &born) != nil {
		return 0, false
	}
	return born, true
}
