package membership

import (
	"slices"
	"strings"

	"github.com/slipwick/slipwick"
)

// roster lists the routers that are not dead, by ID. It is kept by changes: in a large fleet
// there are some all the time, of one router each.
type roster struct {
	routers []slipwick.Router
	// isShared says that others hold the list, which must not change under them.
	isShared bool
}

// find gives where a router stands, or would.
func (r *roster) find(id string) (index int, found bool) {
	return slices.BinarySearchFunc(r.routers, id, func(router slipwick.Router, id string) int {
		return strings.Compare(router.ID, id)
	})
}

// put adds a router, or replaces what was known of it.
func (r *roster) put(router slipwick.Router) {
	index, found := r.find(router.ID)
	if found && r.routers[index] == router {
		return
	}
	r.own()
	if found {
		r.routers[index] = router
		return
	}
	r.routers = slices.Insert(r.routers, index, router)
}

// remove takes a router off the list.
func (r *roster) remove(id string) {
	index, found := r.find(id)
	if !found {
		return
	}
	r.own()
	r.routers = slices.Delete(r.routers, index, index+1)
}

// own makes the list one that may be changed.
func (r *roster) own() {
	if r.isShared {
		r.routers = slices.Clone(r.routers)
		r.isShared = false
	}
}

// share gives the list to keep.
func (r *roster) share() []slipwick.Router {
	r.isShared = true
	return r.routers
}
