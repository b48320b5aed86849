package permit

import (
	"sync"
	"time"

	"github.com/slipwick/slipwick"
)

// testServer processes as many requests at once as it has slots, queues 24 more and rejects the rest.
type testServer struct {
	slipwick.ServerCapacity
	centre int
	// slowness returns how long requests take, as a multiple of their work.
	slowness func() float64

	mu       sync.Mutex
	running  int
	queue    []func()
	rejected int
	arrived  int
	// busy sums the work that was done, most the requests that were there at once.
	busy time.Duration
	most int
}

const serverQueue = 24

// serve calls done when the request has run or was rejected, with the time at which it began.
func (s *testServer) serve(work time.Duration, done func(began time.Time, ok bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	run := func() {
		began := time.Now()
		s.running++
		time.AfterFunc(time.Duration(float64(work)*s.slowness()), func() {
			s.finish(work)
			done(began, true)
		})
	}
	switch {
	case s.running < s.Slots:
		run()
	case len(s.queue) < serverQueue:
		s.queue = append(s.queue, run)
	default:
		s.rejected++
		go done(time.Time{}, false)
	}
	s.most = max(s.most, s.running+len(s.queue))
}

func (s *testServer) finish(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.busy += work
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

func (s *testServer) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running + len(s.queue)
}
