package admission

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// ownedBackend is the state of a backend server that this router owns.
type ownedBackend struct {
	// engine is the hash of the backend server's ID.
	engine  uint64
	backend slipwick.Backend
	pool    string

	leases map[leaseKey]lease
	// byWorkspace counts the leases of each workspace.
	byWorkspace map[string]int
	queue       queue

	// windowEnd is the end of the takeover window, in which the previous owner may still grant
	// slots. windowGranted counts the slots that were granted in it and are still held.
	windowEnd     time.Time
	windowGranted int

	releases releaseRate
	health   healthTracker
	// pausedUntil is the end of the pause, without new requests, that the backend server asked for.
	// lastLeavingAt is when a response last announced that it is leaving.
	pausedUntil, lastLeavingAt time.Time
	// reported is the load that was last reported to other routers.
	reported int
}

// newOwnedBackend returns the state of a backend server without leases.
func newOwnedBackend(engine uint64, location placement.Location) *ownedBackend {
	return &ownedBackend{
		engine:      engine,
		backend:     *location.Backend(),
		pool:        location.Pool.Name,
		leases:      make(map[leaseKey]lease),
		byWorkspace: make(map[string]int),
	}
}

// addLease adds a lease, or extends it if it exists.
func (o *ownedBackend) addLease(key leaseKey, workspace string, expires time.Time, inWindow bool) {
	if known, ok := o.leases[key]; ok {
		known.expires = expires
		o.leases[key] = known
		return
	}
	o.leases[key] = lease{
		workspace: workspace,
		expires:   expires,
		inWindow:  inWindow,
	}
	o.byWorkspace[workspace]++
	if inWindow {
		o.windowGranted++
	}
}

// removeLease deletes a lease. It returns false if there is none.
func (o *ownedBackend) removeLease(key leaseKey) bool {
	known, ok := o.leases[key]
	if !ok {
		return false
	}
	delete(o.leases, key)
	if o.byWorkspace[known.workspace]--; o.byWorkspace[known.workspace] == 0 {
		delete(o.byWorkspace, known.workspace)
	}
	if known.inWindow {
		o.windowGranted--
	}
	return true
}

// expectedWait estimates how long one more queued request would wait. It is zero while the backend
// server has free slots: requests then wait because of the load limit, which rises with the load of
// the pool.
func (o *ownedBackend) expectedWait(now time.Time) time.Duration {
	if len(o.leases) < o.backend.EffectiveSlots() {
		return 0
	}
	return o.releases.timeToRelease(o.queue.len()+1, now)
}

// headroom returns the number of further slots that may be granted now, given the limit. It may be
// negative.
func (o *ownedBackend) headroom(slotLimit int, now time.Time) int {
	slotLimit = o.health.rampedLimit(slotLimit, now)
	free := slotLimit - len(o.leases)
	if now.Before(o.windowEnd) {
		// The previous owner may still grant the other half of the headroom. learned counts the leases
		// from handovers and renewals.
		learned := len(o.leases) - o.windowGranted
		half := int(math.Ceil(float64(slotLimit-learned) / 2))
		free = min(free, half-o.windowGranted)
	}
	return free
}
