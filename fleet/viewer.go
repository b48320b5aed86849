package fleet

import (
	"maps"
	"slices"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/placement"
)

// Viewer makes a new view at each change of what it is told. Set the exported
// fields before the first call.
type Viewer struct {
	// Self is the router itself. It owns everything when it knows of no
	// router that may.
	Self slipwick.Router
	// OnView is called with each new view, one call at a time.
	OnView func(*placement.View)

	mu       sync.Mutex
	snapshot *configuration.Snapshot
	routers  []slipwick.Router
	states   map[string]BackendState
}

// SetConfiguration takes a newer version of the configuration.
func (v *Viewer) SetConfiguration(snapshot *configuration.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.snapshot = snapshot
	v.publish()
}

// SetFleet takes the routers that may own backend servers, sorted by ID, and
// the states of the backend servers that are not live, by ID.
func (v *Viewer) SetFleet(routers []slipwick.Router, states map[string]BackendState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Equal(v.routers, routers) && maps.Equal(v.states, states) {
		return
	}
	v.routers, v.states = routers, maps.Clone(states)
	v.publish()
}

// publish makes the view; v.mu is held.
func (v *Viewer) publish() {
	if v.snapshot == nil {
		return
	}
	pools := make([]placement.Pool, 0, len(v.snapshot.State.Pools))
	for _, pool := range v.snapshot.State.Pools {
		pools = append(pools, placement.Pool{
			Name:          pool.Name,
			MaxLoadFactor: pool.EffectiveMaxLoadFactor(),
			Backends:      pool.Backends,
			Usable:        v.usable(pool.Backends),
		})
	}
	routers := v.routers
	if len(routers) == 0 {
		routers = []slipwick.Router{v.Self}
	}
	v.OnView(placement.NewView(pools, routers))
}

// usable gives the indexes of the backend servers that may get new work. An
// ejected one counts again when no other is left: that beats an empty pool.
func (v *Viewer) usable(backends []slipwick.Backend) []int {
	usable := make([]int, 0, len(backends))
	var ejected []int
	for i := range backends {
		switch v.states[backends[i].ID] {
		case BackendLive:
			usable = append(usable, i)
		case BackendEjected:
			ejected = append(ejected, i)
		case BackendLeaving:
		}
	}
	if len(usable) == 0 {
		return ejected
	}
	return usable
}
