package placement

import "github.com/slipwick/slipwick"

// Proximity tiers: a router of a lower tier is always preferred.
const (
	tierDataCentre = iota
	tierRegion
	tierElsewhere
)

// ownerChooser selects the owner of each backend server from a list of routers.
type ownerChooser struct {
	routers []slipwick.Router
	hashes  []uint64
}

func newOwnerChooser(routers []slipwick.Router) *ownerChooser {
	o := &ownerChooser{
		routers: routers,
		hashes:  make([]uint64, len(routers)),
	}
	for i := range routers {
		o.hashes[i] = IDHash(routers[i].ID)
	}
	return o
}

// owner returns the index of the router that owns the backend server: the one with the highest
// rendezvous score among the routers of the same data centre or, if there are none, of the same
// region or, if there are none either, among all routers. It returns -1 if there are no routers.
func (o *ownerChooser) owner(backend *slipwick.Backend) int {
	best, bestTier, bestScore := -1, tierElsewhere+1, uint64(0)
	backendHash := IDHash(backend.ID)
	for i := range o.routers {
		tier := tierOf(backend, &o.routers[i])
		if tier > bestTier {
			continue
		}
		score := mixHashes(o.hashes[i], backendHash)
		if tier < bestTier || score > bestScore {
			best, bestTier, bestScore = i, tier, score
		}
	}
	return best
}

// tierOf returns the proximity tier of the router as seen from the backend server.
func tierOf(backend *slipwick.Backend, router *slipwick.Router) int {
	switch {
	case router.DataCentre == backend.DataCentre:
		return tierDataCentre
	case router.Region == backend.Region:
		return tierRegion
	default:
		return tierElsewhere
	}
}
