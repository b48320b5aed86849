package emulation

import (
	"context"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/placement"
)

// Baseline creates another admission for one router, to compare admission by
// owners with.
type Baseline func(meter *Meter) BaselineAdmission

// BaselineAdmission is an admission that receives each new view.
type BaselineAdmission interface {
	slipwick.Admission
	SetView(view *placement.View)
}

// HashOnly sends each chat to its first choice, without a load limit.
func HashOnly(*Meter) BaselineAdmission {
	return admission.NewLocal()
}

// LocalLimit has each router enforce the load limit by its own counts only.
func LocalLimit(*Meter) BaselineAdmission {
	local := admission.NewLocal()
	local.EnforceLimit = true
	return local
}

// TwoChoices sends each request to the less loaded of its chat's first two
// choices. The load reports it compares are half a second old on average.
func TwoChoices(meter *Meter) BaselineAdmission {
	return &twoChoices{
		Local: admission.NewLocal(),
		meter: meter,
	}
}

type twoChoices struct {
	*admission.Local

	meter *Meter
	mu    sync.Mutex
	view  *placement.View
}

// SetView replaces the view.
func (t *twoChoices) SetView(view *placement.View) {
	t.mu.Lock()
	t.view = view
	t.mu.Unlock()
	t.Local.SetView(view)
}

// Acquire grants a slot, and avoids the more loaded of the first two choices.
func (t *twoChoices) Acquire(ctx context.Context, request slipwick.AcquireRequest) (slipwick.Grant, error) {
	t.mu.Lock()
	pool := t.view.Pools[request.Pool]
	t.mu.Unlock()
	ranked := pool.Rank(nil, request.Chat)
	if len(ranked) > 1 {
		first, second := pool.Backends[ranked[0]].ID, pool.Backends[ranked[1]].ID
		if t.meter.reportedLoad(first) > t.meter.reportedLoad(second) {
			request.Exclude = append(request.Exclude, first)
		}
	}
	return t.Local.Acquire(ctx, request)
}
