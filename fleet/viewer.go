package fleet

import (
	"maps"
	"slices"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/placement"
)

// Viewer builds a new view whenever the configuration or the fleet changes. Set the exported fields
// before the first call. It is safe for concurrent use.
type Viewer struct {
	// Self is this router. It owns all backend servers if no router is known that may own any.
	Self slipwick.Router
	// OnView is called with each new view, one call at a time, and must not call the viewer.
	OnView func(*placement.View)

	mu       sync.Mutex
	snapshot *configuration.Snapshot
	routers  []slipwick.Router
	states   map[string]BackendState
}

// SetConfiguration sets the configuration and calls OnView before it returns.
func (v *Viewer) SetConfiguration(snapshot *configuration.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.snapshot = snapshot
	v.publish()
}

// SetFleet sets the routers that may own backend servers, sorted by ID, and the states of the
// backend servers that are not live, by ID. If they changed and there is a configuration, it calls
// OnView before it returns.
func (v *Viewer) SetFleet(routers []slipwick.Router, states map[string]BackendState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Equal(v.routers, routers) && maps.Equal(v.states, states) {
		return
	}
	v.routers, v.states = routers, maps.Clone(states)
	v.publish()
}

// publish builds a view and passes it to OnView. The caller holds v.mu.
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

// usable returns the indexes of the backend servers that may get new requests. Ejected servers
// count again if no other is left: they are better than an empty pool.
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
