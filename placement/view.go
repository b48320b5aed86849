package placement

import "github.com/slipwick/slipwick"

// View is what one router believes of the fleet at one moment. It is not
// changed once made.
type View struct {
	Pools   map[string]*Pool
	Routers []slipwick.Router
}

// NewView ranks the pools' backend servers and finds their owners.
func NewView(pools []Pool, routers []slipwick.Router) *View {
	view := &View{
		Pools:   make(map[string]*Pool, len(pools)),
		Routers: routers,
	}
	for _, pool := range pools {
		pool.Set = NewSet(pool.Backends)
		pool.Owners = make([]int, len(pool.Backends))
		for i := range pool.Backends {
			pool.Owners[i] = Owner(pool.Backends[i], routers)
		}
		view.Pools[pool.Name] = &pool
	}
	return view
}
