package admission

import (
	"time"

	"github.com/slipwick/slipwick"
)

// Health is an owner's assessment of a backend server.
type Health int

// The states of a backend server's health.
const (
	// HealthGood means that the backend server may get new requests.
	HealthGood Health = iota
	// HealthEjected means that it gets no new requests for a limited time, after errors or at its
	// own request.
	HealthEjected
	// HealthLeaving means that it announced that it takes no new requests.
	HealthLeaving
)

// minRampShare is the share of its limit with which a restored backend server starts.
const minRampShare = 0.1

// healthTracker tracks the evidence on one backend server.
type healthTracker struct {
	state Health
	// consecutiveFailures counts the requests and probes in a row that failed because of the backend
	// server.
	consecutiveFailures int
	// ejections counts the ejections since the backend server was last healthy for longer than
	// rampUp.
	ejections int
	// ejectedUntil is the end of the current ejection, and restoredAt the time of the last
	// restoration.
	ejectedUntil, restoredAt time.Time
	// rampUp is the time in which the limit rises to its full value after restoredAt.
	rampUp time.Duration
}

// recordEvidence counts the evidence and reports whether the backend server should be ejected: it
// should after threshold failures in a row, unless it is ejected or leaving already.
func (h *healthTracker) recordEvidence(evidence slipwick.Evidence, threshold int, now time.Time) bool {
	switch {
	case evidence == slipwick.EvidenceGood:
		h.consecutiveFailures = 0
		if h.ejections > 0 && now.Sub(h.restoredAt) > h.rampUp {
			h.ejections = 0
		}
	case evidence.IsFailure():
		h.consecutiveFailures++
	}
	return h.state == HealthGood && h.consecutiveFailures >= threshold
}

// eject marks the backend server as ejected and returns the duration of the ejection, which doubles
// with each one in succession.
func (h *healthTracker) eject(policy *Policy, now time.Time) time.Duration {
	duration := policy.EjectTime
	for range h.ejections {
		duration = min(2*duration, policy.MaxEjectTime)
	}
	h.state, h.consecutiveFailures = HealthEjected, 0
	h.ejections++
	h.ejectedUntil = now.Add(duration)
	return duration
}

// restore marks the backend server as healthy, with a limit that rises to its full value within
// rampUp.
func (h *healthTracker) restore(rampUp time.Duration, now time.Time) {
	h.state, h.restoredAt, h.rampUp = HealthGood, now, rampUp
}

// rampedLimit returns the limit, reduced during the ramp-up after a restoration.
func (h *healthTracker) rampedLimit(slotLimit int, now time.Time) int {
	if h.restoredAt.IsZero() || h.rampUp == 0 {
		return slotLimit
	}
	progress := float64(now.Sub(h.restoredAt)) / float64(h.rampUp)
	if progress >= 1 {
		return slotLimit
	}
	return max(1, int(float64(slotLimit)*max(minRampShare, progress)))
}

// String returns the name of the health state as shown to operators.
func (h Health) String() string {
	switch h {
	case HealthEjected:
		return "ejected"
	case HealthLeaving:
		return "leaving"
	default:
		return "good"
	}
}
