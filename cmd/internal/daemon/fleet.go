package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/fleet"
	"github.com/slipwick/slipwick/membership"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

const (
	// boxesEvery is how often, at most, a router reads the platform's list of
	// boxes; boxesShare is how often one of the fleet does. What one reads
	// all learn, so that the platform's calls do not grow with the fleet.
	boxesEvery = 5 * time.Second
	boxesShare = 500 * time.Millisecond
	// joinWith is how many routers are asked for all they know at the start.
	joinWith      = 2
	retryJoin     = time.Second
	settleTime    = 500 * time.Millisecond
	healthBacklog = 1024
)

// healthNews is what an owner found out about a backend server.
type healthNews struct {
	backend string
	health  admission.Health
}

// onHealth is called by the coordinator, which must not be called back.
func (r *Router) onHealth(backend string, health admission.Health) {
	select {
	case r.health <- healthNews{
		backend: backend,
		health:  health,
	}:
	default:
		// Probing says it again.
	}
}

// spreadHealth tells the other routers what owners find out.
func (r *Router) spreadHealth(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case news := <-r.health:
			r.logHealth(news)
			r.node.SetBackend(news.backend, fleet.MemberState(news.health))
		}
	}
}

func (r *Router) logHealth(news healthNews) {
	event := events.BackendRestored
	switch news.health {
	case admission.HealthLeaving:
		event = events.BackendLeaving
	case admission.HealthEjected:
		event = events.BackendEjected
	case admission.HealthGood:
	}
	event.On(&r.Log).Str("backend", news.backend).Send()
}

// onMembers takes what membership found out.
func (r *Router) onMembers(change membership.Change) {
	r.viewer.SetFleet(change.Routers, fleet.BackendStates(change.Backends))
	r.eligible.Store(&change.Routers)
	if r.joined.Load() {
		r.claims.SetRouters(change.Routers)
	}
	r.watches.Store(fleet.IsPlatformWatcher(r.self(), change.Routers))
	for _, id := range change.Died {
		events.RouterDied.On(&r.Log).Str("died", id).Send()
		r.coordinator.HandleRouterFailure(id)
	}
}

// followBoxes reads the platform's list of boxes now and then. At the start it
// joins the fleet by asking a few of the routers on it.
func (r *Router) followBoxes(ctx context.Context) {
	asked := false
	for ctx.Err() == nil {
		boxes, err := r.platform.Boxes(ctx)
		if err != nil && ctx.Err() == nil {
			r.platformFailed(err)
		}
		r.node.MergeListing(boxes)
		if !asked && err == nil {
			asked = true
			r.join(boxes)
		}
		if len(r.node.Routers()) == 1 {
			for _, seed := range r.Settings.Seeds {
				r.node.Join(seed)
			}
		}
		r.settle(ctx, asked)
		// Routers that started together spread out.
		every := max(boxesEvery, time.Duration(len(r.node.Routers()))*boxesShare)
		if !r.joined.Load() {
			every = retryJoin
		}
		wait := every/2 + time.Duration(rand.Int64N(int64(every)))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// settle counts the router as joined once it read the list, or heard of others
// through seeds, and had the time to hear what they know. Before, it would take
// engines and journals for its own that others hold.
func (r *Router) settle(ctx context.Context, listed bool) {
	if r.joined.Load() {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(settleTime):
	}
	if !listed && len(r.node.Routers()) == 1 {
		return
	}
	r.joined.Store(true)
	if eligible := r.eligible.Load(); eligible != nil {
		r.claims.SetRouters(*eligible)
	}
}

func (r *Router) join(boxes []slipwick.Box) {
	asked := 0
	for _, i := range rand.Perm(len(boxes)) {
		box := boxes[i]
		if box.Kind != slipwick.BoxRouter || box.ID == r.Settings.ID || asked == joinWith {
			continue
		}
		asked++
		r.node.Join(box.Address)
	}
}
