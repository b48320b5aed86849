package permit

import (
	"time"

	"github.com/slipwick/slipwick"
)

const (
	// failureWeight is the weight of the latest result in the part of failed requests.
	failureWeight = 0.1
	// suspectedAbove is the part of failed requests above which a server is suspected, if it is also
	// suspectedFactor times as high as that of the others: requests that fail at each server say nothing
	// about one of them.
	suspectedAbove  = 0.2
	suspectedFactor = 2
	// failuresAfterSuspicion is the part of failed requests that a server starts with after a suspicion:
	// the next failure makes it suspected again.
	failuresAfterSuspicion = 0.15
	// probeInterval is the time from a failed probe to the next one: a server that fails at once costs at
	// most ten sends a second.
	probeInterval = 100 * time.Millisecond
	// provenResponses is how many good responses a suspected server has to give more than failures before
	// it gets requests that must not be repeated.
	provenResponses = 2
	// ownEjectionDelay is for how long results of permits count more than the ejections of the
	// coordinator's own router, which rest on its own requests.
	ownEjectionDelay = time.Second
	// maxSuspicion is after how long without results a suspicion ends: a pool may have no requests that
	// may be repeated. It is that of the longest ejection.
	maxSuspicion = 4 * time.Second
)

// health is what the results of all routers say about a server. A suspected server gets single requests that
// may be repeated, as probes. Each good response then allows one more request in flight, each failure half
// as many.
type health struct {
	// failures is the part of the latest requests that failed, recordedAt the time of the latest result.
	failures   float64
	recordedAt time.Time
	suspected  bool
	// byEjection says that the server is suspected since the coordinator's router has ejected it, without
	// results of permits.
	byEjection bool
	// allowed is how many requests a suspected server may have in flight; 0 allows one probe at a time, from
	// probeAt on.
	allowed int
	probeAt time.Time
	probe   *lease
}

// record takes the result of a request. Limit is the part of failed requests from which on the server is
// suspected, slots are its slots and inFlight its leases.
func (h *health) record(failed bool, limit float64, slots, inFlight int, now time.Time) {
	h.recordedAt, h.byEjection = now, false
	if !failed {
		h.failures -= failureWeight * h.failures
		h.allowed++
		if h.suspected && h.allowed >= slots {
			h.trust()
		}
		return
	}
	h.failures += failureWeight * (1 - h.failures)
	switch {
	case h.suspected:
		h.allowed /= 2
	case h.failures > limit:
		h.suspected, h.allowed = true, min(slots, inFlight)/2
	}
	h.probeAt = now.Add(probeInterval)
}

func (h *health) trust() {
	h.suspected, h.byEjection = false, false
	h.failures = min(h.failures, failuresAfterSuspicion)
}

// isKnown reports whether there are recent results of permits.
func (h *health) isKnown(now time.Time) bool {
	return !h.recordedAt.IsZero() && now.Sub(h.recordedAt) <= ownEjectionDelay
}

// refresh applies the ejections of the coordinator's own router, while there are no results of permits.
func (h *health) refresh(ejected bool, now time.Time) {
	silent := now.Sub(h.recordedAt)
	switch {
	case h.byEjection && !ejected:
		h.trust()
	case h.suspected && !h.byEjection && !ejected && silent > maxSuspicion:
		h.trust()
	case ejected && !h.suspected && !h.isKnown(now):
		h.suspected, h.byEjection, h.allowed = true, true, 0
	}
}

// allows reports whether a suspected server with so many leases may get the request.
func (h *health) allows(request *slipwick.PermitRequest, leases int, now time.Time) bool {
	switch {
	case h.allowed == 0:
		return request.Repeatable && h.probe == nil && !now.Before(h.probeAt)
	case h.allowed < provenResponses && !request.Repeatable:
		return false
	default:
		return leases < h.allowed
	}
}
