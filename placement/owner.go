package placement

import "github.com/slipwick/slipwick"

// Closeness tiers: a lower tier always wins.
const (
	tierDataCentre = iota
	tierRegion
	tierElsewhere
)

// Owner gives the index of the router that owns the backend server: the
// rendezvous choice among the routers of its data centre, else of its region,
// else of all. It is -1 when there are no routers.
func Owner(backend slipwick.Backend, routers []slipwick.Router) int {
	best, bestTier, bestScore := -1, tierElsewhere+1, uint64(0)
	box := IDHash(backend.ID)
	for i := range routers {
		tier := tierOf(backend, &routers[i])
		if tier > bestTier {
			continue
		}
		score := pair(IDHash(routers[i].ID), box)
		if tier < bestTier || score > bestScore {
			best, bestTier, bestScore = i, tier, score
		}
	}
	return best
}

func tierOf(backend slipwick.Backend, router *slipwick.Router) int {
	switch {
	case router.DataCentre == backend.DataCentre:
		return tierDataCentre
	case router.Region == backend.Region:
		return tierRegion
	default:
		return tierElsewhere
	}
}
