package gatewayd

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/slipwick/slipwick"
)

var (
	_ slipwick.PermitSource   = (*permitSources)(nil)
	_ slipwick.PressureSource = (*permitSources)(nil)
)

// permitSources is the permit source of the gateway. It passes each request to the source for the
// class of its pool, and grants zero permits while admission control is not active. Set the exported
// fields before the first call. It is safe for concurrent use.
type permitSources struct {
	// Active reports whether admission control is active.
	Active func() bool
	// LargeActive reports whether pools with many slots need permits while admission control is active; nil
	// stands for yes.
	LargeActive func() bool
	// Small serves pools with few slots for each router, Large all others. Pools whose source is nil
	// need no permits.
	Small, Large slipwick.PermitSource
	Capacity     slipwick.CapacitySource
	// Routers returns the number of live routers.
	Routers func() int
	// SmallCounts and LargeCounts count the results of both sources.
	SmallCounts, LargeCounts permitCounts

	classes sync.Map // of pool name to *poolClass
	mu      sync.Mutex
	// fromSmall has the permits of Small that are not released yet: a pool may change its class while
	// its requests hold permits.
	fromSmall map[slipwick.Permit]bool
}

// permitCounts counts how the requests for permits ended. A request ends without a permit or refusal
// if its caller disconnects or its time is over.
type permitCounts struct {
	granted, refused, ended prometheus.Counter
}

// record counts a result; the counters may be nil.
func (c *permitCounts) record(ctx context.Context, err error) {
	counter := c.granted
	switch {
	case err != nil && ctx.Err() != nil:
		counter = c.ended
	case err != nil:
		counter = c.refused
	}
	if counter != nil {
		counter.Inc()
	}
}

// Acquire returns a permit of the pool's source, or a zero permit if the pool needs none.
func (s *permitSources) Acquire(ctx context.Context, request *slipwick.PermitRequest) (slipwick.Permit, error) {
	if !s.Active() {
		return slipwick.Permit{}, nil
	}
	source, isSmall := s.sourceOf(request.Pool)
	if source == nil {
		return slipwick.Permit{}, nil
	}
	permit, err := source.Acquire(ctx, request)
	if !isSmall {
		s.LargeCounts.record(ctx, err)
		return permit, err
	}
	s.SmallCounts.record(ctx, err)
	if err == nil && permit.ID != 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.fromSmall == nil {
			s.fromSmall = make(map[slipwick.Permit]bool)
		}
		s.fromSmall[permit] = true
	}
	return permit, err
}

// Release returns a permit to the source that granted it.
func (s *permitSources) Release(permit slipwick.Permit, evidence slipwick.Evidence) {
	if permit.ID == 0 {
		if source, _ := s.sourceOf(permit.Pool); source != nil {
			source.Release(permit, evidence)
		}
		return
	}
	if s.takeFromSmall(permit) {
		s.Small.Release(permit, evidence)
		return
	}
	s.Large.Release(permit, evidence)
}

// takeFromSmall reports whether Small granted the permit, and forgets it.
func (s *permitSources) takeFromSmall(permit slipwick.Permit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.fromSmall[permit]
	delete(s.fromSmall, permit)
	return known
}

// UnderPressure reports whether admission control is active and the pool is under pressure.
func (s *permitSources) UnderPressure(pool string) bool {
	if !s.Active() {
		return false
	}
	source, _ := s.sourceOf(pool)
	pressure, ok := source.(slipwick.PressureSource)
	return ok && pressure.UnderPressure(pool)
}

// sourceOf returns the source that serves a pool. It is nil for a pool without usable servers: the
// balancer decides whether a request may be tried at others, such as cold ones.
func (s *permitSources) sourceOf(pool string) (source slipwick.PermitSource, isSmall bool) {
	known, ok := s.classes.Load(pool)
	if !ok {
		known, _ = s.classes.LoadOrStore(pool, &poolClass{})
	}
	small, empty := known.(*poolClass).get(func() (slots, routers int) {
		return poolSlots(s.Capacity, pool), s.Routers()
	})
	switch {
	case empty:
		return nil, false
	case small:
		return s.Small, true
	case s.LargeActive != nil && !s.LargeActive():
		return nil, false
	default:
		return s.Large, false
	}
}

// SourceName returns the name of the source that serves a pool, for operators.
func (s *permitSources) SourceName(pool string) string {
	source, isSmall := s.sourceOf(pool)
	switch {
	case !s.Active() || source == nil:
		return sourceNone
	case isSmall:
		return sourceCoordinator
	default:
		return sourceShares
	}
}

// Names of the sources of permits.
const (
	sourceNone        = "none"
	sourceCoordinator = "coordinator"
	sourceShares      = "shares"
)

// Status returns the state of a pool at its source; it is zero if the source does not tell.
func (s *permitSources) Status(pool string) slipwick.PermitStatus {
	source, _ := s.sourceOf(pool)
	if source, ok := source.(slipwick.PermitStatusSource); ok {
		return source.PermitStatus(pool)
	}
	return slipwick.PermitStatus{}
}
