package fleet

import (
	"maps"
	"slices"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/placement"
)

// ViewBuilder builds a new view whenever the configuration or the fleet changes. Set the exported
// fields before the first call. It is safe for concurrent use.
type ViewBuilder struct {
	// Self is this router. It owns all backend servers as long as the list of routers is empty.
	Self slipwick.Router
	// OnView is called with each new view, one call at a time, and must not call the ViewBuilder.
	OnView func(*placement.View)

	mu       sync.Mutex
	snapshot *configuration.Snapshot
	routers  []slipwick.Router
	states   map[string]BackendState
}

// SetConfiguration sets the configuration and calls OnView before it returns.
func (b *ViewBuilder) SetConfiguration(snapshot *configuration.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.snapshot = snapshot
	b.publish()
}

// SetFleet sets the routers that may own backend servers, sorted by ID, and the states of the
// backend servers that are not live, by ID. If they changed and there is a configuration, it calls
// OnView before it returns.
func (b *ViewBuilder) SetFleet(routers []slipwick.Router, states map[string]BackendState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(b.routers, routers) && maps.Equal(b.states, states) {
		return
	}
	b.routers, b.states = routers, maps.Clone(states)
	b.publish()
}

// publish builds a view and passes it to OnView. The caller holds b.mu.
func (b *ViewBuilder) publish() {
	if b.snapshot == nil {
		return
	}
	pools := make([]placement.Pool, 0, len(b.snapshot.State.Pools))
	for _, pool := range b.snapshot.State.Pools {
		pools = append(pools, placement.Pool{
			Name:          pool.Name,
			MaxLoadFactor: pool.EffectiveMaxLoadFactor(),
			Backends:      pool.Backends,
			Usable:        b.usable(pool.Backends),
		})
	}
	routers := b.routers
	if len(routers) == 0 {
		routers = []slipwick.Router{b.Self}
	}
	b.OnView(placement.NewView(pools, routers))
}

// usable returns the indexes of the backend servers that may get new requests. If all servers are
// ejected or leaving, these are the ejected ones: they are better than an empty pool.
func (b *ViewBuilder) usable(backends []slipwick.Backend) []int {
	usable := make([]int, 0, len(backends))
	var ejected []int
	for i := range backends {
		switch b.states[backends[i].ID] {
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
