package balance

import (
	"time"

	"github.com/slipwick/slipwick/clock"
)

// Defaults of the bound on an engine's load, which is factor * mean + slack.
const (
	DefaultLoadFactor = 2
	DefaultLoadSlack  = 3
)

const (
	// usedLoadShare is the fraction of the allowed load above the mean that a router uses, and
	// reservedSlack the part of the slack that it leaves unused. The rest is for requests that
	// other routers send meanwhile.
	usedLoadShare = 0.6
	reservedSlack = 1
)

// loadsLocked returns the load of each backend server: the requests of this router plus those
// of the others. The latter are taken from the other routers' updates, or else from what the
// server reported, or else they are the mean of what the other servers reported. The slice is
// valid until the next call.
func (b *Balancer) loadsLocked(servers []*server, now time.Time) []float64 {
	loads := b.scratch.costs[:0]
	complete, typical := b.hasAllUpdatesLocked(now), 0.0
	if !complete {
		typical = meanReportedLoad(servers, now)
	}
	for _, s := range servers {
		others := typical
		if complete {
			others = float64(s.remoteInFlight)
		} else if reported, ok := s.inFlightElsewhere(now); ok {
			others = float64(reported)
		}
		loads = append(loads, float64(s.inFlight)+others)
	}
	b.scratch.costs = loads
	return loads
}

// expectedLoadsLocked returns the loads plus the requests that other routers have probably sent
// since their last update, and the mean of these sums.
func (b *Balancer) expectedLoadsLocked(
	servers []*server, now time.Time, decay float64,
) (loads []float64, mean float64) {
	known := b.loadsLocked(servers, now)
	typical, others := meanSends(servers, decay), float64(b.otherRouters)
	for i, s := range servers {
		known[i] = max(known[i]+others*expectedExcess(s.sends*decay, typical), float64(s.inFlight))
		mean += known[i]
	}
	return known, mean / float64(max(len(servers), 1))
}

// poolMeanLocked returns the mean load of the usable servers and of those that are evacuated or
// asked for a pause, because the bound on an engine's load refers to the mean of all healthy
// servers. mean is that of the usable ones alone. Cold servers do not count: while a part of the
// pool is back but still cold, they would lower the bound so far that prompts had to move away from
// the engines that have them cached.
func (b *Balancer) poolMeanLocked(usable []*server, mean float64, now time.Time) float64 {
	if len(b.scratch.evacuatedOrPaused) == 0 {
		return mean
	}
	sum, complete := mean*float64(len(usable)), b.hasAllUpdatesLocked(now)
	for _, s := range b.scratch.evacuatedOrPaused {
		sum += float64(s.inFlight)
		if complete {
			sum += float64(s.remoteInFlight)
		} else if reported, ok := s.inFlightElsewhere(now); ok {
			sum += float64(reported)
		}
	}
	return sum / float64(max(len(usable)+len(b.scratch.evacuatedOrPaused), 1))
}

// meanReportedLoad returns the mean number of other routers' requests in the servers' recent
// load reports.
func meanReportedLoad(servers []*server, now time.Time) float64 {
	known, sum := 0, 0
	for _, s := range servers {
		if others, ok := s.inFlightElsewhere(now); ok {
			known++
			sum += others
		}
	}
	if known == 0 {
		return 0
	}
	return float64(sum) / float64(known)
}

// SetLoadBound sets LoadFactor and LoadSlack, also after the first call of other methods.
func (b *Balancer) SetLoadBound(factor, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.LoadFactor, b.LoadSlack = factor, slack
}

// loadBound returns the load at which an engine gets no more requests while others are below
// it, given the mean load of the pool.
func (b *Balancer) loadBound(mean float64) float64 {
	return (1+usedLoadShare*(b.LoadFactor-1))*mean + max(b.LoadSlack-reservedSlack, 0)
}

// usableBoundLocked returns the load bound for the usable engines. The mean that it is based on
// includes servers that are evacuated or asked for a pause, whose load keeps falling. The bound is
// therefore at least one request above the usable engines' own mean, or none of them could get any.
func (b *Balancer) usableBoundLocked(usable []*server, mean float64, now time.Time) float64 {
	all := b.poolMeanLocked(usable, mean, now)
	return max(b.loadBound(all), mean+1)
}

// promisedBoundLocked returns the load that the usable engines are promised to stay below. The difference to the one
// that a router keeps to is for what other routers send meanwhile.
func (b *Balancer) promisedBoundLocked(usable []*server, mean float64, now time.Time) float64 {
	return b.LoadFactor*b.poolMeanLocked(usable, mean, now) + b.LoadSlack
}

// RecordLoad takes the load that a backend server reported in a response.
func (b *Balancer) RecordLoad(lease *Lease, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := lease.server, clock.Now()
	s.reported = load.Running + load.Waiting
	s.reportedOwn = s.inFlight
	lease.loadReported = s.reported
	s.reportedAt = now
	b.recordReportLocked(s, &load, now)
	s.learnLoad(load)
}
