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
	// CallTime is the time that a call takes.
	CallTime time.Duration
	// LoadLag is the age of the load that the service reports.
	LoadLag time.Duration
}

// Service stands in for a stock and booking service. GET looks up stock. Any
// other method books, and each booking gets a new number, so that a booking
// executed twice gets two.
type Service struct {
	config   ServiceConfig
	switches switchHandler
	log      executionLog
	load     loadMeter

	mu       sync.Mutex
	bookings int
}

// NewService returns a service without bookings.
func NewService(config ServiceConfig) *Service {
	service := &Service{
		config: config,
	}
	service.load.reportDelay = config.LoadLag
	return service
}

// Handler serves the service's protocol.
func (s *Service) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.Handle("/load", &s.load)
	routes.Handle("/log", &s.log)
	routes.Handle("/switches", &s.switches)
	routes.PathPrefix("/").HandlerFunc(s.serveCall)
	return routes
}

func (s *Service) serveCall(w http.ResponseWriter, request *http.Request) {
	if s.switches.consume(func(b *Switches) *int { return &b.Refuse }) {
		abort()
	}
	id := request.Header.Get(_requestIDHeader)
	execution := s.log.add(Execution{
		Request: id,
		Key:     request.Header.Get(_keyHeader),
		Call:    request.Method + " " + request.URL.Path,
	})
	s.load.add(1)
	defer s.load.add(-1)
	// A booking that has begun is completed even if the caller disconnects.
	time.Sleep(s.config.CallTime + s.switches.delay())
	answer := s.execute(request)
	s.log.finish(execution)
	if s.switches.consume(func(b *Switches) *int { return &b.Lose }) {
		abort()
	}
	echoedID := id
	if s.switches.consume(func(b *Switches) *int { return &b.Cross }) {
		echoedID = "crossed-" + id
	}
	w.Header().Set(_requestIDHeader, echoedID)
	w.Header().Set(_costHeader, "1")
	if s.switches.consume(func(b *Switches) *int { return &b.Cut }) {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write([]byte(answer))
		abort()
	}
	if s.switches.consume(func(b *Switches) *int { return &b.Fail }) {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintln(w, answer)
}

// execute returns the answer to a call, after making the booking if it is one.
func (s *Service) execute(request *http.Request) string {
	if request.Method == http.MethodGet {
		return fmt.Sprintf(`{"service":%q,"lookup":%q,"stock":7}`, s.config.ID, request.URL.Path)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookings++
	return fmt.Sprintf(`{"service":%q,"booking":%d,"call":%q}`, s.config.ID, s.bookings, request.URL.Path)
}
