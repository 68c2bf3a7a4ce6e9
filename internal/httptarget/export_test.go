package httptarget

// Hold makes calls that look at connections wait until release is called.
func (t *Transport) Hold() (release func()) {
	t.mu.Lock()
	return t.mu.Unlock
}
