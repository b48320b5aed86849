package membership

import (
	"slices"
	"strings"

	"github.com/slipwick/slipwick"
)

// roster is a list of routers sorted by ID. It is updated in place rather than rebuilt, because in
// a large fleet single routers change all the time.
type roster struct {
	routers []slipwick.Router
	// isShared is set while callers hold the slice, which must then be copied before a change.
	isShared bool
}

// find returns the index of a router, or the one to insert it at.
func (r *roster) find(id string) (index int, found bool) {
	return slices.BinarySearchFunc(r.routers, id, func(router slipwick.Router, id string) int {
		return strings.Compare(router.ID, id)
	})
}

// put adds or replaces a router, and reports whether the list changed.
func (r *roster) put(router slipwick.Router) bool {
	index, found := r.find(router.ID)
	if found && r.routers[index] == router {
		return false
	}
	r.unshare()
	if found {
		r.routers[index] = router
	} else {
		r.routers = slices.Insert(r.routers, index, router)
	}
	return true
}

// remove removes a router, and reports whether it was listed.
func (r *roster) remove(id string) bool {
	index, found := r.find(id)
	if !found {
		return false
	}
	r.unshare()
	r.routers = slices.Delete(r.routers, index, index+1)
	return true
}

// set adds or removes a router, and reports whether the list changed.
func (r *roster) set(router slipwick.Router, isListed bool) bool {
	if isListed {
		return r.put(router)
	}
	return r.remove(router.ID)
}

// unshare copies the list if callers hold it, so that it may be changed.
func (r *roster) unshare() {
	if r.isShared {
		r.routers = slices.Clone(r.routers)
		r.isShared = false
	}
}

// share returns the list for callers to keep; later changes copy it first.
func (r *roster) share() []slipwick.Router {
	r.isShared = true
	return r.routers
}
