package standin

import (
	"io"
	"net/http"
	"sync"

	"github.com/slipwick/slipwick/engine"
)

// Service is a stand-in for a backend server of a pool of kind service, which is
// not an inference engine. It responds to each request with the request's body and
// records how often each request ran.
type Service struct {
	mu   sync.Mutex
	runs map[string]int
	// dropAfterBody and intercept are set by the methods of these names.
	dropAfterBody bool
	intercept     func(w http.ResponseWriter) bool
}

// SetDropAfterBody makes the service abort the connection after it has read the
// body of a request, or ends that. Such a request counts as run.
func (s *Service) SetDropAfterBody(drops bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAfterBody = drops
}

// SetIntercept has a function called for each request; nil has none called. If it
// returns true, it has written the response, and the request does not count as run.
func (s *Service) SetIntercept(intercept func(w http.ResponseWriter) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intercept = intercept
}

// ServeHTTP serves requests to any path.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.RequestHeader, r.Header.Get(engine.RequestHeader))
	body, err := io.ReadAll(r.Body)
	s.mu.Lock()
	intercept, drops := s.intercept, s.dropAfterBody
	s.mu.Unlock()
	if err != nil || intercept != nil && intercept(w) {
		return
	}
	s.mu.Lock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[string(body)]++
	s.mu.Unlock()
	if drops {
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
