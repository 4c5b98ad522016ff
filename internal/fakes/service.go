package fakes

import (
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Service is a fake plain service that counts how often each booking ran, by its name.
type Service struct {
	mu   sync.Mutex
	runs map[string]int
	// Before, if set, is called before a booking is counted.
	Before func(name string)
}

// NewService returns a service without bookings.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// Runs returns how often a booking ran.
func (s *Service) Runs(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[name]
}

// ServeHTTP runs the booking that the body names. GET returns how often the booking of the
// query parameter name ran.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "body cut short", http.StatusBadRequest)
		return
	}
	name := string(body)
	if r.Method == http.MethodGet {
		_, _ = fmt.Fprintf(w, "%d\n", s.Runs(r.URL.Query().Get("name")))
		return
	}
	if s.Before != nil {
		s.Before(name)
	}
	s.mu.Lock()
	s.runs[name]++
	runs := s.runs[name]
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"booked\":%q,\"runs\":%d}\n", name, runs)
}
