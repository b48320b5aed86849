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

// Local is an Admission that counts the requests of this router alone and exchanges nothing with
// other routers. The package emulation uses it as a baseline to compare the Coordinator with. It is
// safe for concurrent use.
type Local struct {
	// EnforceLimit enforces the load limit, by this router's own counts. Without it a backend
	// server is limited by its slots alone. Set it before the first call of Acquire.
	EnforceLimit bool

	view atomic.Pointer[placement.View]
	mu   sync.Mutex
	// lastID is the ID of the latest grant.
	lastID uint64
	// inFlight counts the slots held by backend server, totals by pool. grantPools holds the pool
	// of each grant.
	inFlight   map[string]int
	totals     map[string]int
	grantPools map[uint64]string
}

// NewLocal returns a Local, which refuses all requests until SetView is called.
func NewLocal() *Local {
	return &Local{
		inFlight:   make(map[string]int),
		totals:     make(map[string]int),
		grantPools: make(map[uint64]string),
	}
}

// SetView replaces the view.
func (l *Local) SetView(view *placement.View) {
	l.view.Store(view)
}

// Acquire grants a slot at the first backend server of the chat's ranking that has room, or fails
// if none has. It does not wait.
func (l *Local) Acquire(_ context.Context, request slipwick.AcquireRequest) (slipwick.Grant, error) {
	pool, err := poolOf(l.view.Load(), request.Pool)
	if err != nil {
		return slipwick.Grant{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, index := range pool.Rank(nil, request.Chat) {
		backend := pool.Backends[index]
		if slices.Contains(request.Exclude, backend.ID) || !l.isBelowLimit(pool, backend) {
			continue
		}
		l.lastID++
		l.inFlight[backend.ID]++
		l.totals[request.Pool]++
		l.grantPools[l.lastID] = request.Pool
		return slipwick.Grant{
			ID:      l.lastID,
			Backend: backend,
		}, nil
	}
	return slipwick.Grant{}, overloaded(time.Second)
}

// isBelowLimit reports whether the backend server may get another request: with EnforceLimit, whether
// it is below the load limit; otherwise, whether it has a free slot.
func (l *Local) isBelowLimit(pool *placement.Pool, backend slipwick.Backend) bool {
	count := l.inFlight[backend.ID]
	if !l.EnforceLimit {
		return count < backend.EffectiveSlots()
	}
	return count < limit(pool, backend, float64(l.totals[pool.Name]), 0)
}

// Release returns the slot; the evidence is ignored. A grant that was released before has no effect.
func (l *Local) Release(grant slipwick.Grant, _ slipwick.Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool, known := l.grantPools[grant.ID]
	if !known {
		return
	}
	l.inFlight[grant.Backend.ID]--
	l.totals[pool]--
	delete(l.grantPools, grant.ID)
}
