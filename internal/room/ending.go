package room

// End makes the server refuse all requests that have not begun, and ends the idle connections.
func (r *Room) End() {
	r.ending.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.idle.Len() > 0 {
		r.evict(r.idle.Front().Value.(*Place))
	}
}

// Ending reports whether End has been called.
func (r *Room) Ending() bool { return r.ending.Load() }

// Beginning returns the number of requests that have begun and whose handlers do not run yet.
func (r *Room) Beginning() int64 { return r.beginning.Load() }

// Stop notes that the HTTP server shuts down, which then closes connections without a read.
func (r *Room) Stop() { r.stopping.Store(true) }

// Stopping reports whether Stop has been called.
func (r *Room) Stopping() bool { return r.stopping.Load() }

// Lasting returns the number of connections on which the last request is awaited or refused.
func (r *Room) Lasting() int64 { return r.lasting.Load() }

// ForceClose makes connections close whatever has arrived there.
func (r *Room) ForceClose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forced = true
}

// BeginLast notes that the last request of the connection is awaited or refused, until EndLast.
func (p *Place) BeginLast() { p.room.lasting.Add(1) }

// EndLast undoes BeginLast.
func (p *Place) EndLast() { p.room.lasting.Add(-1) }

// RefuseNext reports whether the request that follows the last answer is to be refused, and the connection closed by the
// caller, since the HTTP server, which shuts down, would only close it.
func (p *Place) RefuseNext() bool {
	r := p.room
	if !r.stopping.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.refusing = p.evicted.Load() && !p.closed
	return p.refusing
}

// LeaveOpen reports whether a close is left to the goroutine that serves the connection. http.Server, which shuts down,
// closes connections that it takes for idle, also if a request has arrived there that this goroutine refuses once it
// knows of the end of the answer before. A head of which the rest does not arrive would keep the server from shutting down.
func (p *Place) LeaveOpen() bool {
	r := p.room
	if !r.stopping.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forced || p.closed || p.refusing || !p.evicted.Load() && (!p.inUse || p.inHead.Load()) {
		return false
	}
	if !p.leftOpen {
		p.leftOpen = true
		r.lasting.Add(1)
	}
	return true
}

// FinishClose reports whether the connection was left open, and whether the request that has arrived behind the last
// answer is to be refused there. ended is set if the HTTP server is done with the connection. If the connection was left
// open, EndLast must be called.
func (p *Place) FinishClose(ended bool) (leftOpen, refuses bool) {
	r := p.room
	if !r.stopping.Load() {
		return false, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	leftOpen = p.leftOpen
	p.leftOpen = false
	refuses = ended && leftOpen && !p.inUse && p.evicted.Load() && !p.closed && !p.refusing
	p.refusing = p.refusing || refuses
	return leftOpen, refuses
}
