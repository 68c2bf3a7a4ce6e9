package handover

import (
	"maps"
	"net"
)

// Arrival is a new connection that may be handed over.
type Arrival interface {
	// Organisation returns the organisation of the request that has arrived on the connection, or ""
	// if it has none. It returns false if that is not known, for example because nothing has arrived.
	Organisation() (name string, ok bool)
	// AwaitOrganisation is Organisation after waiting for the request to arrive, but not for long. It
	// may be called after Open.
	AwaitOrganisation() (name string, ok bool)
	// Open returns the connection.
	Open() (net.Conn, error)
	// ReadAhead returns the bytes that have been read from the connection.
	ReadAhead() []byte
	// ServeLocally serves the connection at this router. It may be called after Open, and returns at
	// once.
	ServeLocally()
}

// SetYielding replaces the organisations that must let others go first. Their connections are not handed
// over: other routers would serve them in the room at targets that is due to those others.
func (s *Sender) SetYielding(organisations map[string]bool) {
	organisations = maps.Clone(organisations)
	s.yielding.Store(&organisations)
}

// mayHandOver reports whether connections of an organisation may be handed over.
func (s *Sender) mayHandOver(organisation string) bool {
	yielding := s.yielding.Load()
	return yielding == nil || !(*yielding)[organisation]
}
