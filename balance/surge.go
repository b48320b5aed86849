package balance

import (
	"math"
	"time"
)

// unheardTime is how long a router does not know yet what the others send: a
// telling comes five times a second, and may be passed on by a hub.
const unheardTime = 200 * time.Millisecond

// noteSend takes a request of this router.
func (s *server) noteSend(now time.Time) {
	s.sends = s.sendsAt(now) + 1
	s.sentAt = now
}

// sendsAt is how many requests this router sent there in the last moment.
func (s *server) sendsAt(now time.Time) float64 {
	if s.sentAt.IsZero() {
		return 0
	}
	return s.sends * math.Exp(-now.Sub(s.sentAt).Seconds()/unheardTime.Seconds())
}

// usualSends is how many each of the servers got from this router in the last
// moment, in the mean.
func usualSends(servers []*server, now time.Time) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += s.sendsAt(now)
	}
	return sum / float64(max(len(servers), 1))
}

// surge is how many more requests than usual another router has probably sent
// there in the last moment, unheard yet. Routers choose alike: what this one sent
// tells of the others, and the less the fewer it sends. Without it all would send
// what they all like to the same server until the next telling.
func (s *server) surge(usual float64, now time.Time) float64 {
	if usual <= 0 {
		return 0
	}
	// The mean of a Poisson rate, given an exponential prior around the usual.
	expected := usual * (1 + s.sendsAt(now)) / (1 + usual)
	return expected - usual
}
