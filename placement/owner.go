package placement

import "github.com/slipwick/slipwick"

// Closeness tiers: a lower tier always wins.
const (
	tierDataCentre = iota
	tierRegion
	tierElsewhere
)

// ownerChooser finds backend servers' owners among routers.
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

// owner gives the index of the router that owns the backend server: the
// rendezvous choice among the routers of its data centre, else of its region,
// else of all. It is -1 when there are no routers.
func (o *ownerChooser) owner(backend *slipwick.Backend) int {
	best, bestTier, bestScore := -1, tierElsewhere+1, uint64(0)
	box := IDHash(backend.ID)
	for i := range o.routers {
		tier := tierOf(backend, &o.routers[i])
		if tier > bestTier {
			continue
		}
		score := pair(o.hashes[i], box)
		if tier < bestTier || score > bestScore {
			best, bestTier, bestScore = i, tier, score
		}
	}
	return best
}

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

// Choose gives the index of the rendezvous choice among the routers for a key,
// wherever they are; -1 when there are none.
func Choose(key uint64, routers []slipwick.Router) int {
	best, bestScore := -1, uint64(0)
	for i := range routers {
		if score := pair(IDHash(routers[i].ID), key); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
