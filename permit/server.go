package permit

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
)

// shedPause is for how long a server that rejected a request gets no more requests in flight than it
// has leases: about as long as its queue of further requests lasts.
const shedPause = 100 * time.Millisecond

// overdueFactor times the expected time is the age from which a lease no longer counts as one that is
// about to end: the server is slower than expected.
const overdueFactor = 1.5

// spreadShare is the weight of the load in the choice among servers with free slots: a router's load
// is spread, but a fast server with free slots comes before a slow one.
const spreadShare = 0.25

// server is a backend server as the coordinator of its pool sees it.
type server struct {
	slipwick.ServerCapacity
	// usable says that the server may get new requests, ejected that the coordinator's router has ejected
	// it or gets no response from it.
	usable, ejected bool
	health          health
	// leases are the granted permits for the server.
	leases []*lease
	// slowness is how long requests take there as a multiple of their expected work.
	slowness average
	// held is for how many seconds routers hold the permits of the server.
	held average
	// shedLimit bounds the leases until shedUntil.
	shedLimit int
	shedUntil time.Time
}

// limit returns how many leases the server may have: its slots and as many requests as it finishes
// while the permit of a finished request reaches the next one.
func (s *server) limit(turnaround, held, share float64, now time.Time) int {
	slots := float64(s.Slots)
	extra := min(slots*turnaround/max(s.held.or(held), minHeld.Seconds()), slots*maxExtraShare)
	limit := int(math.Ceil((slots + math.Ceil(extra)) * share))
	if now.Before(s.shedUntil) {
		limit = min(limit, max(s.shedLimit, 1))
	}
	return limit
}

// cost ranks the servers that have room for a request of a router in the data centre: the one with the
// least cost gets it. The cost is the expected time to the response, as a multiple of the work:
// roundTrip is the time to a server in another data centre on the same scale. Among servers with free
// slots a small part of the cost grows with the load.
func (s *server) cost(dataCentre string, roundTrip float64, now time.Time) float64 {
	load := float64(s.busy(now)+1) / float64(max(s.Slots, 1))
	cost := s.slowness.or(1) * (max(load, 1) + spreadShare*load)
	if s.DataCentre != dataCentre {
		cost += roundTrip
	}
	return cost
}

// recordShed notes that the server rejected a request, whose lease it still has.
func (s *server) recordShed(now time.Time) {
	limit := len(s.leases) - 1
	if now.Before(s.shedUntil) {
		limit = min(limit, s.shedLimit)
	}
	s.shedLimit, s.shedUntil = limit, now.Add(shedPause)
}

// busy returns how many leases the server still works on when a request that is granted now arrives.
// It leaves out those that probably end until then, or whose end is already being reported.
func (s *server) busy(now time.Time) int {
	busy := 0
	for _, l := range s.leases {
		expected := time.Duration(float64(l.work) * s.slowness.or(1))
		age := now.Sub(l.granted)
		if age < expected-serverRoundTrip || age > time.Duration(overdueFactor*float64(expected)) {
			busy++
		}
	}
	return busy
}
