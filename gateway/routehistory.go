package gateway

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/routing"
)

// routeHistory remembers since when routes have led to their pools, and how long callers wait there. Both bound how old
// a stream may be that a caller takes up, and where it can have begun.
type routeHistory struct {
	mu     sync.Mutex
	routes map[string]*routeState
}

// routeState is what is known of one route.
type routeState struct {
	// pools names its pools; they have been these since a time, which is zero for those of the first table.
	pools string
	since time.Time
	// longestDeadline is the longest one of a caller who began a stream, 0 before the first.
	longestDeadline time.Duration
}

// recordTable records the routes of a table that is put into use. Those of later tables that are new, or have other
// pools, are in force from now on.
func (h *routeHistory) recordTable(table *routing.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	isFirst := h.routes == nil
	earlier := h.routes
	h.routes = make(map[string]*routeState)
	for r := range table.Routes() {
		state := earlier[r.Name]
		if pools := poolNames(r); state == nil || state.pools != pools {
			state = &routeState{
				pools: pools,
			}
			if !isFirst {
				state.since = clock.Now()
			}
		}
		h.routes[r.Name] = state
	}
}

// poolNames returns a text that is the same for routes with the same pools.
func poolNames(r *routing.Route) string {
	var names []string
	for _, target := range r.Targets {
		names = append(names, strconv.Quote(target.Pool))
	}
	return strings.Join(names, ",")
}

// recordDeadline records for how long a caller waits who begins a stream.
func (h *routeHistory) recordDeadline(route string, deadline time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state := h.routes[route]; state != nil {
		state.longestDeadline = max(state.longestDeadline, deadline)
	}
}

// state returns what is known of a route.
func (h *routeHistory) state(route string) routeState {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state := h.routes[route]; state != nil {
		return *state
	}
	return routeState{
		since: clock.Now(),
	}
}
