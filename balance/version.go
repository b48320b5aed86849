package balance

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick"
)

// versionRetryDelay is the Retry-After for requests whose version has no server below the load bound.
const versionRetryDelay = 400 * time.Millisecond

// HasVersion reports whether a server of the pool with the version is listed and not leaving.
func (b *Balancer) HasVersion(pool, version string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.pools[pool], func(s *server) bool { return s.Version == version && !s.isLeaving() })
}

// ofVersionLocked returns the pool's servers of a version.
func (b *Balancer) ofVersionLocked(pool []*server, version string) []*server {
	servers := b.scratch.oldVersion[:0]
	for _, s := range pool {
		if s.Version == version {
			servers = append(servers, s)
		}
	}
	b.scratch.oldVersion = servers
	return servers
}

// belowPoolBoundLocked returns the usable engines below the load bound of the whole pool. The engines of one version
// would otherwise be compared with each other alone, and the last of them would get all that the version began.
func (b *Balancer) belowPoolBoundLocked(usable []*server, request *Request, now time.Time, decay float64) []*server {
	var healthy []*server
	for _, s := range b.pools[request.Pool] {
		if s.acceptsNew() && !b.isUnavailableLocked(s, now) {
			healthy = append(healthy, s)
		}
	}
	_, mean := b.expectedLoadsLocked(healthy, now, decay)
	bound := max(b.loadBound(mean), mean+1)
	loads, _ := b.expectedLoadsLocked(usable, now, decay)
	below := usable[:0]
	for i, s := range usable {
		if loads[i] < bound {
			below = append(below, s)
		}
	}
	return below
}

func versionOverloadedError(request *Request) error {
	return &slipwick.Error{
		Kind:       slipwick.KindOverloaded,
		Message:    "the backend servers of pool " + request.Pool + " with version " + request.Version + " have no room",
		Remedy:     "retry after the time given; keep more servers of a version while its streams last",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: versionRetryDelay,
	}
}
