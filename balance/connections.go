package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// keptIdleTime is for how long backend servers usually keep an idle connection.
	keptIdleTime = 10 * time.Second
	// requestsPerIdleTime is how many requests a server should get from this router on average in the
	// time for which a connection may be idle. The time between two of them is then longer in 1 of 20
	// cases, if they arrive at random.
	requestsPerIdleTime = 3
	// sendRateWindow is the time constant of the rate of a pool's requests.
	sendRateWindow = 10 * time.Second
	// localRoundTrip is the time to open a connection in the router's own data centre.
	localRoundTrip = 500 * time.Microsecond
	// equalPaceFactor is by what factor the paces of equally fast servers may differ, as estimates.
	equalPaceFactor = 1.25
	// maxDeviations is by how many standard deviations of a random count the load of a preferred server
	// may be above the mean. With one, a fifth of the requests would open a connection in vain.
	maxDeviations = 2
	// newServerTime is for how long connections don't matter for a server once it is listed: it has to
	// get its part while no router has one.
	newServerTime = keptIdleTime
)

// sendRate counts a pool's requests, and decays exponentially with sendRateWindow.
type sendRate struct {
	count float64
	at    time.Time
}

// add counts a request and returns how many are sent in a second.
func (r *sendRate) add(now time.Time) float64 {
	if !r.at.IsZero() {
		r.count *= math.Exp(-now.Sub(r.at).Seconds() / sendRateWindow.Seconds())
	}
	r.count, r.at = r.count+1, now
	return r.count / sendRateWindow.Seconds()
}

// SetPosition sets the number of routers in this router's data centre, and the index of this one in
// their order, which has to be the same at all of them.
func (b *Balancer) SetPosition(index, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.positionIndex, b.positionCount = index, count
}

// SetPreferConnected turns the preference for servers with idle connections on or off.
func (b *Balancer) SetPreferConnected(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefersConnected = on
}

// preferConnectedLocked returns the server of a plain service that gets the request if there is no usable
// connection to the drawn one, to open fewer connections. A router with many requests keeps connections
// to all servers, and nothing changes there. One with few sends the requests for which it would have to
// open a connection to a few servers only, which then get enough requests to keep theirs in use. Which
// ones depends on the router's position, so that each server is preferred by equally many routers. If a
// router preferred the servers to which it happens to have connections, some would be preferred by many
// more than others. Only servers that are equal in data centre, speed and slots replace each other: the
// draw decides the part of each group.
func (b *Balancer) preferConnectedLocked(
	request *Request, usable []*server, drawn *server, now time.Time,
) *server {
	if !b.prefersConnected || b.Connections == nil || b.positionCount == 0 {
		return drawn
	}
	perSecond, idleTime := b.timingsLocked(request.Pool).sendRate.add(now), keptIdleTime
	if request.MaxIdleTime > 0 {
		idleTime = min(request.MaxIdleTime, idleTime)
	}
	if drawn.isNew(now) || b.Connections.HasIdleConnection(drawn.incarnation, request.MaxIdleTime) {
		return drawn
	}
	// This many servers get enough requests.
	width := perSecond * idleTime.Seconds() / requestsPerIdleTime
	preferred := b.preferredLocked(request.Pool, usable, drawn, width, now)
	if preferred == nil || !b.isNotLaterLocked(usable, preferred, drawn, now) {
		return drawn
	}
	if preferred.inFlight > drawn.inFlight &&
		!b.Connections.HasIdleConnection(preferred.incarnation, request.MaxIdleTime) {
		// A connection has to be opened anyway. A server accepts few from each router.
		return drawn
	}
	return preferred
}

// preferredLocked returns one of the servers that this router prefers, if that is as good as the drawn
// one, or nil. The servers of the data centre are arranged in a ring in the same order at all routers. Each
// router prefers those at its position, within a width that it draws from. The routers that prefer a server
// which isn't as good are divided over those that are, and no other router changes its preference.
func (b *Balancer) preferredLocked(
	pool string, usable []*server, drawn *server, width float64, now time.Time,
) *server {
	b.choices++
	equals, mean := 0, 0.0
	for i, load := range b.loadsLocked(usable, now) {
		if s := usable[i]; s.DataCentre == drawn.DataCentre && s.isAsFastAs(drawn) && !s.isNew(now) {
			s.equalIn, s.equalLoad = b.choices, load
			equals++
			mean += load
		}
	}
	if equals == 0 || width >= float64(equals) {
		return nil
	}
	mean /= float64(equals)
	ring := b.ringLocked(pool, drawn.DataCentre)
	size := float64(len(ring))
	position := size * (float64(b.positionIndex) + 0.5) / float64(b.positionCount)
	position += (b.Random() - 0.5) * max(width-1, 0)
	index, rest := math.Modf(math.Mod(position+size, size))
	preferred := ring[int(index)]
	if preferred.equalIn != b.choices {
		preferred = b.nthEqualLocked(ring, int(rest*float64(equals)))
	}
	if preferred.equalLoad > mean+maxDeviations*math.Sqrt(mean) {
		return nil
	}
	return preferred
}

// nthEqualLocked returns the server of the ring with this index among those that are as good as the drawn
// one in the current choice.
func (b *Balancer) nthEqualLocked(ring []*server, index int) *server {
	for _, s := range ring {
		if s.equalIn != b.choices {
			continue
		}
		if index == 0 {
			return s
		}
		index--
	}
	return nil
}

// isNew reports whether the server was listed so recently that few routers have connections to it.
func (s *server) isNew(now time.Time) bool {
	return !s.listedAt.IsZero() && now.Sub(s.listedAt) < newServerTime
}

// isAsFastAs reports whether the slow estimates of two servers don't differ by more than they may for
// equal servers, and both have as many slots.
func (s *server) isAsFastAs(other *server) bool {
	pace, others := s.speed.slowPace, other.speed.slowPace
	return pace <= equalPaceFactor*others && others <= equalPaceFactor*pace && s.slots() == other.slots()
}

// isNotLaterLocked reports whether the response to a request is expected no later from the preferred
// server than from the drawn one, including the time to open a connection to that one.
func (b *Balancer) isNotLaterLocked(usable []*server, preferred, drawn *server, now time.Time) bool {
	if preferred == drawn {
		return true
	}
	pace, _ := drawn.speed.paces(now)
	fast, _ := preferred.speed.paces(now)
	if preferred.isFull(now) || fast > equalPaceFactor*pace {
		return false
	}
	delayOf := func(s *server) float64 {
		delay := expectedDelay{
			pace:     pace,
			inFlight: s.equalLoad,
			slots:    float64(s.slots()),
		}
		return delay.total()
	}
	usual := b.usualTimeLocked(drawn.Pool)
	dial := localRoundTrip + b.roundTrip(drawn, b.ownRegion(usable))
	return delayOf(preferred) <= delayOf(drawn)+float64(dial)/float64(usual)
}

// ringLocked returns the servers of a pool in a data centre, in an order that is the same at all routers.
func (b *Balancer) ringLocked(pool, dataCentre string) []*server {
	ring := b.rings[pool][dataCentre]
	if ring != nil {
		return ring
	}
	for _, s := range b.pools[pool] {
		if s.DataCentre == dataCentre {
			ring = append(ring, s)
		}
	}
	slices.SortFunc(ring, func(x, y *server) int { return cmp.Compare(x.hash, y.hash) })
	if b.rings[pool] == nil {
		b.rings[pool] = make(map[string][]*server)
	}
	b.rings[pool][dataCentre] = ring
	return ring
}
