package balance

import (
	"math"
	"time"
)

const (
	// updateDelay is how long it takes until a router knows what the others send: updates are
	// sent five times a second, and another router, a hub, may relay them.
	updateDelay = 200 * time.Millisecond
	// sendsRebaseInterval is how often the send counts are rebased to the current time. What
	// was counted that long before has decayed to nothing.
	sendsRebaseInterval = 20 * updateDelay
)

// decayLocked returns the weight that a request sent at sendsFrom has now. The weight decays
// exponentially, with updateDelay as the time constant.
func (b *Balancer) decayLocked(now time.Time) float64 {
	age := now.Sub(b.sendsFrom)
	decay := math.Exp(-age.Seconds() / updateDelay.Seconds())
	if age <= sendsRebaseInterval {
		return decay
	}
	for _, s := range b.servers {
		s.sends *= decay
	}
	b.sendsFrom = now
	return 1
}

// countSend counts a request of this router, which decays from now on.
func (s *server) countSend(decay float64) {
	s.sends += 1 / decay
}

// meanSends returns the mean number of requests that each of the servers recently got from this
// router.
func meanSends(servers []*server, decay float64) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += s.sends
	}
	return sum * decay / float64(max(len(servers), 1))
}

// expectedExcess returns how many more requests than usual another router has probably sent to
// a server since its last update, given what this router sent there and the usual number.
// Routers choose alike, so what this one sent indicates what the others did, though less so the
// fewer it sends. Without this estimate all routers would send to the server that they all
// prefer until the next update.
func expectedExcess(sent, typical float64) float64 {
	if typical <= 0 {
		return 0
	}
	// This is the posterior mean of a Poisson rate after one observation, sent, for an exponential
	// prior whose mean is typical.
	expected := typical * (1 + sent) / (1 + typical)
	return expected - typical
}
