package standin

import (
	"io"
	"net/http"

	"github.com/stepcroft/stepcroft/internal/adapter/engine"
	"github.com/stepcroft/stepcroft/internal/httpserver"
)

// Service is a stand-in of a plain service that echoes the body of each request. Use NewService to
// make one.
type Service struct {
	faultSwitch
	observer Observer
	server   *httpserver.Server
}

// NewService starts a service that listens on address; observer may be nil.
func NewService(address string, observer Observer) (*Service, error) {
	s := &Service{observer: observer}
	var err error
	s.server, err = httpserver.New(address, s, httpserver.Options{MaxConnections: 4096, Pollers: 1})
	return s, err
}

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.server.Address() }

// Stop stops the service.
func (s *Service) Stop() { s.server.Stop() }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/faults" {
		s.serveFaults(w, r)
		return
	}
	if !s.applyFaults(w) {
		return
	}
	f := s.faults()
	if f.Leaving || f.Refuse {
		w.Header().Set(engine.HeaderNotRun, "1")
		http.Error(w, "not taking requests", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.observer != nil {
		s.observer.Started(string(body))
		s.observer.Ended(string(body), true)
	}
	if f.LoseAnswers {
		closeConnection(w)
		return
	}
	w.Header().Set("X-Method", r.Method)
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	_, _ = w.Write(body)
}
