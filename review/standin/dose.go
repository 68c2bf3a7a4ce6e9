package main

import (
	"math/rand/v2"
	"sync"
)

// dose keeps what is done to an engine's answers within a share of them.
type dose struct {
	mu            sync.Mutex
	answers, used int
}

// take counts an answer and reports whether something is done to it: by chance, and never to more than
// the share of the answers counted so far.
func (d *dose) take(share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers++
	if rand.Float64() >= share || float64(d.used+1) > share*float64(d.answers) {
		return false
	}
	d.used++
	return true
}
