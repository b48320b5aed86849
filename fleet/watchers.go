package fleet

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// watchersPerDataCentre is how many routers of a data centre hold a watch in
// the platform: one, and one more in case it is cut off.
const watchersPerDataCentre = 2

// Watches tells whether the router is among its data centre's watchers. One
// that knows of no other always is.
func Watches(self slipwick.Router, routers []slipwick.Router) bool {
	var near []slipwick.Router
	for _, r := range routers {
		if r.DataCentre == self.DataCentre {
			near = append(near, r)
		}
	}
	for range watchersPerDataCentre {
		chosen := placement.BestRouter(placement.IDHash("watch"), near)
		if chosen < 0 || near[chosen].ID == self.ID {
			return true
		}
		near = append(near[:chosen], near[chosen+1:]...)
	}
	return false
}
