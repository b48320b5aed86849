package balance

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// namedLocked returns the server that the request names, as the only element, if it is one of the
// usable ones. An engine above the load bound isn't returned as long as others are below.
func (b *Balancer) namedLocked(request *Request, usable []*server, now time.Time, decay float64) []*server {
	isNamed := func(s *server) bool { return s.ID == request.Backend }
	index := slices.IndexFunc(usable, isNamed)
	if index < 0 && request.IgnoreEjection {
		usable = b.scratch.unavailable
		index = slices.IndexFunc(usable, isNamed)
		if index >= 0 && usable[index].ejectedForPath && now.Before(usable[index].ejectedUntil) {
			return nil
		}
	}
	if index < 0 {
		return nil
	}
	if len(request.Prompt) > 0 {
		loads, mean := b.expectedLoadsLocked(usable, now, decay)
		bound := b.usableBoundLocked(usable, mean, now)
		isBelow := func(load float64) bool { return load < bound }
		if !isBelow(loads[index]) && slices.ContainsFunc(loads, isBelow) {
			return nil
		}
	}
	// No cold engine takes the request in place of the named one.
	b.scratch.cold = b.scratch.cold[:0]
	return usable[index : index+1]
}

func namedBackendError(request *Request) error {
	return &slipwick.Error{
		Kind:    slipwick.KindNoBackend,
		Message: "backend server " + request.Backend + " of pool " + request.Pool + " doesn't accept the request",
		Remedy:  "ask for a permit again without this backend server",
		Outcome: slipwick.OutcomeNotRun,
	}
}

// Withheld returns the IDs of the pool's servers that the request must not be sent to because of their
// region or their version. It draws whether the request goes to a version that is being introduced, so
// that a request that gets its server named later has to be told once. It is nil in most pools.
func (b *Balancer) Withheld(request *Request) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	pool := b.pools[request.Pool]
	allowed := b.splitByVersionLocked(pool, request, clock.Now())
	if request.Regions == nil && len(allowed) == len(pool) {
		return nil
	}
	var withheld []string
	for _, s := range pool {
		// Allowed has some servers of the pool in the same order.
		isAllowed := len(allowed) > 0 && allowed[0] == s
		if isAllowed {
			allowed = allowed[1:]
		}
		if !isAllowed || !request.allows(s) {
			withheld = append(withheld, s.ID)
		}
	}
	return withheld
}
