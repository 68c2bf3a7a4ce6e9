package standin

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/stepcroft/stepcroft/internal/adapter/engine"
	"github.com/stepcroft/stepcroft/internal/port"
)

// Orders returns the orders that the engine accepted, oldest first.
func (e *Engine) Orders() []port.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]port.Order(nil), e.orders...)
}

// serveOrder accepts an order, unless the engine checks epochs and has received a higher one.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o port.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.CheckEpoch && o.Epoch < e.highestEpoch {
		http.Error(w, "a higher epoch was seen", http.StatusConflict)
		return
	}
	e.highestEpoch = max(e.highestEpoch, o.Epoch)
	e.orders = append(e.orders, o)
	writeJSON(w, http.StatusOK, o)
}

// kvExport stands for the exported KV cache of a broken answer. It holds what another stand-in
// needs to continue the answer.
type kvExport struct {
	Content string `json:"content"`
	Events  int    `json:"events"`
}

// serveKV exports the KV cache of a broken answer (GET) or imports one (PUT), after which this
// engine can continue the answer.
func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, engine.PathKV)
	if r.Method == http.MethodPut {
		var x kvExport
		if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.storeBrokenAnswer(id, parseJob(x.Content), x.Events)
		w.WriteHeader(http.StatusOK)
		return
	}
	e.mu.Lock()
	b, ok := e.brokenAnswers[id]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such answer", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, kvExport{Prompt(b.job.tag, b.job.promptTokens, b.job.tokens), b.events})
}
