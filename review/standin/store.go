package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects in one page of a list.
const pageSize = 50

// maxWatchMs is the longest wait of a watch that the store accepts.
const maxWatchMs = 30000

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object object `json:"object"`
	Gone   bool   `json:"gone"`
	kind   string
}

// store is a stand-in of the platform's store, as PROTOCOL.md describes it. It is never disturbed.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	objects  map[string]map[string]object
	history  []event
}

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object as operators and engines do; a nil spec removes it.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if spec == nil {
		s.remove(kind, name)
		return
	}
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: text})
}

// write stores an object. mu must be held.
func (s *store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.note(event{Object: o, kind: kind})
	return o
}

// remove removes an object. mu must be held.
func (s *store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.note(event{Object: o, Gone: true, kind: kind})
}

// note adds a change to the history. mu must be held.
func (s *store) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The store takes some milliseconds to answer.
	time.Sleep(4 * time.Millisecond)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	status, body := s.answer(r, kind, name)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) answer(r *http.Request, kind, name string) (int, any) {
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		return s.watch(r, kind)
	}
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet && name == "" {
		return s.list(r, kind)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	return s.single(r, kind, name, in)
}

// single answers a call about one object. mu must be held.
func (s *store) single(r *http.Request, kind, name string, in object) (int, any) {
	known, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found, found && in.Metadata.Revision > 0 && in.Metadata.Revision != known.Metadata.Revision:
		return http.StatusConflict, known
	case r.Method == http.MethodPost:
		return http.StatusOK, s.write(kind, in)
	case !found:
		return http.StatusNotFound, nil
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
	case r.Method == http.MethodPut && string(known.Spec) != string(in.Spec):
		known.Spec = in.Spec
		return http.StatusOK, s.write(kind, known)
	}
	return http.StatusOK, known
}

// list answers with a page of objects. mu must be held.
func (s *store) list(r *http.Request, kind string) (int, any) {
	after := r.URL.Query().Get("afterRev")
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageSize
	return http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "more": more, "at": s.revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(min(wait, maxWatchMs)) * time.Millisecond)
	defer end.Stop()
	for {
		events, at, changed := s.eventsSince(kind, since)
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-end.C:
			return http.StatusOK, map[string]any{"events": []event{}, "at": at}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func (s *store) eventsSince(kind string, since int64) ([]event, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []event
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Revision > since {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}
