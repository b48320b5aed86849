package placement

import "github.com/slipwick/slipwick"

// View is what one router believes of the fleet at one moment. It is not
// changed once made.
type View struct {
	Pools map[string]*Pool
	// Routers are those that may own backend servers.
	Routers []slipwick.Router

	places map[uint64]Place
}

// NewView ranks the pools' backend servers and finds their owners.
func NewView(pools []Pool, routers []slipwick.Router) *View {
	view := &View{
		Pools:   make(map[string]*Pool, len(pools)),
		Routers: routers,
		places:  make(map[uint64]Place),
	}
	chooser := newOwnerChooser(routers)
	for _, pool := range pools {
		pool.prepare()
		pool.Owners = make([]int, len(pool.Backends))
		for i := range pool.Backends {
			pool.Owners[i] = chooser.owner(&pool.Backends[i])
			view.places[IDHash(pool.Backends[i].ID)] = Place{
				Pool:  &pool,
				Index: i,
			}
		}
		view.Pools[pool.Name] = &pool
	}
	return view
}

// Place finds a backend server by the hash of its ID.
func (v *View) Place(backend uint64) (place Place, ok bool) {
	place, ok = v.places[backend]
	return place, ok
}

// Owner gives the ID of the router that owns the backend server, by the hash
// of its ID; it is empty when nobody does.
func (v *View) Owner(backend uint64) string {
	place, ok := v.places[backend]
	if !ok || place.Pool.Owners[place.Index] < 0 {
		return ""
	}
	return v.Routers[place.Pool.Owners[place.Index]].ID
}
