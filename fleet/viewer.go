package fleet

import (
	"maps"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/placement"
)

// Viewer makes a new view at each change of what it is told. Set the exported
// fields before the first call.
type Viewer struct {
	// OnView is called with each new view, one call at a time.
	OnView func(*placement.View)

	mu       sync.Mutex
	snapshot *configuration.Snapshot
	routers  []slipwick.Router
	leaving  map[string]bool
}

// SetConfiguration takes a newer version of the configuration.
func (v *Viewer) SetConfiguration(snapshot *configuration.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.snapshot = snapshot
	v.publish()
}

// SetRouters takes the live routers.
func (v *Viewer) SetRouters(routers []slipwick.Router) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.routers = routers
	v.publish()
}

// SetLeaving takes the IDs of the backend servers that get no new work.
func (v *Viewer) SetLeaving(leaving map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if maps.Equal(v.leaving, leaving) {
		return
	}
	v.leaving = maps.Clone(leaving)
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
			Backends:      v.staying(pool.Backends),
		})
	}
	v.OnView(placement.NewView(pools, v.routers))
}

// staying gives the backend servers that may get new work.
func (v *Viewer) staying(backends []slipwick.Backend) []slipwick.Backend {
	staying := make([]slipwick.Backend, 0, len(backends))
	for _, backend := range backends {
		if !v.leaving[backend.ID] {
			staying = append(staying, backend)
		}
	}
	return staying
}
