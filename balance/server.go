package balance

import (
	"time"

	"github.com/slipwick/slipwick/placement"
)

const (
	// reportLife is how long a report of load is believed: at the rates
	// designed for, a router hears from each engine about once a second.
	reportLife = 1500 * time.Millisecond
	// silenceLimit is how long a backend server with requests in flight may
	// say nothing before new ones go elsewhere: engines say something with
	// every step, plain services answer most requests within 100 ms.
	silenceLimit = 500 * time.Millisecond
	// shortOuting and longOuting bound how long one is left out.
	shortOuting = 500 * time.Millisecond
	longOuting  = 4 * time.Second
)

// server is one backend server as the balancer knows it.
type server struct {
	Listed
	hash uint64
	// since is when it was first listed; zero if it was when the router began.
	since time.Time
	// covered says that the router knows what it has cached: it was listed
	// empty, or its cache was learnt after a start.
	covered bool
	// inFlight counts the leases of this router.
	inFlight int
	// reading counts the tokens that it has to read for this router before
	// its answers begin.
	reading int

	// reported is the load of all routers that it told at reportedAt, when
	// this router had reportedOwn requests there.
	reported    int
	reportedOwn int
	reportedAt  time.Time

	// heardAt is when it last said anything to this router, waitingSince since
	// when requests of this router are in flight there.
	heardAt      time.Time
	waitingSince time.Time

	errors errorRate
	// outings counts the times in a row that it was left out. failing says that
	// it is out for requests that failed, and can still be fetched from.
	outings  int
	outUntil time.Time
	failing  bool
}

func newServer(listed Listed, since time.Time) *server {
	return &server{
		Listed: listed,
		hash:   placement.IDHash(listed.ID),
		since:  since,
		// One that comes after the router's start has nothing cached yet.
		covered: !since.IsZero(),
	}
}

// others is what the other routers have there; ok says that it is known.
func (s *server) others(now time.Time) (count int, ok bool) {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > reportLife {
		return 0, false
	}
	return max(s.reported-s.reportedOwn, 0), true
}

// isOut tells whether it gets nothing new for now: it is left out for its
// failures, or says nothing though it has requests to answer.
func (s *server) isOut(now time.Time) bool {
	return now.Before(s.outUntil) || s.isSilent(now)
}

// isReachable tells whether another engine may fetch from it.
func (s *server) isReachable(now time.Time) bool {
	return !s.isSilent(now) && (s.failing || !now.Before(s.outUntil))
}

func (s *server) isSilent(now time.Time) bool {
	if s.inFlight == 0 || now.Sub(s.waitingSince) <= silenceLimit {
		return false
	}
	return now.Sub(s.heardAt) > silenceLimit
}

// leaveOut leaves it out, for longer each time in a row; false if it is out.
func (s *server) leaveOut(now time.Time, first time.Duration) bool {
	if now.Before(s.outUntil) {
		return false
	}
	outing := min(first<<s.outings, longOuting)
	if s.outings < 8 {
		s.outings++
	}
	s.outUntil, s.failing = now.Add(outing), false
	return true
}
