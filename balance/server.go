package balance

import (
	"time"

	"github.com/slipwick/slipwick/placement"
)

const (
	// reportLife is how long a report of load is believed: at the rates
	// designed for, a router hears from each engine about once a second.
	reportLife = 1500 * time.Millisecond
	// shortOuting and longOuting bound how long one is left out.
	shortOuting = 500 * time.Millisecond
	longOuting  = 4 * time.Second
)

// LateListing is how long after a router's first list backend servers turn up
// that were there before: entries that lapsed while the store was away come back
// within about 2 s of its return.
const LateListing = 4 * time.Second

// server is one backend server as the balancer knows it.
type server struct {
	Listed
	// place is its index in its pool; -1 in none.
	place int
	// hash names this life of it: what routers know and tell of a server belongs to
	// one, so that nothing of an earlier life is believed of a later one, nor changes
	// it when it comes late. It ranks by it as well: ranked by its ID alone, one that
	// is back would get the prompts again that it lost.
	hash uint64
	// since is when it was first listed; zero if it was there when the router
	// began.
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

	// sends are this router's of the last moment, as counted for the balancer's
	// sendsFrom.
	sends float64

	// told counts the requests that the others told, toldReading the tokens that
	// it has to read for them yet.
	told, toldReading int

	// evacuated says that its data centre is.
	evacuated bool
	// coldUntil is until when it counts as cold. coldSends are when this router sent
	// to it lately while it was, the earliest first, rank how this router ranks for it.
	coldUntil time.Time
	coldSends []time.Time
	rank      routerRank

	// said is what this life of it said of itself; nil if it said nothing.
	said *notices

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
		hash:   placement.IDHash(listed.Life()),
		place:  -1,
		since:  since,
		// One that comes after the router's start has nothing cached yet.
		covered: !since.IsZero(),
	}
}

// isLifeOf tells whether an entry is of the same life. One that leaves out when its
// server began says nothing of it.
func (s *server) isLifeOf(listed *Listed) bool {
	return listed.Born == 0 || listed.Born == s.Born
}

// others is what the other routers have there; ok says that it is known.
func (s *server) others(now time.Time) (count int, ok bool) {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > reportLife {
		return 0, false
	}
	return max(s.reported-s.reportedOwn, 0), true
}

// isOutLocked tells whether the server gets nothing new for now: it is left out
// for its failures, or says nothing though it has requests to answer.
func (b *Balancer) isOutLocked(s *server, now time.Time) bool {
	return now.Before(s.outUntil) || b.isSilentLocked(s, now)
}

// isReachableLocked tells whether another engine may fetch from the server.
func (b *Balancer) isReachableLocked(s *server, now time.Time) bool {
	if s.evacuated && b.Switches.ForgetEvacuated {
		return false
	}
	return !b.isSilentLocked(s, now) && (s.failing || !now.Before(s.outUntil))
}

// isSilentLocked tells whether the server has said nothing for longer than its
// pool's do, with as much to read.
func (b *Balancer) isSilentLocked(s *server, now time.Time) bool {
	if s.inFlight == 0 {
		return false
	}
	quiet := min(now.Sub(s.waitingSince), now.Sub(s.heardAt))
	return quiet > leastSilence && quiet > b.paceLocked(s.Pool).silence(s.reading)
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
