package standin

import (
	"io"
	"net/http"
	"sync"
)

// Service is a stand-in for a plain service: it answers each call with its
// body and records how often each request ran.
type Service struct {
	// DropAfterBody closes the connection once the body was read.
	DropAfterBody bool
	// Before is called with each call that arrives; true says that it answered.
	Before func(w http.ResponseWriter) bool

	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP serves any path.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || s.Before != nil && s.Before(w) {
		return
	}
	s.mu.Lock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[string(body)]++
	s.mu.Unlock()
	if s.DropAfterBody {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// Runs gives how often a request with the body ran.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}
