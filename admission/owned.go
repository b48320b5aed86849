package admission

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// owned is one engine that this router owns.
type owned struct {
	engine  uint64
	backend slipwick.Backend
	pool    string

	leases      map[leaseKey]lease
	byWorkspace map[string]int
	queue       queue

	// windowEnd ends the takeover window; windowGranted counts the slots
	// granted in it that are still held.
	windowEnd     time.Time
	windowGranted int

	pace   pace
	health health
	// restUntil is until when the engine wants nothing, saidLeaving when an answer said
	// last that it leaves.
	restUntil, saidLeaving time.Time
	// reported is the load that others were told last.
	reported int
}

func newOwned(engine uint64, place placement.Place) *owned {
	return &owned{
		engine:      engine,
		backend:     *place.Backend(),
		pool:        place.Pool.Name,
		leases:      make(map[leaseKey]lease),
		byWorkspace: make(map[string]int),
	}
}

// add counts a lease; it is renewed if it is known.
func (o *owned) add(key leaseKey, workspace string, expires time.Time, ours bool) {
	if known, ok := o.leases[key]; ok {
		known.expires = expires
		o.leases[key] = known
		return
	}
	o.leases[key] = lease{
		workspace: workspace,
		expires:   expires,
		ours:      ours,
	}
	o.byWorkspace[workspace]++
	if ours {
		o.windowGranted++
	}
}

// remove forgets a lease; false says that it was not known.
func (o *owned) remove(key leaseKey) bool {
	known, ok := o.leases[key]
	if !ok {
		return false
	}
	delete(o.leases, key)
	if o.byWorkspace[known.workspace]--; o.byWorkspace[known.workspace] == 0 {
		delete(o.byWorkspace, known.workspace)
	}
	if known.ours {
		o.windowGranted--
	}
	return true
}

// expectedWait estimates how long one more request would wait. While the load
// limit rather than the engine's slots is what holds requests, the limit rises
// with the pool's load and nothing is to be feared.
func (o *owned) expectedWait(now time.Time) time.Duration {
	if len(o.leases) < o.backend.EffectiveSlots() {
		return 0
	}
	return o.pace.wait(o.queue.len()+1, now)
}

// room is how many more slots may be granted now, within the bound.
func (o *owned) room(bound int, now time.Time) int {
	bound = o.health.scale(bound, now)
	room := bound - len(o.leases)
	if now.Before(o.windowEnd) {
		// The predecessor may still grant the other half of the headroom.
		learned := len(o.leases) - o.windowGranted
		half := int(math.Ceil(float64(bound-learned) / 2))
		room = min(room, half-o.windowGranted)
	}
	return room
}
