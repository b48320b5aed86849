package balance

import (
	"time"

	"github.com/slipwick/slipwick/placement"
)

const (
	// loadReportTTL is how long a load report is used. A router gets one with a response, so how
	// often it gets those of an engine depends on the deployment; after this time newer ones are
	// expected to have come.
	loadReportTTL = 1500 * time.Millisecond
	// minEjection is the shortest and maxEjection the longest duration of an ejection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
)

// RelistWindow is how long after a router's first list a newly listed backend server may have
// been running before the router: entries that expired while the store was unavailable reappear within
// about 2 s of its return.
const RelistWindow = 4 * time.Second

// server is the balancer's state of a backend server.
type server struct {
	Entry
	// The fields up to speed are read for each server of the pool at each choice, and so are next to
	// each other in memory.

	// hash identifies the incarnation. What routers know and send each other about a server
	// belongs to one incarnation, so that nothing about an earlier one is applied to a later
	// one, also if it arrives late. The hash also determines the server's rank. If the ID did,
	// a restarted server would get the same prompts again although its cache is lost.
	hash uint64
	// evacuated says that the server's data centre is evacuated.
	evacuated bool
	// notices is what this incarnation announced about itself, nil if nothing.
	notices *notices
	// coldUntil is the end of the time for which the server counts as cold, ejectedUntil that of its
	// ejection, unreachableUntil that for which nobody reaches it.
	coldUntil, ejectedUntil, unreachableUntil time.Time
	// inFlight counts the leases of this router, pausedRequests those of them whose response is not read
	// because of its caller.
	inFlight, pausedRequests int
	// pathLosses counts how often this router's path to the server was lost, silentRequests the leases whose
	// request was in flight, and not paused, when it was last lost.
	pathLosses     uint64
	silentRequests int
	// remoteInFlight counts the requests of the other routers, as the peers reported them,
	// remotePrefillTokens the tokens that the server has yet to prefill for these routers.
	remoteInFlight, remotePrefillTokens int
	// sends is an exponentially decaying count of the requests that this router sent, as of the
	// balancer's sendsFrom.
	sends float64
	speed speed

	// poolIndex is the index in the pool, -1 if the server is in none.
	poolIndex int
	// incarnation is the key of the connections to the server.
	incarnation string
	// equalIn is the number of the last choice of a preferred server in which this one was as good as the
	// drawn one, equalLoad its load then.
	equalIn   uint64
	equalLoad float64
	// listedAt is when the server was first listed, zero if it may have been running before the
	// router.
	listedAt time.Time
	// cacheKnown says that the router knows what the server has cached: the cache was empty when
	// the server was listed, or the server or another router has reported its contents since.
	cacheKnown bool
	// prefillTokens counts the tokens that the server has yet to prefill for this router.
	prefillTokens int

	// reported is the load by all routers that the server reported at reportedAt, when this
	// router had reportedOwn requests there.
	reported    int
	reportedOwn int
	reportedAt  time.Time
	// reportedSlots and reportedPace are the slots and the pace that the server last reported, 0 if
	// none; paceReportedAt is when it reported the pace. hasInvalidPace says that it has reported an
	// invalid one.
	reportedSlots  int
	reportedPace   float64
	paceReportedAt time.Time
	hasInvalidPace bool

	// hasRefused says that the server refused a connection, so that its process may have ended and another one may
	// listen at its address. successorPausedUntil is the end of a pause that was asked for there since.
	hasRefused           bool
	successorPausedUntil time.Time

	learned learnedSlots
	// room is used while the servers of the pool are brittle.
	room room

	// lastActivityAt is when the server last sent anything to this router, busySince since when
	// this router has had requests in flight there whose responses it reads.
	lastActivityAt time.Time
	busySince      time.Time

	errors errorRate
	// consecutiveEjections counts the ejections in a row. ejectedForErrors says that the
	// current one is for failed requests, so that other engines can still fetch from the
	// server.
	consecutiveEjections int
	ejectedForErrors     bool
	// ejectedForPath says that the current ejection is for a connection that could not be established: this
	// router's network path to the server may be the cause.
	ejectedForPath bool
	// coldSends are the times at which this router recently sent to the server while it was cold, the
	// earliest first, rank is the rank of this router for it.
	coldSends []time.Time
	rank      routerRank
}

func newServer(entry Entry, listedAt time.Time) *server {
	incarnation := entry.Incarnation()
	return &server{
		Entry:       entry,
		hash:        placement.IDHash(incarnation),
		incarnation: incarnation,
		poolIndex:   -1,
		listedAt:    listedAt,
		speed:       newSpeed(),
		// The cache of a server that starts after the router is empty.
		cacheKnown: !listedAt.IsZero(),
	}
}

// isSameIncarnation reports whether an entry is of the same incarnation. An entry without a
// start time matches any.
func (s *server) isSameIncarnation(entry *Entry) bool {
	return entry.StartTime == 0 || entry.StartTime == s.StartTime
}

// inFlightElsewhere returns how many requests of other routers are in flight at the server by its
// latest load report. ok is false without a recent one.
func (s *server) inFlightElsewhere(now time.Time) (count int, ok bool) {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > loadReportTTL {
		return 0, false
	}
	return max(s.reported-s.reportedOwn, 0), true
}

// isOrdinary reports whether nothing can keep a request from the server but the request itself. It is
// faster than the checks that it stands for, which most servers of a large pool don't need.
func (s *server) isOrdinary() bool {
	return !s.evacuated && !s.Leaving && s.notices == nil && s.coldUntil.IsZero() && s.ejectedUntil.IsZero() &&
		s.unreachableUntil.IsZero() && s.inFlight == 0
}

// isUnavailableLocked reports whether the server gets no new requests for now, because it is
// ejected, can't be reached or does not respond to those in flight.
func (b *Balancer) isUnavailableLocked(s *server, now time.Time) bool {
	return now.Before(s.ejectedUntil) || s.isUnreachable(now) || b.isUnresponsiveLocked(s, now)
}

// canFetchFromLocked reports whether another engine may fetch from the server.
func (b *Balancer) canFetchFromLocked(s *server, now time.Time) bool {
	if s.evacuated && b.Switches.ForgetEvacuated {
		return false
	}
	return !b.isUnresponsiveLocked(s, now) && (s.ejectedForErrors || !now.Before(s.ejectedUntil))
}

// isUnresponsiveLocked reports whether the server has requests in flight but has sent nothing
// for longer than servers of its pool do with as many tokens to prefill.
func (b *Balancer) isUnresponsiveLocked(s *server, now time.Time) bool {
	if !s.isBusy() {
		return false
	}
	silentFor := min(now.Sub(s.busySince), now.Sub(s.lastActivityAt))
	if silentFor <= minSilence {
		return false
	}
	limit := b.timingsLocked(s.Pool).maxSilenceFor(s.prefillTokens)
	return silentFor > limit && float64(silentFor) > float64(limit)*b.slowTimeLocked(s, now)
}

// eject ejects the server, for twice as long each time in a row up to maxEjection. It returns
// false if the server is ejected already.
func (s *server) eject(now time.Time, first time.Duration) bool {
	if now.Before(s.ejectedUntil) {
		return false
	}
	ejection := min(first<<s.consecutiveEjections, maxEjection)
	// The limit keeps the shift above from overflowing.
	if s.consecutiveEjections < 8 {
		s.consecutiveEjections++
	}
	s.ejectedUntil, s.ejectedForErrors, s.ejectedForPath = now.Add(ejection), false, false
	return true
}

// acceptsNew reports whether any router may send new requests to the server.
func (s *server) acceptsNew() bool {
	return !s.isLeaving() && !s.evacuated
}
