package permit

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// initialRoundTrip is taken for the time until a coordinator answers, until one was measured.
	initialRoundTrip = 8 * time.Millisecond
	// minResendTime is the least time after which a request is repeated.
	minResendTime = 4 * time.Millisecond
	// minPingInterval and maxPingInterval are how often a coordinator that didn't answer is asked
	// whether it is back: the interval doubles. pingSpread is the part of an interval by which it is longer
	// or shorter at random, since all routers notice at the same time that a coordinator is down.
	minPingInterval = 50 * time.Millisecond
	maxPingInterval = time.Second
	pingSpread      = 0.5
	// coordinatorRetention is for how long the state of a coordinator that isn't used is kept.
	coordinatorRetention = time.Minute
)

// coordinatorState is what a client knows of a coordinator.
type coordinatorState struct {
	roundTrip average
	// usedAt is when the state was used last.
	usedAt  time.Time
	heardAt time.Time
	// down says that the coordinator didn't answer: requests don't wait for it until it does.
	down         bool
	pingAt       time.Time
	pingInterval time.Duration
}

// coordinatorLocked returns the state of a coordinator. A new one replaces those that are no longer used.
func (c *Client) coordinatorLocked(address string, now time.Time) *coordinatorState {
	s := c.coordinators[address]
	if s == nil {
		maps.DeleteFunc(c.coordinators, func(_ string, old *coordinatorState) bool {
			return now.Sub(old.usedAt) > coordinatorRetention
		})
		s = &coordinatorState{}
		c.coordinators[address] = s
	}
	s.usedAt = now
	return s
}

func (s *coordinatorState) recordHeard(now time.Time) {
	s.heardAt, s.down = now, false
}

func (s *coordinatorState) recordRoundTrip(took time.Duration) {
	s.roundTrip.add(took.Seconds())
}

// resendTime returns after which time without an answer a request is repeated.
func (s *coordinatorState) resendTime() time.Duration {
	return max(2*s.usualRoundTrip(), minResendTime)
}

// usualRoundTrip returns how long the coordinator takes to answer.
func (s *coordinatorState) usualRoundTrip() time.Duration {
	return time.Duration(s.roundTrip.or(initialRoundTrip.Seconds()) * float64(time.Second))
}

// recordSilence notes that a request got no answer within the bounded wait.
func (s *coordinatorState) recordSilence(bound time.Duration, now time.Time) {
	if !s.down && now.Sub(s.heardAt) >= bound {
		s.down, s.pingInterval = true, minPingInterval
		s.pingAt = now.Add(spreadPing(minPingInterval))
	}
}

// takePing reports whether it is time to ask the coordinator whether it is back.
func (s *coordinatorState) takePing(now time.Time) bool {
	if now.Before(s.pingAt) {
		return false
	}
	s.pingAt = now.Add(spreadPing(s.pingInterval))
	s.pingInterval = min(2*s.pingInterval, maxPingInterval)
	return true
}

// spreadPing returns a random time around an interval.
func spreadPing(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 + pingSpread*(2*rand.Float64()-1)))
}
