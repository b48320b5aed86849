package standin

import (
	"io"
	"net/http"
	"sync"
)

// Service is a stand-in for a backend server of a pool of kind service, which is
// not an inference engine. It responds to each request with the request's body and
// records how often each request ran.
type Service struct {
	// DropAfterBody aborts the connection after the request's body has been read.
	// The request counts as run.
	DropAfterBody bool
	// Intercept, if set, is called for each request. If it returns true, it has
	// written the response, and the request does not count as run.
	Intercept func(w http.ResponseWriter) bool

	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP serves requests to any path.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || s.Intercept != nil && s.Intercept(w) {
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

// Runs returns how often a request with the body ran.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}
