package balance

import "time"

// The promised bound on an engine's load where no settings name one: factor * mean +
// slack.
const (
	DefaultLoadFactor = 2
	DefaultLoadSlack  = 3
)

const (
	// loadShare of what the promise allows beyond the mean is used, and
	// slackMargin of its slack is not: the rest is for what other routers send
	// meanwhile.
	usedLoadShare = 0.6
	reservedSlack = 1
)

// loadsLocked gives, until it is called again, the load of each backend server: this router's requests and
// those of the others, as they told, else as the backend server reported, else
// the mean of what others report.
func (b *Balancer) loadsLocked(servers []*server, now time.Time) []float64 {
	each := b.scratch.costs[:0]
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
		each = append(each, float64(s.inFlight)+others)
	}
	b.scratch.costs = each
	return each
}

// expectedLocked gives the loads with what the other routers probably sent since
// they told.
func (b *Balancer) expectedLoadsLocked(
	servers []*server, now time.Time, decay float64,
) (each []float64, mean float64) {
	known := b.loadsLocked(servers, now)
	typical, others := meanSends(servers, decay), float64(b.otherRouters)
	for i, s := range servers {
		known[i] = max(known[i]+others*expectedExcess(s.sends*decay, typical), float64(s.inFlight))
		mean += known[i]
	}
	return known, mean / float64(max(len(servers), 1))
}

// poolMeanLocked is the mean load of the usable servers of a pool, which is given, and
// those that are evacuated or rest: the promise on an engine's load is by the mean of all
// that are sound. Cold ones do not count: as a part of a pool came back, the bound would be so low
// that prompts had to move from where they are kept.
func (b *Balancer) poolMeanLocked(usable []*server, mean float64, now time.Time) float64 {
	if len(b.scratch.paused) == 0 {
		return mean
	}
	sum, complete := mean*float64(len(usable)), b.hasAllUpdatesLocked(now)
	for _, s := range b.scratch.paused {
		sum += float64(s.inFlight)
		if complete {
			sum += float64(s.remoteInFlight)
		} else if reported, ok := s.inFlightElsewhere(now); ok {
			sum += float64(reported)
		}
	}
	return sum / float64(max(len(usable)+len(b.scratch.paused), 1))
}

// usualReport is the mean of what backend servers reported lately of other
// routers' requests.
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

// SetLoadBound changes the promise on an engine's load.
func (b *Balancer) SetLoadBound(factor, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.LoadFactor, b.LoadSlack = factor, slack
}

// loadBound is the load from which on an engine gets no more while others are
// below it, by the mean of the pool.
func (b *Balancer) loadBound(mean float64) float64 {
	return (1+usedLoadShare*(b.LoadFactor-1))*mean + max(b.LoadSlack-reservedSlack, 0)
}

// usableBoundLocked is the bound for the usable engines, by the mean of the pool: with
// those that are spared, which hold less and less. The bound leaves each a request
// above the usable ones' mean, or none could get any.
func (b *Balancer) usableBoundLocked(usable []*server, mean float64, now time.Time) float64 {
	all := b.poolMeanLocked(usable, mean, now)
	return max(b.loadBound(all), mean+1)
}
