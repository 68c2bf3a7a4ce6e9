package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stepcroft/stepcroft/internal/adapter/engine"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/httpserver"
	"github.com/stepcroft/stepcroft/internal/port"
)

// Observer is notified of the progress of requests in an engine or service. A request is
// identified by the tag that its caller put into the prompt; see Prompt. For a service, the tag is
// the body of the request.
type Observer interface {
	// Started is called when a request starts to run in a slot.
	Started(tag string)
	// Served is called with the cost served for a request since the last call, in units of one
	// generated token.
	Served(tag string, cost float64)
	// Ended is called when a request leaves its slot; completed is set if it ran to completion.
	Ended(tag string, completed bool)
	// Resumed is called instead of Started when a request runs to continue a broken answer.
	Resumed(tag string)
}

// EngineOptions configure an engine.
type EngineOptions struct {
	// Address is the address to listen on.
	Address string
	// Slots is the number of requests that run at the same time.
	Slots int
	// PrefillRate is the number of prompt tokens processed per second; 0 means that this takes
	// no time.
	PrefillRate float64
	// TokenTime is the time between two generated tokens.
	TokenTime time.Duration
	// PromptCost is the cost of one prompt token in units of one generated token.
	PromptCost float64
	// CacheTokens is the capacity of the cache of prompt prefixes, in tokens.
	CacheTokens int
	// CheckEpoch makes the engine refuse orders whose epoch is lower than the highest one
	// received.
	CheckEpoch bool
	// Observer may be nil.
	Observer Observer
}

// Engine is a stand-in of a model engine with continuous batching: a fixed number of requests runs
// concurrently, each generating tokens at a fixed rate, and the others wait in a priority queue.
// Use NewEngine to make one.
type Engine struct {
	faultSwitch
	options EngineOptions
	server  *httpserver.Server

	mu      sync.Mutex
	running int
	queue   waiters
	// lastSequence is the last sequence number given to a waiter.
	lastSequence int
	// pastLoads holds past loads, oldest first, for late load reports.
	pastLoads []timedLoad
	// brokenAnswers holds the answers that broke off, by request ID.
	brokenAnswers map[string]brokenAnswer
	// highestEpoch is the highest epoch of an order received.
	highestEpoch uint64
	orders       []port.Order
	cache        *prefixCache
}

// brokenAnswer is an answer that broke off and can be continued.
type brokenAnswer struct {
	job job
	// events is the number of events sent before the answer broke off.
	events int
	at     time.Time
}

// resumeWindow is the time during which a broken answer can be continued.
const resumeWindow = 10 * time.Second

// timedLoad is the engine's load at a moment.
type timedLoad struct {
	at   time.Time
	load port.EngineLoad
}

// NewEngine starts an engine that listens on o.Address.
func NewEngine(o EngineOptions) (*Engine, error) {
	e := &Engine{options: o, brokenAnswers: map[string]brokenAnswer{}, cache: newPrefixCache(o.CacheTokens)}
	var err error
	e.server, err = httpserver.New(o.Address, e, httpserver.Options{MaxConnections: 4096, Pollers: 1})
	return e, err
}

// Address returns the address that the engine listens on.
func (e *Engine) Address() string { return e.server.Address() }

// Stop stops the engine.
func (e *Engine) Stop() { e.server.Stop() }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/faults" {
		e.serveFaults(w, r)
		return
	}
	if !e.applyFaults(w) {
		return
	}
	switch path := r.URL.Path; {
	case path == engine.PathLoad:
		writeJSON(w, http.StatusOK, e.load())
	case path == engine.PathCompletion:
		e.complete(w, r)
	case path == engine.PathCacheEvents:
		e.serveCacheEvents(w, r)
	case path == engine.PathOrders:
		e.serveOrder(w, r)
	case strings.HasPrefix(path, engine.PathKV):
		e.serveKV(w, r)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

// load returns the engine's load. If LoadAgeMS is set, it returns the latest load recorded at least
// that long ago, or else the oldest one; each call records the current load.
func (e *Engine) load() port.EngineLoad {
	f := e.faults()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	current := port.EngineLoad{Running: e.running, Queued: len(e.queue), Slots: e.options.Slots, Leaving: f.Leaving}
	if f.LoadAgeMS == 0 {
		return current
	}
	e.pastLoads = append(e.pastLoads, timedLoad{now, current})
	due := now.Add(-time.Duration(f.LoadAgeMS) * time.Millisecond)
	for len(e.pastLoads) > 1 && e.pastLoads[1].at.Before(due) {
		e.pastLoads = e.pastLoads[1:]
	}
	late := e.pastLoads[0].load
	late.Leaving = f.Leaving
	return late
}

// completionBody is the part of a chat completion request that the engine reads.
type completionBody struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// Prompt returns the content of a message that makes a stand-in engine process the given number of
// prompt tokens and then generate the given number of tokens, each of which contains tag.
func Prompt(tag string, promptTokens, tokens int) string {
	return fmt.Sprintf("tag=%s prompt=%d tokens=%d", tag, promptTokens, tokens)
}

// Token returns the i-th token that a stand-in engine generates for a tag.
func Token(tag string, i int) string { return tag + ":" + strconv.Itoa(i) + " " }

// bytesPerToken is the assumed length of a prompt token in bytes.
const bytesPerToken = 4

// job is the work that a request's prompt asks for.
type job struct {
	tag string
	// promptTokens is the number of tokens in the prompt.
	promptTokens int
	// tokens is the number of tokens to generate.
	tokens int
	// cachedTokens is the number of prompt tokens whose prefix is cached; processing them
	// takes no time.
	cachedTokens int
}

// parseJob parses the content of a message made with Prompt. What is missing is estimated from the
// length of the content or gets a default.
func parseJob(content string) job {
	j := job{tag: "none", promptTokens: len(content)/bytesPerToken + 1, tokens: 16}
	for field := range strings.FieldsSeq(content) {
		name, value, _ := strings.Cut(field, "=")
		n, err := strconv.Atoi(value)
		switch {
		case name == "tag":
			j.tag = value
		case name == "prompt" && err == nil:
			j.promptTokens = n
		case name == "tokens" && err == nil:
			j.tokens = n
		}
	}
	return j
}

// complete serves a chat completion. A request with several messages is taken to have the first one
// as shared prompt prefix.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	if f := e.faults(); f.Leaving || f.Refuse {
		w.Header().Set(engine.HeaderNotRun, "1")
		http.Error(w, "not taking requests", http.StatusServiceUnavailable)
		return
	}
	var body completionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Messages) == 0 {
		w.Header().Set(engine.HeaderNotRun, "1")
		http.Error(w, "no messages", http.StatusBadRequest)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	j := parseJob(body.Messages[len(body.Messages)-1].Content)
	if len(body.Messages) > 1 {
		first := body.Messages[0].Content
		j.cachedTokens = min(e.cache.lookupOrAdd(PrefixKey(first), len(first)/bytesPerToken+1), j.promptTokens)
	}
	from, resumed := 0, r.Header.Get(engine.HeaderResumeFrom) != ""
	if resumed {
		from, _ = strconv.Atoi(r.Header.Get(engine.HeaderResumeFrom))
		if !e.takeBrokenAnswer(r.Header.Get(engine.HeaderRequestID), from) {
			w.Header().Set(engine.HeaderNotRun, "1")
			http.Error(w, "no such answer to continue", http.StatusConflict)
			return
		}
		w.Header().Set(engine.HeaderResumed, "1")
	}
	if !e.acquire(w, priority) {
		return
	}
	defer e.release()
	e.generate(w, j, r.Header.Get(engine.HeaderRequestID), from, resumed)
}

// takeBrokenAnswer reports whether the answer to a request can be continued after its first from
// events: it broke off at this engine, within resumeWindow and after at least that many events. The
// answer is forgotten either way.
func (e *Engine) takeBrokenAnswer(id string, from int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.brokenAnswers[id]
	delete(e.brokenAnswers, id)
	return ok && !e.faults().ForgetBroken && from <= b.events && clock.Since(b.at) < resumeWindow
}

// storeBrokenAnswer remembers an answer that broke off, and forgets those that are too old.
func (e *Engine) storeBrokenAnswer(id string, j job, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	for other, b := range e.brokenAnswers {
		if now.Sub(b.at) >= resumeWindow {
			delete(e.brokenAnswers, other)
		}
	}
	e.brokenAnswers[id] = brokenAnswer{job: j, events: events, at: now}
}

// generate processes a job's prompt and writes its tokens, beginning with the token from, at the
// engine's rate. A resumed job skips the processing of the prompt.
func (e *Engine) generate(w http.ResponseWriter, j job, id string, from int, resumed bool) {
	completed := false
	e.notifyStarted(j, resumed)
	defer func() { e.notifyEnded(j, completed) }()
	w.Header().Set("Content-Type", "text/event-stream")
	if !resumed {
		if e.options.PrefillRate > 0 {
			time.Sleep(time.Duration(float64(j.promptTokens-j.cachedTokens) / e.options.PrefillRate * float64(time.Second)))
		}
		e.notifyServed(j, float64(j.promptTokens)*e.options.PromptCost)
	}
	next := clock.Now()
	for i := from; i < j.tokens; i++ {
		next = next.Add(e.options.TokenTime)
		time.Sleep(clock.Until(next))
		if httpserver.CallerDisconnected(w) {
			e.storeBrokenAnswer(id, j, i)
			return
		}
		if f := e.faults(); f.BreakAfterTokens > 0 && i-from >= f.BreakAfterTokens {
			e.storeBrokenAnswer(id, j, i)
			closeConnection(w)
			return
		}
		e.notifyServed(j, 1)
		if _, err := io.WriteString(w, tokenEvent(Token(j.tag, i))); err != nil {
			return
		}
		flush(w)
	}
	_, _ = io.WriteString(w, usageEvent(j))
	completed = true
}

// tokenEvent returns the server-sent event for one token.
func tokenEvent(token string) string {
	return `data: {"choices":[{"index":0,"delta":{"content":` + strconv.Quote(token) + "}}]}\n\n"
}

// usageEvent returns the events that end a stream: the token counts and the end marker.
func usageEvent(j job) string {
	return fmt.Sprintf(`data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`+
		"\n\ndata: [DONE]\n\n", j.promptTokens, j.tokens, j.cachedTokens)
}

// flush sends what was written so far to the caller.
func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// closeConnection closes the connection in the middle of an answer.
func closeConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := h.Hijack(); err == nil {
		conn.Close()
	}
}

func (e *Engine) notifyStarted(j job, resumed bool) {
	switch {
	case e.options.Observer == nil:
	case resumed:
		e.options.Observer.Resumed(j.tag)
	default:
		e.options.Observer.Started(j.tag)
	}
}

func (e *Engine) notifyServed(j job, cost float64) {
	if e.options.Observer != nil {
		e.options.Observer.Served(j.tag, cost)
	}
}

func (e *Engine) notifyEnded(j job, completed bool) {
	if e.options.Observer != nil {
		e.options.Observer.Ended(j.tag, completed)
	}
}
