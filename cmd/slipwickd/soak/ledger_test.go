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
	leaveBound  = 2500 * time.Millisecond
	configBound = 2500 * time.Millisecond
	settleTime  = 4 * time.Second
)

// The kinds of request, by their route.
const (
	routeSingle     = "single"
	routeRepeatable = "repeatable"
	routeStream     = "stream"
	routeResumable  = "resumable"
)

// sent is a request that a caller made, and how it ended for the caller.
type sent struct {
	id, route string
	gateway   *gateway
	at, ended time.Time
	// ends says that it ends each backend server that runs it.
	ends bool
	// status is 0 without an answer.
	status int
	// runs counts what the backend servers ran.
	runs atomic.Int32
}

// ledger has what callers and backend servers saw.
type ledger struct {
	store *store

	mu         sync.Mutex
	requests   map[string]*sent
	violations []string
	served     map[string]int
	endings    endings
}

func newLedger() *ledger {
	return &ledger{
		requests: make(map[string]*sent),
		served:   make(map[string]int),
	}
}

func (l *ledger) violated(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, arguments...))
}

// sends notes a request before it is made.
func (l *ledger) sends(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[s.id] = s
}

func (l *ledger) find(id string) *sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id]
}

// ran notes that a backend server runs a request.
func (l *ledger) ran(id string, b *backend) {
	s := l.find(id)
	if s == nil {
		l.violated("%s runs request %q, which nobody sent", b.id, id)
		return
	}
	if s.ends && s.gateway.calmFor() > settleTime {
		l.mu.Lock()
		l.triedLocked()
		l.mu.Unlock()
	}
	runs := s.runs.Add(1)
	if runs > 1 && (s.route == routeSingle || s.route == routeStream) {
		l.violated("%s request %s ran %d times", s.route, id, runs)
	}
	left := b.leftAt.Load()
	if left == 0 || time.Since(time.Unix(0, left)) < leaveBound {
		return
	}
	if l.store.healthyFor() > settleTime && s.gateway.calmFor() > settleTime {
		l.violated("%s got request %s through %s %v after it began to leave",
			b.id, id, s.gateway.name, time.Since(time.Unix(0, left)))
	}
}

// end notes how a request ended, with the body that came and why no more did.
func (l *ledger) end(s *sent, status int, body string, failure error) {
	s.status, s.ended = status, time.Now()
	isStream := s.route == routeStream || s.route == routeResumable
	switch {
	case status == 200:
		l.checkAnswer(s, body, isStream, failure == nil)
	case failure != nil && !isStream:
		l.checkLost(s, failure)
	}
	if status == 200 && failure == nil {
		l.mu.Lock()
		l.served[s.route]++
		l.mu.Unlock()
	}
}

// checkAnswer tells whether a success is the request's own, whole if it looks
// so, with its events in order.
func (l *ledger) checkAnswer(s *sent, body string, isStream, looksWhole bool) {
	want := answerOf(s.id)
	if isStream {
		want = eventsText(s.id, eventsOf(s.id))
	}
	if looksWhole && body != want || !strings.HasPrefix(want, body) {
		l.violated("%s request %s got %q, which looks whole: %v", s.route, s.id, body, looksWhole)
	}
}

// checkLost tells whether a request may end without an answer: if its gateway
// was killed, paused or gone, or if it crossed the close of its connection.
func (l *ledger) checkLost(s *sent, failure error) {
	const crossing = 200 * time.Millisecond
	if s.gateway.calmFor() < time.Since(s.at)+time.Second {
		return
	}
	if s.runs.Load() == 0 && s.ended.Sub(s.at) < crossing {
		return
	}
	l.violated("%s request %s at %s got no answer after %v: %v", s.route, s.id, s.gateway.name,
		s.ended.Sub(s.at), failure)
}

// checkRefusals finds requests that ran though callers were told that not.
func (l *ledger) checkRefusals() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.requests {
		isPromise := s.status == 503 || s.status == 429
		if isPromise && s.runs.Load() > 0 && (s.route == routeSingle || s.route == routeStream) {
			l.violations = append(l.violations,
				fmt.Sprintf("%s request %s was refused with %d and ran", s.route, s.id, s.status))
		}
	}
}

// totals counts the requests that were served, by route, and all by status.
func (l *ledger) totals() (served map[string]int, statuses map[int]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses = make(map[int]int)
	for _, s := range l.requests {
		statuses[s.status]++
	}
	return maps.Clone(l.served), statuses
}

func bodyOf(id string) string   { return "body of " + id }
func answerOf(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

// eventsOf is how many events the stream of a request has.
func eventsOf(id string) int {
	const most = 20
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return 1 + int(h.Sum32()%most)
}

func eventsText(id string, n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i+1, id)
	}
	return text.String()
}
