package httptarget

// Hold makes calls that look at connections wait until release is called.
func (t *Transport) Hold() (release func()) {
	t.mu.Lock()
	return t.mu.Unlock
}

// IsSpareKnown reports whether the spare connection to the target at an address is known to be its process's.
func (t *Transport) IsSpareKnown(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.spares[endpoint{address: address}]
	return c != nil && c.known.Load()
}
