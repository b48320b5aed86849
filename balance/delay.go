package balance

import (
	"math"
	"time"
)

const (
	// remoteRoundTrip is the additional time that a request to another data centre of the region
	// takes, otherRegionRoundTrip that to another region.
	remoteRoundTrip      = 2 * time.Millisecond
	otherRegionRoundTrip = 30 * time.Millisecond
	// distanceExponent and paceExponent say how much more seldom a server is drawn the longer the way
	// to it is, compared with the usual response time, and the longer work takes there. Both servers
	// of a draw may be slow, but a fast one that is drawn each time gets too many requests.
	distanceExponent = 4
	paceExponent     = 0.25
)

// SetSpeedAware says whether the speed of servers decides where requests go. It may be called at any
// time; initially it doesn't.
func (b *Balancer) SetSpeedAware(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.speedAware = on
}

// expectedDelay is the expected time until a server responds, in usual response times.
type expectedDelay struct {
	// pace is the fast estimate, trip the additional time to the server's data centre.
	pace, trip float64
	// inFlight counts the requests there, slots is how many of them the server works on at once.
	inFlight, slots float64
}

// total returns the expected delay of the next request.
func (d *expectedDelay) total() float64 {
	return d.pace*max(1, d.utilization()) + d.trip
}

// utilization returns the part of the slots that would be in use with the next request.
func (d *expectedDelay) utilization() float64 {
	return (d.inFlight + 1) / d.slots
}

// isShorterThan compares expected delays, and for equal ones the utilization.
func (d *expectedDelay) isShorterThan(other *expectedDelay) bool {
	if own, others := d.total(), other.total(); own != others {
		return own < others
	}
	return d.utilization() < other.utilization()
}

// shortestDelayLocked draws two servers of a plain service at random and returns the one with the
// shorter expected delay. If all routers chose the best server by counts that are a few hundred
// milliseconds old, it would get all requests until the next update. Servers that have just rejected
// a request get none while there are others.
func (b *Balancer) shortestDelayLocked(usable []*server, now time.Time, decay float64) *server {
	usable = notFull(usable, now)
	loads, _ := b.expectedLoadsLocked(usable, now, decay)
	usual, region := b.usualTimeLocked(usable[0].Pool), b.ownRegion(usable)
	weights := b.scratch.weights[:0]
	for _, s := range usable {
		trip := float64(b.roundTrip(s, region)) / float64(usual)
		weights = append(weights, float64(s.slots())/
			(math.Pow(1+trip, distanceExponent)*math.Pow(s.speed.slowPace, paceExponent)))
	}
	b.scratch.weights = weights
	first := drawIndex(weights, b.Random())
	weights[first] = 0
	second := drawIndex(weights, b.Random())
	delayOf := func(i int) *expectedDelay {
		s := usable[i]
		fast, _ := s.speed.paces(now)
		return &expectedDelay{
			pace:     fast,
			trip:     float64(b.roundTrip(s, region)) / float64(usual),
			inFlight: loads[i],
			slots:    float64(s.slots()),
		}
	}
	if second != first && delayOf(second).isShorterThan(delayOf(first)) {
		return usable[second]
	}
	return usable[first]
}

// drawIndex returns a random index, each as often as its weight says, or 0 without weights. draw is a
// random number in [0, 1).
func drawIndex(weights []float64, draw float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	draw *= sum
	drawn := 0
	for i, weight := range weights {
		if weight == 0 {
			continue
		}
		drawn = i
		if draw -= weight; draw < 0 {
			break
		}
	}
	return drawn
}

// roundTrip returns how much longer a request to the server takes than to one in the router's own
// data centre.
func (b *Balancer) roundTrip(s *server, ownRegion string) time.Duration {
	switch {
	case s.DataCentre == b.DataCentre:
		return 0
	case ownRegion != "" && s.Region != ownRegion:
		return otherRegionRoundTrip
	default:
		return remoteRoundTrip
	}
}

// ownRegion returns the region of the router's data centre, empty if none of the servers is there.
func (b *Balancer) ownRegion(servers []*server) string {
	for _, s := range servers {
		if s.DataCentre == b.DataCentre {
			return s.Region
		}
	}
	return ""
}

// notFull returns the servers that have not just rejected a request, or all if all have. It reorders
// the slice.
func notFull(servers []*server, now time.Time) []*server {
	rest := 0
	for i, s := range servers {
		if !s.isFull(now) {
			servers[rest], servers[i] = servers[i], servers[rest]
			rest++
		}
	}
	if rest == 0 {
		return servers
	}
	return servers[:rest]
}
