package balance

import (
	"math"
	"time"
)

const (
	// unheardTime is how long a router does not know yet what the others send: a
	// telling comes five times a second, and may be passed on by a hub.
	updateDelay = 200 * time.Millisecond
	// countAnew is after how long the servers' sends are counted for a new
	// moment: what was counted long before has decayed to nothing.
	sendsRebaseInterval = 20 * updateDelay
)

// decayLocked is what remains now of a request that was sent at sendsFrom.
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

// noteSend takes a request of this router, which decays from now on.
func (s *server) recordSend(decay float64) {
	s.sends += 1 / decay
}

// usualSends is how many each of the servers got from this router in the last
// moment, in the mean.
func meanSends(servers []*server, decay float64) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += s.sends
	}
	return sum * decay / float64(max(len(servers), 1))
}

// expectedExcess is how many more requests than usual another router has probably sent to
// a server in the last moment, unheard yet, by what this one sent there and what
// is usual. Routers choose alike: what this one sent tells of the others, and the
// less the fewer it sends. Without it all would send what they all like to the same
// server until the next telling.
func expectedExcess(sent, typical float64) float64 {
	if typical <= 0 {
		return 0
	}
	// The mean of a Poisson rate, given an exponential prior around the usual.
	expected := typical * (1 + sent) / (1 + typical)
	return expected - typical
}
