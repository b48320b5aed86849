package admission

import (
	"math"
	"slices"

	"github.com/slipwick/slipwick/placement"
)

// allHubs is the number of owners up to which each tells all others its load.
const allHubs = 3

// topology says who tells whom the load of one pool. Its owners form about
// √n groups; the first of each is its hub. Owners report to their hub, hubs to
// each other, and hubs pass the total back: 2√n messages at the busiest router
// where all-to-all would take n.
type topology struct {
	hubs []string
	// hub is this router's own; empty if it owns nothing in the pool.
	hub string
	// members are the others of the group that this router is the hub of.
	members []string
}

func newTopology(self string, pool *placement.Pool, view *placement.View) *topology {
	owners := ownersOf(pool, view)
	size := 1
	if len(owners) > allHubs {
		size = int(math.Ceil(math.Sqrt(float64(len(owners)))))
	}
	t := &topology{}
	for group := range slices.Chunk(owners, size) {
		t.hubs = append(t.hubs, group[0])
		if slices.Contains(group, self) {
			t.hub = group[0]
		}
		if group[0] == self {
			t.members = group[1:]
		}
	}
	return t
}

func ownersOf(pool *placement.Pool, view *placement.View) []string {
	var owners []string
	for _, index := range pool.Owners {
		if index >= 0 {
			owners = append(owners, view.Routers[index].ID)
		}
	}
	slices.Sort(owners)
	return slices.Compact(owners)
}
