package fleet

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// watchersPerDataCentre is how many routers of a data centre watch the platform: one, and a second
// in case the first is cut off.
const watchersPerDataCentre = 2

// IsPlatformWatcher reports whether the router is among its data centre's watchers of the platform,
// which get new versions of the configuration from it; the other routers get them from their peers. A
// router that is not in the list itself is a watcher if the list has fewer than watchersPerDataCentre
// routers of its data centre.
func IsPlatformWatcher(self slipwick.Router, routers []slipwick.Router) bool {
	var sameDataCentre []slipwick.Router
	for _, r := range routers {
		if r.DataCentre == self.DataCentre {
			sameDataCentre = append(sameDataCentre, r)
		}
	}
	for range watchersPerDataCentre {
		best := placement.BestRouter(placement.IDHash("watch"), sameDataCentre)
		if best < 0 || sameDataCentre[best].ID == self.ID {
			return true
		}
		sameDataCentre = append(sameDataCentre[:best], sameDataCentre[best+1:]...)
	}
	return false
}
