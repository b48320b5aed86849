package gatewayd

import (
	"context"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/rollout"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

const (
	// feedRollouts has the orders of rollouts.
	feedRollouts = "rollouts"
	// rolloutLook is how often a router compares the versions, and rolloutWrite how often
	// one that follows the store tries to write a state.
	rolloutLook  = 100 * time.Millisecond
	rolloutWrite = 300 * time.Millisecond
	// rolloutKept is how long after its deadline a completed rollout sends nothing to other
	// versions: the old one's entries are gone by then, and newer versions are others'.
	rolloutKept = 10 * time.Second
	// rolloutsWait bounds how long a starting router waits to know the orders.
	rolloutsWait = 2 * time.Second
)

// rollouts follows orders of rollouts. Each router compares the versions by the answers of all
// and acts on its verdict at once; those that follow the store write it, under the condition
// that the order is as they know it. Nobody else need know who does: a writer that is cut off
// or ends leaves the others to write the same.
type rollouts struct {
	process *Process

	mu sync.Mutex
	// following are the rollouts by the name of their object.
	following map[string]*followedRollout
}

// followedRollout is a rollout, and when its state was written last.
type followedRollout struct {
	*rollout.Rollout
	told      rollout.State
	writtenAt time.Time
}

func newRollouts(p *Process) *rollouts {
	return &rollouts{
		process:   p,
		following: make(map[string]*followedRollout),
	}
}

// followsRollouts tells whether there may be rollouts at all.
func (p *Process) followsRollouts() bool {
	return p.Settings.Bounds.Exposure > 0 && p.Feeds.Rollouts != nil
}

// followRollouts keeps the orders. They go the way of the other feeds.
func (p *Process) followRollouts(ctx context.Context) {
	if !p.followsRollouts() {
		return
	}
	rhythm := p.Settings.Bounds.rhythm()
	follower := directory.NewFollower[rollout.Order](
		p.shared(feedRollouts, p.Feeds.Rollouts, rhythm), p.mirrors[feedRollouts])
	follower.Timing = rhythm
	follower.Decode = p.Feeds.DecodeRollout
	follower.OnInvalid = p.foreign.of(feedRollouts)
	dependency := p.newDependency(feedRollouts)
	follower.OnError, follower.OnStoreRestored = dependency.failed, dependency.fellBack
	isFirst, asOf := true, time.Time{}
	follower.OnAnswer = func(batch *slipwick.FeedBatch) {
		dependency.answered(batch)
		asOf = clock.Now().Add(-batch.Age)
		if len(batch.Entries) == 0 {
			p.balancer.RolloutsKnown(asOf)
		}
	}
	follower.OnChange = func(changes []directory.Change[rollout.Order]) {
		p.rollouts.change(changes)
		// Orders are in force before versions that none names are used.
		p.balancer.RolloutsKnown(asOf)
		if isFirst {
			isFirst = false
			close(p.rolloutsKnown)
		}
	}
	var looks sync.WaitGroup
	looks.Go(func() { p.rollouts.run(ctx) })
	follower.Run(ctx)
	looks.Wait()
}

// awaitRollouts has a starting router wait until it knows the orders: before, it would send
// to a version that is on trial, or was rolled back, as to any other.
func (p *Process) awaitRollouts(ctx context.Context) {
	if !p.followsRollouts() {
		return
	}
	timer := time.NewTimer(rolloutsWait)
	defer timer.Stop()
	select {
	case <-p.rolloutsKnown:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// running counts the rollouts without a verdict.
func (r *rollouts) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.following {
		if !f.told.IsFinal() {
			n++
		}
	}
	return n
}

// change takes changes of the orders.
func (r *rollouts) change(changes []directory.Change[rollout.Order]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range changes {
		c := &changes[i]
		known := r.following[c.Name]
		switch {
		case c.Gone:
			delete(r.following, c.Name)
		case c.Invalid:
			// What can't be read any more says nothing new.
		case known == nil, known.Order.Version != c.Value.Version, known.Order.State.IsFinal() && !c.Value.State.IsFinal():
			r.following[c.Name] = r.begin(&c.Value)
		default:
			known.Order = c.Value
		}
	}
	r.applyLocked(clock.Now())
}

// begin follows an order. One that is over before it is known is not followed: its old version
// is gone, and newer ones are none of its concern.
func (r *rollouts) begin(order *rollout.Order) *followedRollout {
	now, age := clock.Now(), time.Duration(0)
	if order.State == rollout.StateCompleted {
		age = order.Duration + rolloutKept
	}
	return &followedRollout{
		Rollout: rollout.New(order, r.process.Settings.Bounds.Exposure, now, age),
	}
}

// run compares the versions until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	for sleep(ctx, rolloutLook) {
		r.mu.Lock()
		now := clock.Now()
		r.applyLocked(now)
		due := r.dueLocked(now)
		r.mu.Unlock()
		for name, order := range due {
			r.write(ctx, name, order.order, order.state)
		}
	}
}

// applyLocked judges the rollouts, and has the balancer send by them.
func (r *rollouts) applyLocked(now time.Time) {
	trials := make(map[string]balance.Canary)
	for name, f := range r.following {
		counts := r.process.balancer.CanaryCounts(f.Order.Pool)
		verdict := f.Observe(now, rollout.Counts(counts.Old), rollout.Counts(counts.New))
		if verdict != f.told {
			f.told = verdict
			events.RolloutChanged.On(&r.process.Log).Str("rollout", name).Str("pool", f.Order.Pool).
				Str("version", f.Order.Version).Str("state", string(verdict)).
				Int("old_good", counts.Old.Good).Int("old_bad", counts.Old.Bad).
				Int("new_good", counts.New.Good).Int("new_bad", counts.New.Bad).Send()
		}
		isOver := now.Sub(f.Plan.Start) > f.Plan.Duration+rolloutKept
		if verdict == rollout.StateCompleted && isOver {
			continue
		}
		trials[f.Order.Pool] = balance.Canary{
			Version: f.Order.Version,
			Share:   f.Share(now),
		}
	}
	r.process.balancer.SetCanaries(trials)
}

// dueWrite is a state that is to be written.
type dueWrite struct {
	order rollout.Order
	state rollout.State
}

// dueLocked gives what this router is to write.
func (r *rollouts) dueLocked(now time.Time) map[string]dueWrite {
	due := make(map[string]dueWrite)
	if !r.process.Feeds.Private && !r.process.peers.Place().IsWatcher {
		return due
	}
	for name, f := range r.following {
		state, ok := f.PendingState()
		if !ok || now.Sub(f.writtenAt) < rolloutWrite {
			continue
		}
		f.writtenAt = now
		due[name] = dueWrite{
			order: f.Order,
			state: state,
		}
	}
	return due
}

func (r *rollouts) write(ctx context.Context, name string, order rollout.Order, state rollout.State) {
	ctx, cancel := context.WithTimeout(ctx, rolloutWrite)
	defer cancel()
	err := r.process.Feeds.WriteRollout(ctx, name, &order, state)
	if err != nil && !slipwick.IsKind(err, slipwick.KindConflict) {
		events.RolloutNotWritten.On(&r.process.Log).Str("rollout", name).Str("state", string(state)).
			AnErr("cause", err).Send()
	}
}
