package soak

import (
	"fmt"
	"hash/fnv"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// leaveBound is how long after the store took that a backend server leaves it
// may still get new requests; configBound is how long after the store took a
// version it has to be in force. Both hold while nothing disturbs who has to
// keep them, and for settleTime after that.
const (
	maxLeaveDelay  = 2500 * time.Millisecond
	maxConfigDelay = 2500 * time.Millisecond
	settleTime     = 4 * time.Second
)

// The kinds of request, by their route.
const (
	routeSingle     = "single"
	routeRepeatable = "repeatable"
	routeStream     = "stream"
	routeResumable  = "resumable"
)

// sent is a request that a caller made, and how it ended for the caller.
type sentRequest struct {
	id, route       string
	gateway         *gateway
	sentAt, endedAt time.Time
	// ends says that it ends each backend server that runs it.
	crashesServers bool
	// status is 0 without an answer.
	status int
	// runs counts what the backend servers ran.
	runs atomic.Int32
}

// ledger has what callers and backend servers saw.
type recorder struct {
	store *store

	mu         sync.Mutex
	requests   map[string]*sentRequest
	violations []string
	served     map[string]int
	crashLog   crashLog
}

func newRecorder() *recorder {
	return &recorder{
		requests: make(map[string]*sentRequest),
		served:   make(map[string]int),
	}
}

func (r *recorder) addViolation(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, arguments...))
}

// sends notes a request before it is made.
func (r *recorder) addRequest(s *sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[s.id] = s
}

func (r *recorder) find(id string) *sentRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id]
}

// ran notes that a backend server runs a request.
func (r *recorder) recordRun(id string, b *backend) {
	s := r.find(id)
	if s == nil {
		r.addViolation("%s runs request %q, which nobody sent", b.id, id)
		return
	}
	if s.crashesServers && s.gateway.undisturbedFor() > settleTime {
		r.mu.Lock()
		r.recordAttemptLocked()
		r.mu.Unlock()
	}
	runs := s.runs.Add(1)
	if runs > 1 && (s.route == routeSingle || s.route == routeStream) {
		r.addViolation("%s request %s ran %d times", s.route, id, runs)
	}
	leavingAt := b.leavingAt.Load()
	if leavingAt == 0 || time.Since(time.Unix(0, leavingAt)) < maxLeaveDelay {
		return
	}
	if r.store.healthyFor() > settleTime && s.gateway.undisturbedFor() > settleTime {
		r.addViolation("%s got request %s through %s %v after it began to leave",
			b.id, id, s.gateway.name, time.Since(time.Unix(0, leavingAt)))
	}
}

// end notes how a request ended, with the body that came and why no more did.
func (r *recorder) recordOutcome(s *sentRequest, status int, body string, failure error) {
	s.status, s.endedAt = status, time.Now()
	isStream := s.route == routeStream || s.route == routeResumable
	switch {
	case status == 200:
		r.checkResponse(s, body, isStream, failure == nil)
	case failure != nil && !isStream:
		r.checkNoResponse(s, failure)
	}
	if status == 200 && failure == nil {
		r.mu.Lock()
		r.served[s.route]++
		r.mu.Unlock()
	}
}

// checkAnswer tells whether a success is the request's own, whole if it looks
// so, with its events in order.
func (r *recorder) checkResponse(s *sentRequest, body string, isStream, isComplete bool) {
	want := responseBody(s.id)
	if isStream {
		want = eventsText(s.id, eventCount(s.id))
	}
	if isComplete && body != want || !strings.HasPrefix(want, body) {
		r.addViolation("%s request %s got %q, which looks whole: %v", s.route, s.id, body, isComplete)
	}
}

// checkLost tells whether a request may end without an answer: if its gateway
// was killed, paused or gone, or if it crossed the close of its connection.
func (r *recorder) checkNoResponse(s *sentRequest, failure error) {
	const closeRaceTime = 200 * time.Millisecond
	if s.gateway.undisturbedFor() < time.Since(s.sentAt)+time.Second {
		return
	}
	if s.runs.Load() == 0 && s.endedAt.Sub(s.sentAt) < closeRaceTime {
		return
	}
	r.addViolation("%s request %s at %s got no answer after %v: %v", s.route, s.id, s.gateway.name,
		s.endedAt.Sub(s.sentAt), failure)
}

// checkRefusals finds requests that ran though callers were told that not.
func (r *recorder) checkRefusals() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.requests {
		isRefused := s.status == 503 || s.status == 429
		if isRefused && s.runs.Load() > 0 && (s.route == routeSingle || s.route == routeStream) {
			r.violations = append(r.violations,
				fmt.Sprintf("%s request %s was refused with %d and ran", s.route, s.id, s.status))
		}
	}
}

// totals counts the requests that were served, by route, and all by status.
func (r *recorder) totals() (served map[string]int, statuses map[int]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses = make(map[int]int)
	for _, s := range r.requests {
		statuses[s.status]++
	}
	return maps.Clone(r.served), statuses
}

func requestBody(id string) string  { return "body of " + id }
func responseBody(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

// eventsOf is how many events the stream of a request has.
func eventCount(id string) int {
	const maxEvents = 20
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return 1 + int(h.Sum32()%maxEvents)
}

func eventsText(id string, n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i+1, id)
	}
	return text.String()
}
