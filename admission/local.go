package admission

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

var _ slipwick.Admission = (*Local)(nil)

// Local admits requests by one router's own counts alone. It needs no other
// router and bounds nothing beyond itself: the measurements' baseline.
type Local struct {
	// Bounded keeps to the load limit by this router's own counts; without
	// it the hash alone decides.
	Bounded bool

	view     atomic.Pointer[placement.View]
	mu       sync.Mutex
	last     uint64
	inFlight map[string]int
	totals   map[string]int
	pools    map[uint64]string
}

// NewLocal makes a Local without a view.
func NewLocal() *Local {
	return &Local{
		inFlight: make(map[string]int),
		totals:   make(map[string]int),
		pools:    make(map[uint64]string),
	}
}

// SetView puts a newer view in force.
func (l *Local) SetView(view *placement.View) {
	l.view.Store(view)
}

// Acquire grants a slot at the best backend server that has one.
func (l *Local) Acquire(_ context.Context, ask slipwick.Ask) (slipwick.Grant, error) {
	pool, err := poolOf(l.view.Load(), ask.Pool)
	if err != nil {
		return slipwick.Grant{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, index := range pool.Rank(nil, ask.Chat) {
		backend := pool.Backends[index]
		if slices.Contains(ask.Avoid, backend.ID) || !l.hasRoom(pool, backend) {
			continue
		}
		l.last++
		l.inFlight[backend.ID]++
		l.totals[ask.Pool]++
		l.pools[l.last] = ask.Pool
		return slipwick.Grant{
			ID:      l.last,
			Backend: backend,
		}, nil
	}
	return slipwick.Grant{}, overloaded(time.Second)
}

func (l *Local) hasRoom(pool *placement.Pool, backend slipwick.Backend) bool {
	count := l.inFlight[backend.ID]
	if !l.Bounded {
		return count < backend.EffectiveSlots()
	}
	return count < limit(pool, backend, float64(l.totals[pool.Name]), 0)
}

// Release gives the slot back.
func (l *Local) Release(grant slipwick.Grant, _ slipwick.Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[grant.Backend.ID]--
	l.totals[l.pools[grant.ID]]--
	delete(l.pools, grant.ID)
}
