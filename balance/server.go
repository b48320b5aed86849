package balance

import (
	"time"

	"github.com/slipwick/slipwick/placement"
)

const (
	// reportLife is how long a report of load is believed: at the rates
	// designed for, a router hears from each engine about once a second.
	loadReportLifetime = 1500 * time.Millisecond
	// shortOuting and longOuting bound how long one is left out.
	shortEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
)

// LateListing is how long after a router's first list backend servers turn up
// that were there before: entries that lapsed while the store was away come back
// within about 2 s of its return.
const LateListing = 4 * time.Second

// server is one backend server as the balancer knows it.
type server struct {
	Listed
	// poolIndex is its index in its pool; -1 in none.
	poolIndex int
	// hash names this life of it: what routers know and tell of a server belongs to
	// one, so that nothing of an earlier life is believed of a later one, nor changes
	// it when it comes late. It ranks by it as well: ranked by its ID alone, one that
	// is back would get the prompts again that it lost.
	hash uint64
	// listedAt is when it was first listed; zero if it was there when the router
	// began.
	listedAt time.Time
	// covered says that the router knows what it has cached: it was listed
	// empty, or its cache was learnt after a start.
	cacheKnown bool
	// inFlight counts the leases of this router.
	inFlight int
	// prefillTokens counts the tokens that it has to read for this router before
	// its answers begin.
	prefillTokens int

	// reported is the load of all routers that it told at reportedAt, when
	// this router had reportedOwn requests there.
	reported    int
	reportedOwn int
	reportedAt  time.Time

	// heardAt is when it last said anything to this router, waitingSince since
	// when requests of this router are in flight there.
	lastActivityAt time.Time
	busySince      time.Time

	// sends are this router's of the last moment, as counted for the balancer's
	// sendsFrom.
	sends float64

	// remoteInFlight counts the requests that the others remoteInFlight, toldReading the tokens that
	// it has to read for them yet.
	remoteInFlight, remotePrefillTokens int

	// evacuated says that its data centre is.
	evacuated bool
	// coldUntil is until when it counts as cold. coldSends are when this router sent
	// to it lately while it was, the earliest first, rank how this router ranks for it.
	coldUntil time.Time
	coldSends []time.Time
	rank      routerRank

	// notices is what this life of it notices of itself; nil if it notices nothing.
	notices *notices

	errors errorRate
	// outings counts the times in a row that it was left out. failing says that
	// it is out for requests that failed, and can still be fetched from.
	consecutiveEjections int
	ejectedUntil         time.Time
	ejectedForErrors     bool
}

func newServer(listed Listed, since time.Time) *server {
	return &server{
		Listed:    listed,
		hash:      placement.IDHash(listed.Life()),
		poolIndex: -1,
		listedAt:  since,
		// One that comes after the router's start has nothing cached yet.
		cacheKnown: !since.IsZero(),
	}
}

// isLifeOf tells whether an entry is of the same life. One that leaves out when its
// server began says nothing of it.
func (s *server) isSameIncarnation(listed *Listed) bool {
	return listed.Born == 0 || listed.Born == s.Born
}

// inFlightElsewhere is what the other routers have there; ok says that it is known.
func (s *server) inFlightElsewhere(now time.Time) (count int, ok bool) {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > loadReportLifetime {
		return 0, false
	}
	return max(s.reported-s.reportedOwn, 0), true
}

// isOutLocked tells whether the server gets nothing new for now: it is left out
// for its failures, or says nothing though it has requests to answer.
func (b *Balancer) isUnavailableLocked(s *server, now time.Time) bool {
	return now.Before(s.ejectedUntil) || b.isUnresponsiveLocked(s, now)
}

// isReachableLocked tells whether another engine may fetch from the server.
func (b *Balancer) canFetchFromLocked(s *server, now time.Time) bool {
	if s.evacuated && b.Switches.ForgetEvacuated {
		return false
	}
	return !b.isUnresponsiveLocked(s, now) && (s.ejectedForErrors || !now.Before(s.ejectedUntil))
}

// isSilentLocked tells whether the server has said nothing for longer than its
// pool's do, with as much to read.
func (b *Balancer) isUnresponsiveLocked(s *server, now time.Time) bool {
	if s.inFlight == 0 {
		return false
	}
	silentFor := min(now.Sub(s.busySince), now.Sub(s.lastActivityAt))
	return silentFor > minSilence && silentFor > b.paceLocked(s.Pool).maxSilenceFor(s.prefillTokens)
}

// leaveOut leaves it out, for longer each time in a row; false if it is out.
func (s *server) eject(now time.Time, first time.Duration) bool {
	if now.Before(s.ejectedUntil) {
		return false
	}
	ejection := min(first<<s.consecutiveEjections, maxEjection)
	if s.consecutiveEjections < 8 {
		s.consecutiveEjections++
	}
	s.ejectedUntil, s.ejectedForErrors = now.Add(ejection), false
	return true
}
