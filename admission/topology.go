package admission

import (
	"math"
	"slices"

	"github.com/slipwick/slipwick/placement"
)

// maxUngroupedOwners is the number of owners up to which each one reports its load to all others.
const maxUngroupedOwners = 3

// topology determines which routers exchange load reports of one pool. The n owners of the pool
// form about √n groups, and the first owner of each group is its hub. Owners report to their hub,
// hubs report to each other, and hubs send the total back to their group. The busiest router thus
// handles about 2√n messages, where reports from each owner to all others would take n.
type topology struct {
	hubs []string
	// hub is the hub of this router's group; it is empty if this router owns nothing in the pool.
	hub string
	// members are the other routers of the group if this router is its hub.
	members []string
}

// newTopology returns the topology of the pool from the perspective of the router self. All routers
// with the same view form the same groups.
func newTopology(self string, pool *placement.Pool, view *placement.View) *topology {
	owners := ownersOf(pool, view)
	size := 1
	if len(owners) > maxUngroupedOwners {
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

// ownersOf returns the IDs of the routers that own backend servers of the pool, sorted and without
// duplicates.
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
