package emulation

import (
	"context"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/placement"
)

// Baseline makes one router's admission, to measure owners against.
type Baseline func(meter *Meter) ViewedAdmission

// ViewedAdmission is admission that follows views.
type ViewedAdmission interface {
	slipwick.Admission
	SetView(view *placement.View)
}

// HashAlone sends each chat to its first choice, without a bound.
func HashAlone(*Meter) ViewedAdmission {
	return admission.NewLocal()
}

// LocalBound keeps each router to the limit by its own counts.
func LocalBound(*Meter) ViewedAdmission {
	local := admission.NewLocal()
	local.EnforceLimit = true
	return local
}

// TwoChoices sends each request to the less loaded of its chat's first two
// choices, by load reports that are half a second old on average.
func TwoChoices(meter *Meter) ViewedAdmission {
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

// SetView puts a newer view in force.
func (t *twoChoices) SetView(view *placement.View) {
	t.mu.Lock()
	t.view = view
	t.mu.Unlock()
	t.Local.SetView(view)
}

// Acquire avoids the busier of the first two choices.
func (t *twoChoices) Acquire(ctx context.Context, ask slipwick.AcquireRequest) (slipwick.Grant, error) {
	t.mu.Lock()
	pool := t.view.Pools[ask.Pool]
	t.mu.Unlock()
	ranked := pool.Rank(nil, ask.Chat)
	if len(ranked) > 1 {
		first, second := pool.Backends[ranked[0]].ID, pool.Backends[ranked[1]].ID
		if t.meter.reported(first) > t.meter.reported(second) {
			ask.Exclude = append(ask.Exclude, first)
		}
	}
	return t.Local.Acquire(ctx, ask)
}
