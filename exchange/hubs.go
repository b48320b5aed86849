package exchange

import (
	"math"
	"slices"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// meshSize is the largest fleet in which every router tells every other.
const meshSize = 16

// hubs are the routers that pass on what others tell, in a fleet too large for
// all to tell all: about as many as each then has routers that tell it. Routers
// tell a hub of their own data centre: bytes between data centres are dear, and
// what a hub tells its group is most of what is told.
type hubs struct {
	routers []slipwick.Router
	// chosen are the hubs; without any, every router tells every other.
	chosen []slipwick.Router
	// near are the hubs by data centre.
	near map[string][]slipwick.Router
	ids  map[string]bool
	// groups are the routers that tell a hub, as far as they were asked for.
	groups map[string][]slipwick.Router
}

func chooseHubs(routers []slipwick.Router) *hubs {
	h := &hubs{
		routers: routers,
		near:    make(map[string][]slipwick.Router),
		ids:     make(map[string]bool),
		groups:  make(map[string][]slipwick.Router),
	}
	if len(routers) <= meshSize {
		return h
	}
	key := placement.IDHash("hub")
	groups := make(map[string][]slipwick.Router)
	for _, r := range routers {
		groups[r.DataCentre] = append(groups[r.DataCentre], r)
	}
	size := math.Sqrt(float64(len(routers)))
	for dataCentre, group := range groups {
		count := int(math.Ceil(float64(len(group)) / size))
		h.near[dataCentre] = placement.First(key, group, count)
		h.chosen = append(h.chosen, h.near[dataCentre]...)
	}
	for _, r := range h.chosen {
		h.ids[r.ID] = true
	}
	return h
}

// of gives the hub that a router tells; ok is false if it is one itself.
func (h *hubs) of(id string) (hub slipwick.Router, ok bool) {
	if h.has(id) {
		return slipwick.Router{}, false
	}
	near := h.chosen
	if i := slices.IndexFunc(h.routers, func(r slipwick.Router) bool { return r.ID == id }); i >= 0 {
		near = h.near[h.routers[i].DataCentre]
	}
	return near[placement.Choose(placement.IDHash(id), near)], true
}

func (h *hubs) has(id string) bool {
	return h.ids[id]
}

// group gives the routers that tell a hub.
func (h *hubs) group(id string) []slipwick.Router {
	group, isKnown := h.groups[id]
	if isKnown {
		return group
	}
	for _, r := range h.routers {
		if h.has(r.ID) {
			continue
		}
		near := h.near[r.DataCentre]
		if near[placement.Choose(placement.IDHash(r.ID), near)].ID == id {
			group = append(group, r)
		}
	}
	h.groups[id] = group
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
