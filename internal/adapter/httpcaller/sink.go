package httpcaller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/request"
)

// maxReplayBytes is the size up to which a streamed answer is stored, so that the caller can
// request it again by id.
const maxReplayBytes = 64 << 10

// tokenUsage holds the token counts of an answer, as the engine reports them.
type tokenUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// chunk holds the fields of an engine's event that the router reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *tokenUsage `json:"usage"`
}

// sink writes the answer to the caller from an engine's events.
type sink interface {
	// event adds one event; data is valid only during the call. more is set if another event
	// is already received, so that both can be flushed together.
	event(data []byte, more bool) error
	// reset discards the events of a failed attempt. It is called only if nothing has been
	// sent to the caller.
	reset()
	// started reports whether anything has been sent to the caller.
	started() bool
	// reportedUsage returns the token counts that the engine reported, or zeros.
	reportedUsage() tokenUsage
	// finish completes the answer and returns the record of the request.
	finish() request.Record
	// abort ends an answer that has started, in a way that lets every client see that it is
	// incomplete.
	abort(f refusal)
}

// newSink returns the sink for a request. A streamed answer is stored for replay only if replay
// is set, which is done only for ids that callers reserved: answers can be large, and many are in
// progress at a time.
func newSink(w http.ResponseWriter, c chatRequest, id request.ID, replay bool) sink {
	if c.Stream {
		return &streamSink{writer: w, replay: replay}
	}
	return &bufferedSink{writer: w, model: c.Model, id: id}
}

// streamSink forwards each event as it arrives.
type streamSink struct {
	writer        http.ResponseWriter
	headerWritten bool
	replay        bool
	replayBuffer  bytes.Buffer
	frame         []byte
	counts        tokenUsage
}

var usageField = []byte(`"usage"`)

func (s *streamSink) event(data []byte, more bool) error {
	if bytes.Contains(data, usageField) {
		s.readUsage(data)
	}
	if !s.headerWritten {
		s.headerWritten = true
		s.writer.Header().Set("Content-Type", "text/event-stream")
		s.writer.Header().Set("Cache-Control", "no-store")
	}
	return s.write(data, !more)
}

// readUsage stores the token counts of an event, if it contains any.
func (s *streamSink) readUsage(data []byte) {
	var c chunk
	if json.Unmarshal(data, &c) == nil && c.Usage != nil {
		s.counts = *c.Usage
	}
}

// write sends data framed as a server-sent event.
func (s *streamSink) write(data []byte, flush bool) error {
	s.frame = append(s.frame[:0], "data: "...)
	s.frame = append(s.frame, data...)
	s.frame = append(s.frame, "\n\n"...)
	if s.replay && s.replayBuffer.Len() <= maxReplayBytes {
		s.replayBuffer.Write(s.frame)
	}
	if _, err := s.writer.Write(s.frame); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if !flush {
		return nil
	}
	if f, ok := s.writer.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

func (s *streamSink) reset() { s.counts = tokenUsage{} }

func (s *streamSink) started() bool { return s.headerWritten }

func (s *streamSink) reportedUsage() tokenUsage { return s.counts }

func (s *streamSink) finish() request.Record {
	// The outcome is sent as an SSE comment, which clients of chat completion APIs skip.
	_, _ = s.writer.Write([]byte(": outcome=" + string(request.Completed) + "\n\n"))
	_ = s.write([]byte("[DONE]"), true)
	return request.Record{
		Outcome: request.Completed, Status: http.StatusOK, ContentType: "text/event-stream",
		Body: s.replayBuffer.Bytes(), Truncated: !s.replay || s.replayBuffer.Len() > maxReplayBytes,
	}
}

// abort sends the error as an event and closes the connection without terminating the answer.
func (s *streamSink) abort(f refusal) {
	if data, err := json.Marshal(f.body()); err == nil {
		_ = s.write(data, true)
	}
	if h, ok := s.writer.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

// bufferedSink collects the events and sends one JSON answer at the end.
type bufferedSink struct {
	writer       http.ResponseWriter
	model        string
	id           request.ID
	content      []byte
	finishReason string
	counts       tokenUsage
}

func (s *bufferedSink) event(data []byte, _ bool) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Wrap(port.ErrBroken, err.Error())
	}
	if c.Usage != nil {
		s.counts = *c.Usage
		s.counts.Total = c.Usage.Prompt + c.Usage.Completion
	}
	if len(c.Choices) == 0 {
		return nil
	}
	s.content = append(s.content, c.Choices[0].Delta.Content...)
	if c.Choices[0].FinishReason != nil {
		s.finishReason = *c.Choices[0].FinishReason
	}
	return nil
}

func (s *bufferedSink) reset() { s.content, s.finishReason, s.counts = nil, "", tokenUsage{} }

func (s *bufferedSink) started() bool { return false }

func (s *bufferedSink) reportedUsage() tokenUsage { return s.counts }

// completion is the body of an answer that is not streamed, as chat completion APIs define it.
type completion struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   tokenUsage `json:"usage"`
}

type choice struct {
	Index        int           `json:"index"`
	Message      choiceMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type choiceMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *bufferedSink) finish() request.Record {
	body, _ := json.Marshal(completion{
		ID: s.id.String(), Object: "chat.completion", Created: clock.Wall().Unix(), Model: s.model,
		Choices: []choice{{
			Message: choiceMessage{Role: "assistant", Content: string(s.content)}, FinishReason: s.finishReason,
		}},
		Usage: s.counts,
	})
	s.writer.Header().Set("Content-Type", "application/json")
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.writer.Header().Set(HeaderOutcome, string(request.Completed))
	s.writer.WriteHeader(http.StatusOK)
	_, _ = s.writer.Write(body)
	return request.Record{
		Outcome: request.Completed, Status: http.StatusOK, ContentType: "application/json", Body: body,
	}
}

func (s *bufferedSink) abort(refusal) {}
