package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
)

// record keeps what was sent, answered and run, and writes it to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  map[string][]string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: clock.Now(), runs: map[string][]string{}}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, a...)
}

// line is note; mu must be held.
func (r *record) line(format string, a ...any) {
	fmt.Fprintf(r.file, "%8.3f ", clock.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", a...)
}

// say is note, also to standard output.
func (r *record) say(format string, a ...any) {
	fmt.Printf(format+"\n", a...)
	r.note(format, a...)
}

// ran notes that an engine runs a request.
func (r *record) ran(id, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], engine)
	r.line("run      %s at %s", id, engine)
}

// ranAt returns the engines that ran a request.
func (r *record) ranAt(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
