package qlstandin

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	ID string
	// CallTime is the time for a call.
	CallTime time.Duration
	// LoadLag is how late load reports are.
	LoadLag time.Duration
}

// Service stands in for a stock and booking service. GET is a stock lookup;
// POST books, and each execution gets a number, so a second one shows.
type Service struct {
	config ServiceConfig
	board  switchboard
	log    executionLog
	load   loadMeter

	mu       sync.Mutex
	bookings int
}

// NewService returns a service without bookings.
func NewService(config ServiceConfig) *Service {
	service := &Service{
		config: config,
	}
	service.load.lag = config.LoadLag
	return service
}

// Handler serves the service's protocol.
func (s *Service) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.Handle("/load", &s.load)
	routes.Handle("/log", &s.log)
	routes.Handle("/switches", &s.board)
	routes.PathPrefix("/").HandlerFunc(s.serveCall)
	return routes
}

func (s *Service) serveCall(w http.ResponseWriter, request *http.Request) {
	if s.board.take(func(b *Switches) *int { return &b.Refuse }) {
		abort()
	}
	id := request.Header.Get(_requestIDHeader)
	line := s.log.add(Execution{
		Request: id,
		Key:     request.Header.Get(_keyHeader),
		Call:    request.Method + " " + request.URL.Path,
	})
	s.load.add(1)
	defer s.load.add(-1)
	// A booking under way is not undone because its caller leaves.
	time.Sleep(s.config.CallTime + s.board.delay())
	answer := s.run(request)
	s.log.end(line)
	if s.board.take(func(b *Switches) *int { return &b.Lose }) {
		abort()
	}
	echoed := id
	if s.board.take(func(b *Switches) *int { return &b.Cross }) {
		echoed = "crossed-" + id
	}
	w.Header().Set(_requestIDHeader, echoed)
	w.Header().Set(_costHeader, "1")
	if s.board.take(func(b *Switches) *int { return &b.Cut }) {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write([]byte(answer))
		abort()
	}
	if s.board.take(func(b *Switches) *int { return &b.Fail }) {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintln(w, answer)
}

func (s *Service) run(request *http.Request) string {
	if request.Method == http.MethodGet {
		return fmt.Sprintf(`{"service":%q,"lookup":%q,"stock":7}`, s.config.ID, request.URL.Path)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookings++
	return fmt.Sprintf(`{"service":%q,"booking":%d,"call":%q}`, s.config.ID, s.bookings, request.URL.Path)
}
