package exchange

import (
	"math"
	"slices"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// maxMeshSize is the largest fleet in which every router sends its updates directly to every other.
const maxMeshSize = 16

// hubs holds the hubs of a fleet that is too large for a full mesh: the routers that relay updates,
// each to the group of routers that send theirs to it. There are about as many hubs as routers in
// the group of each hub. A router sends its updates to a hub in its own data centre, because traffic
// between data centres is expensive, and what a hub sends to its group is most of the traffic.
type hubs struct {
	// routers are the live routers, hubs and others.
	routers []slipwick.Router
	// chosen are the hubs; if it is empty, every router sends to every other.
	chosen []slipwick.Router
	// byDataCentre are the hubs of each data centre.
	byDataCentre map[string][]slipwick.Router
	// ids has the IDs of the hubs.
	ids map[string]bool
	// groups caches the routers in the group of each hub.
	groups map[string][]slipwick.Router
	// others caches the routers that are no hubs.
	others []slipwick.Router
}

func chooseHubs(routers []slipwick.Router) *hubs {
	h := &hubs{
		routers:      routers,
		byDataCentre: make(map[string][]slipwick.Router),
		ids:          make(map[string]bool),
		groups:       make(map[string][]slipwick.Router),
	}
	if len(routers) <= maxMeshSize {
		return h
	}
	key := placement.IDHash("hub")
	routersByDataCentre := make(map[string][]slipwick.Router)
	for _, r := range routers {
		routersByDataCentre[r.DataCentre] = append(routersByDataCentre[r.DataCentre], r)
	}
	groupSize := math.Sqrt(float64(len(routers)))
	for dataCentre, local := range routersByDataCentre {
		count := int(math.Ceil(float64(len(local)) / groupSize))
		h.byDataCentre[dataCentre] = placement.TopRouters(key, local, count)
		h.chosen = append(h.chosen, h.byDataCentre[dataCentre]...)
	}
	for _, r := range h.chosen {
		h.ids[r.ID] = true
	}
	return h
}

// hubOf returns the hub that a router sends its updates to; ok is false if the router is itself a
// hub. A router that is not among the live ones gets a hub of any data centre.
func (h *hubs) hubOf(id string) (hub slipwick.Router, ok bool) {
	if h.isHub(id) {
		return slipwick.Router{}, false
	}
	candidates := h.chosen
	if i := slices.IndexFunc(h.routers, func(r slipwick.Router) bool { return r.ID == id }); i >= 0 {
		candidates = h.byDataCentre[h.routers[i].DataCentre]
	}
	return candidates[placement.BestRouter(placement.IDHash(id), candidates)], true
}

// withoutHubs returns the routers that are no hubs.
func (h *hubs) withoutHubs() []slipwick.Router {
	if len(h.chosen) == 0 {
		return h.routers
	}
	if h.others == nil {
		h.others = slices.DeleteFunc(slices.Clone(h.routers), func(r slipwick.Router) bool { return h.isHub(r.ID) })
	}
	return h.others
}

func (h *hubs) isHub(id string) bool {
	return h.ids[id]
}

// groupOf returns the routers that send their updates to a hub.
func (h *hubs) groupOf(id string) []slipwick.Router {
	group, isKnown := h.groups[id]
	if isKnown {
		return group
	}
	for _, r := range h.routers {
		if h.isHub(r.ID) {
			continue
		}
		candidates := h.byDataCentre[r.DataCentre]
		if candidates[placement.BestRouter(placement.IDHash(r.ID), candidates)].ID == id {
			group = append(group, r)
		}
	}
	h.groups[id] = group
	return group
}

// excluding returns the routers except the one with the given ID.
func excluding(routers []slipwick.Router, id string) []slipwick.Router {
	others := make([]slipwick.Router, 0, len(routers))
	for _, r := range routers {
		if r.ID != id {
			others = append(others, r)
		}
	}
	return others
}

func idsOf(routers []slipwick.Router) []string {
	ids := make([]string, 0, len(routers))
	for _, r := range routers {
		ids = append(ids, r.ID)
	}
	return ids
}
