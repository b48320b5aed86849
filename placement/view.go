package placement

import "github.com/slipwick/slipwick"

// View is one router's knowledge of the pools and routers at one point in time. It is immutable.
type View struct {
	Pools map[string]*Pool
	// Routers lists the routers that may own backend servers.
	Routers []slipwick.Router

	// locations holds the position of each backend server by the hash of its ID.
	locations map[uint64]Location
}

// NewView returns a View of the pools and routers. It prepares the ranking of each pool and assigns
// an owner to each backend server.
func NewView(pools []Pool, routers []slipwick.Router) *View {
	view := &View{
		Pools:     make(map[string]*Pool, len(pools)),
		Routers:   routers,
		locations: make(map[uint64]Location),
	}
	chooser := newOwnerChooser(routers)
	for _, pool := range pools {
		pool.prepareRanking()
		pool.Owners = make([]int, len(pool.Backends))
		for i := range pool.Backends {
			pool.Owners[i] = chooser.owner(&pool.Backends[i])
			view.locations[IDHash(pool.Backends[i].ID)] = Location{
				Pool:  &pool,
				Index: i,
			}
		}
		view.Pools[pool.Name] = &pool
	}
	return view
}

// Locate returns the position of the backend server whose ID has the given hash. ok is false if the
// view does not contain it.
func (v *View) Locate(backend uint64) (location Location, ok bool) {
	location, ok = v.locations[backend]
	return location, ok
}

// Owner returns the ID of the router that owns the backend server whose ID has the given hash. It
// is empty if the backend server is unknown or there are no routers.
func (v *View) Owner(backend uint64) string {
	location, ok := v.locations[backend]
	if !ok || location.Pool.Owners[location.Index] < 0 {
		return ""
	}
	return v.Routers[location.Pool.Owners[location.Index]].ID
}
