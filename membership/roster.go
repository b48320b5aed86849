package membership

import (
	"slices"
	"strings"

	"github.com/slipwick/slipwick"
)

// roster lists routers by ID. It is kept by changes: in a large fleet
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

// put adds a router, or replaces what was known of it. It tells whether that changed the list.
func (r *roster) put(router slipwick.Router) bool {
	index, found := r.find(router.ID)
	if found && r.routers[index] == router {
		return false
	}
	r.own()
	if found {
		r.routers[index] = router
	} else {
		r.routers = slices.Insert(r.routers, index, router)
	}
	return true
}

// remove takes a router off the list, and tells whether it was there.
func (r *roster) remove(id string) bool {
	index, found := r.find(id)
	if !found {
		return false
	}
	r.own()
	r.routers = slices.Delete(r.routers, index, index+1)
	return true
}

// keep has a router on the list or not, and tells whether that changed the list.
func (r *roster) keep(router slipwick.Router, isOn bool) bool {
	if isOn {
		return r.put(router)
	}
	return r.remove(router.ID)
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
