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
	// A router reads the platform's list of boxes at most once per
	// minBoxListInterval on average, and the fleet as a whole once per
	// boxListIntervalPerRouter. Membership passes on what one router reads, so
	// that the number of calls to the platform does not grow with the fleet.
	minBoxListInterval       = 5 * time.Second
	boxListIntervalPerRouter = 500 * time.Millisecond
	// maxJoinRequests is how many routers are asked for their full state at the start.
	maxJoinRequests   = 2
	joinRetryInterval = time.Second
	// catchUpTime is how long a router that joins waits for the state of other routers to arrive.
	catchUpTime     = 500 * time.Millisecond
	healthQueueSize = 1024
)

// healthUpdate is a change of health that the owner of a backend server has detected.
type healthUpdate struct {
	backend string
	health  admission.Health
}

// onHealth queues a change of health. The coordinator is locked while it calls onHealth, which must
// therefore not call the coordinator.
func (r *Router) onHealth(backend string, health admission.Health) {
	select {
	case r.healthUpdates <- healthUpdate{
		backend: backend,
		health:  health,
	}:
	default:
		// The queue is full; a later probe reports the state again.
	}
}

// broadcastHealth sends the health changes that this router detects to the other routers, until ctx ends.
func (r *Router) broadcastHealth(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-r.healthUpdates:
			r.logHealth(update)
			r.node.SetBackend(update.backend, fleet.MemberState(update.health))
		}
	}
}

func (r *Router) logHealth(update healthUpdate) {
	event := events.BackendRestored
	switch update.health {
	case admission.HealthLeaving:
		event = events.BackendLeaving
	case admission.HealthEjected:
		event = events.BackendEjected
	case admission.HealthGood:
	}
	event.On(&r.Log).Str("backend", update.backend).Send()
}

// onMembershipChange applies a change of the fleet or of the state of backend servers.
func (r *Router) onMembershipChange(change membership.Change) {
	r.viewBuilder.SetFleet(change.EligibleRouters, fleet.BackendStates(change.Backends))
	r.members.Store(&change.EligibleRouters)
	if r.joined.Load() {
		r.claims.SetRouters(change.EligibleRouters)
	}
	r.watchesPlatform.Store(fleet.IsPlatformWatcher(r.self(), change.EligibleRouters))
	for _, id := range change.Died {
		events.RouterDied.On(&r.Log).Str("died", id).Send()
		r.coordinator.HandleRouterFailure(id)
	}
}

// pollBoxes reads the platform's list of boxes periodically until ctx ends. After the
// first successful read it joins the fleet through a few of the listed routers.
func (r *Router) pollBoxes(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		boxes, err := r.platform.Boxes(ctx)
		if err != nil && ctx.Err() == nil {
			r.logPlatformError(err)
		}
		r.node.MergeListing(boxes)
		if !listed && err == nil {
			listed = true
			r.join(boxes)
		}
		if len(r.node.Routers()) == 1 {
			for _, seed := range r.Settings.Seeds {
				r.node.Join(seed)
			}
		}
		r.catchUp(ctx, listed)
		// The jitter keeps routers that started together from polling at the same time.
		interval := max(minBoxListInterval, time.Duration(len(r.node.Routers()))*boxListIntervalPerRouter)
		if !r.joined.Load() {
			interval = joinRetryInterval
		}
		wait := interval/2 + time.Duration(rand.Int64N(int64(interval)))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// catchUp marks the router as joined once it has read the list of boxes or has found other
// routers through seeds, and has then waited for their state to arrive. A router that counted
// as joined earlier would see no other routers and take itself for the owner of engines and the
// holder of claim journals that others have.
func (r *Router) catchUp(ctx context.Context, listed bool) {
	if r.joined.Load() {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(catchUpTime):
	}
	if !listed && len(r.node.Routers()) == 1 {
		return
	}
	r.joined.Store(true)
	if members := r.members.Load(); members != nil {
		r.claims.SetRouters(*members)
	}
}

// join asks up to maxJoinRequests of the listed routers, chosen at random, for their state.
func (r *Router) join(boxes []slipwick.Box) {
	asked := 0
	for _, i := range rand.Perm(len(boxes)) {
		box := boxes[i]
		if box.Kind != slipwick.BoxRouter || box.ID == r.Settings.ID || asked == maxJoinRequests {
			continue
		}
		asked++
		r.node.Join(box.Address)
	}
}
