package balance

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

const (
	// reportLife is how long a report of load is believed: at the rates
	// designed for, a router hears from each engine about once a second.
	reportLife = 1500 * time.Millisecond
	// errorWeight is the share of the latest request in the error rate.
	errorWeight = 0.2
	// errorLimit is the error rate from which on a backend server is left
	// out: three errors in a row, or nearly every second request.
	errorLimit = 0.45
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

	errorRate float64
	// outings counts the times in a row that it was left out.
	outings  int
	outUntil time.Time
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

// isOut tells whether it is left out for its failures.
func (s *server) isOut(now time.Time) bool {
	return now.Before(s.outUntil)
}

// observe takes what one request showed; true says that the backend server is
// left out from now on.
func (s *server) observe(evidence slipwick.Evidence, now time.Time) (isLeftOut bool) {
	switch evidence {
	case slipwick.EvidenceNone:
	case slipwick.EvidenceGood:
		s.errorRate *= 1 - errorWeight
		s.outings = 0
	case slipwick.EvidenceUnreachable, slipwick.EvidenceTimeout, slipwick.EvidenceLeaving:
		return s.leaveOut(now)
	case slipwick.EvidenceError:
		s.errorRate += (1 - s.errorRate) * errorWeight
		if s.errorRate > errorLimit {
			s.errorRate = errorLimit / 2
			return s.leaveOut(now)
		}
	}
	return false
}

func (s *server) leaveOut(now time.Time) bool {
	if s.isOut(now) {
		return false
	}
	outing := min(shortOuting<<s.outings, longOuting)
	if s.outings < 8 {
		s.outings++
	}
	s.outUntil = now.Add(outing)
	return true
}
