package exchange

import (
	"cmp"
	"math"
	"slices"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// meshSize is the largest fleet in which every router tells every other.
const meshSize = 16

// hubs are the routers that pass on what others tell, in a fleet too large for
// all to tell all: about as many as each then has routers that tell it.
type hubs struct {
	routers []slipwick.Router
	// chosen are the hubs; without any, every router tells every other.
	chosen []slipwick.Router
}

func chooseHubs(routers []slipwick.Router) *hubs {
	h := &hubs{
		routers: routers,
	}
	if len(routers) <= meshSize {
		return h
	}
	key := placement.IDHash("hub")
	sorted := slices.Clone(routers)
	slices.SortFunc(sorted, func(a, b slipwick.Router) int {
		return cmp.Compare(placement.Score(key, placement.IDHash(b.ID)), placement.Score(key, placement.IDHash(a.ID)))
	})
	h.chosen = sorted[:int(math.Ceil(math.Sqrt(float64(len(sorted)))))]
	return h
}

// of gives the hub that a router tells; ok is false if it is one itself.
func (h *hubs) of(id string) (hub slipwick.Router, ok bool) {
	if h.has(id) {
		return slipwick.Router{}, false
	}
	return h.chosen[placement.Choose(placement.IDHash(id), h.chosen)], true
}

func (h *hubs) has(id string) bool {
	return slices.ContainsFunc(h.chosen, func(r slipwick.Router) bool { return r.ID == id })
}

// group gives the routers that tell a hub.
func (h *hubs) group(id string) []slipwick.Router {
	var group []slipwick.Router
	for _, r := range h.routers {
		if hub, ok := h.of(r.ID); ok && hub.ID == id {
			group = append(group, r)
		}
	}
	return group
}

// without gives the routers but for one.
func without(routers []slipwick.Router, id string) []slipwick.Router {
	rest := make([]slipwick.Router, 0, len(routers))
	for _, r := range routers {
		if r.ID != id {
			rest = append(rest, r)
		}
	}
	return rest
}

func idsOf(routers []slipwick.Router) []string {
	ids := make([]string, 0, len(routers))
	for _, r := range routers {
		ids = append(ids, r.ID)
	}
	return ids
}
