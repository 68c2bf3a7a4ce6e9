package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/adapter/httpcaller"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/request"
	"github.com/stepcroft/stepcroft/internal/scenario"
	"github.com/stepcroft/stepcroft/internal/standin"
)

// result is the result of one request, as its caller saw it. The zero value is a request without
// an answer.
type result struct {
	outcome request.Outcome
	reason  request.Reason
	// content is the text of the answer, concatenated if it was streamed.
	content string
	// invalid is set if the answer is truncated or cannot be parsed.
	invalid bool
	// timeToFirstToken is the time from the request to the first token of a streamed answer, and
	// tokenIntervals are the times between its tokens.
	timeToFirstToken time.Duration
	tokenIntervals   []time.Duration
	// duration is the time from the request to the end of the answer.
	duration time.Duration
	// unfinished is set if the request was cut off by its timeout or by the end of the run.
	unfinished bool
}

// caller sends requests as a caller's program would.
type caller struct {
	client *http.Client
	fleet  *fleet
}

func newCaller(f *fleet) *caller {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &caller{fleet: f, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 512, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
	}}}
}

func (c *caller) stop() { c.client.CloseIdleConnections() }

// do sends one request and reads its answer.
func (c *caller) do(ctx context.Context, a scenario.Arrival) result {
	start := clock.Now()
	res, err := c.sendWithFailover(ctx, a)
	if err != nil {
		return result{unfinished: ctx.Err() != nil}
	}
	defer res.Body.Close()
	r := result{
		outcome: request.Outcome(res.Header.Get(httpcaller.HeaderOutcome)),
		reason:  request.Reason(res.Header.Get(httpcaller.HeaderReason)),
	}
	switch {
	case res.StatusCode != http.StatusOK:
		_, _ = io.Copy(io.Discard, res.Body)
	case a.Streamed:
		readStream(res.Body, start, &r)
	default:
		readWhole(res.Body, a, &r)
	}
	r.duration = clock.Since(start)
	if r.invalid && ctx.Err() != nil {
		r.unfinished = true
	}
	return r
}

// sendWithFailover sends a request to its router. If no connection can be opened or the router is
// shutting down, it tries the next router, as callers should.
func (c *caller) sendWithFailover(ctx context.Context, a scenario.Arrival) (*http.Response, error) {
	var (
		res *http.Response
		err error
	)
	for n := range c.fleet.routers {
		var req *http.Request
		if req, err = c.newRequest(ctx, a, a.RouterIndex+n); err != nil {
			return nil, err
		}
		res, err = c.client.Do(req)
		if err == nil && res.Header.Get(httpcaller.HeaderReason) == string(request.ReasonRouterLeaving) {
			res.Body.Close()
			continue
		}
		if !isDialError(err) {
			return res, err
		}
	}
	return res, err
}

// isDialError reports whether a request failed because no connection could be opened, so that it
// certainly did not run.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// newRequest builds the HTTP request for the router with the given index, modulo the number of
// routers.
func (c *caller) newRequest(ctx context.Context, a scenario.Arrival, index int) (*http.Request, error) {
	router := c.fleet.routers[index%len(c.fleet.routers)]
	url := "http://" + router.Address() + "/v1/chat/completions"
	body := []byte(fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`,
		a.Group.Pool, a.Streamed, standin.Prompt(a.Tag, a.PromptTokens, a.Tokens)))
	if a.Group.Service != "" {
		url = "http://" + router.Address() + "/v1/services/" + a.Group.Service + "/echo"
		body = []byte(a.Tag)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey(a.Organisation))
	req.Header.Set(httpcaller.HeaderDeadline, a.Deadline.String())
	req.Header.Set(httpcaller.HeaderRepeatable, strconv.FormatBool(!a.Group.NotRepeatable))
	if a.CostHint > 0 {
		req.Header.Set(httpcaller.HeaderCostHint, strconv.FormatFloat(a.CostHint, 'f', 0, 64))
	}
	return req, nil
}

// readWhole reads an answer that is not streamed into r.
func readWhole(body io.Reader, a scenario.Arrival, r *result) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.invalid = true
		return
	}
	if a.Group.Service != "" {
		r.content = string(data)
		return
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &answer) != nil || len(answer.Choices) == 0 {
		r.invalid = true
		return
	}
	r.content = answer.Choices[0].Message.Content
}

// readStream reads a stream of server-sent events, up to its end marker, into r.
func readStream(body io.Reader, start time.Time, r *result) {
	var content strings.Builder
	reader := bufio.NewReader(body)
	last := time.Time{}
	r.invalid = true
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			break
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			r.invalid, r.outcome = false, request.Completed
			break
		}
		now := clock.Now()
		if last.IsZero() {
			r.timeToFirstToken = now.Sub(start)
		} else {
			r.tokenIntervals = append(r.tokenIntervals, now.Sub(last))
		}
		last = now
		readEvent(data, &content, r)
	}
	r.content = content.String()
}

// readEvent adds the data of one event to content, or to r if the event reports an error.
func readEvent(data []byte, content *strings.Builder, r *result) {
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error struct {
			Reason  request.Reason  `json:"reason"`
			Outcome request.Outcome `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &event) != nil {
		return
	}
	if event.Error.Outcome != "" {
		r.reason, r.outcome = event.Error.Reason, event.Error.Outcome
	}
	if len(event.Choices) > 0 {
		content.WriteString(event.Choices[0].Delta.Content)
	}
}

// expectedContent returns the content that the complete answer to a request must have.
func expectedContent(a scenario.Arrival) string {
	if a.Group.Service != "" {
		return a.Tag
	}
	var b strings.Builder
	for i := range a.Tokens {
		b.WriteString(standin.Token(a.Tag, i))
	}
	return b.String()
}
