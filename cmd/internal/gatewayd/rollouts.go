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
	// feedRollouts is the name of the feed of rollout orders, each of which is a store entry that
	// orders the routers to move a pool's requests to a new version of its backend servers.
	feedRollouts = "rollouts"
	// rolloutCheckInterval is the interval at which a router compares the old and the new
	// version. rolloutWriteInterval is the interval at which a watcher of the store tries to
	// write a state, and the timeout of a write.
	rolloutCheckInterval = 100 * time.Millisecond
	rolloutWriteInterval = 300 * time.Millisecond
	// rolloutRetention is how long after its deadline a completed rollout still prevents requests
	// to other versions than its own. After that the old version's entries are gone, and newer
	// versions belong to other rollouts.
	rolloutRetention = 10 * time.Second
	// maxRolloutsWait bounds how long a starting router waits for the rollout orders.
	maxRolloutsWait = 2 * time.Second
)

// rollouts follows rollout orders. Each router compares the versions by the outcomes that all
// routers saw, and acts on its verdict at once. The routers that watch the store write the verdict
// there, provided that the order has not changed since they read it. Writers need no coordination:
// if one is isolated or ends, the others write the same state.
type rollouts struct {
	process *Process

	mu sync.Mutex
	// followed holds the rollouts by the name of their store entry.
	followed map[string]*followedRollout
}

// followedRollout is a rollout with its latest verdict and the time of the last write.
type followedRollout struct {
	*rollout.Rollout
	verdict   rollout.State
	writtenAt time.Time
}

func newRollouts(p *Process) *rollouts {
	return &rollouts{
		process:  p,
		followed: make(map[string]*followedRollout),
	}
}

// followsRollouts reports whether this router follows rollouts.
func (p *Process) followsRollouts() bool {
	return p.Settings.Bounds.Exposure > 0 && p.Feeds.Rollouts != nil
}

// followRollouts keeps the rollout orders up to date until ctx ends. The feed is relayed
// through the same routers as the others.
func (p *Process) followRollouts(ctx context.Context) {
	if !p.followsRollouts() {
		return
	}
	timing := p.Settings.Bounds.timing()
	follower := directory.NewFollower[rollout.Order](
		p.sharedFeed(feedRollouts, p.Feeds.Rollouts, timing), p.mirrors[feedRollouts])
	follower.Timing = timing
	follower.Decode = p.Feeds.DecodeRollout
	follower.OnInvalid = p.invalidEntries.recorder(feedRollouts)
	monitor := p.newFeedMonitor(feedRollouts)
	follower.OnError, follower.OnStoreRestored = monitor.failed, monitor.storeRestored
	isFirst, asOf := true, time.Time{}
	follower.OnResponse = func(batch *slipwick.FeedBatch) {
		monitor.succeeded(batch)
		asOf = clock.Now().Add(-batch.Age)
		if len(batch.Entries) == 0 {
			p.balancer.MarkRolloutsKnown(asOf)
		}
	}
	follower.OnChange = func(changes []directory.Change[rollout.Order]) {
		p.rollouts.applyChanges(changes)
		// Orders take effect before MarkRolloutsKnown allows versions that no order names.
		p.balancer.MarkRolloutsKnown(asOf)
		if isFirst {
			isFirst = false
			close(p.rolloutsKnown)
		}
	}
	var checks sync.WaitGroup
	checks.Go(func() { p.rollouts.run(ctx) })
	follower.Run(ctx)
	checks.Wait()
}

// awaitRollouts blocks a starting router until it knows the rollout orders, at most for maxRolloutsWait:
// without them it would send to a canary or a rolled back version as to any other.
func (p *Process) awaitRollouts(ctx context.Context) {
	if !p.followsRollouts() {
		return
	}
	timer := time.NewTimer(maxRolloutsWait)
	defer timer.Stop()
	select {
	case <-p.rolloutsKnown:
	case <-ctx.Done():
	case <-timer.C:
		events.RolloutsUnknown.On(&p.Log).Dur("waited_ms", maxRolloutsWait).Send()
	}
}

// running returns the number of rollouts that are not decided yet.
func (r *rollouts) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.followed {
		if !f.verdict.IsFinal() {
			n++
		}
	}
	return n
}

// applyChanges applies changes of the rollout orders.
func (r *rollouts) applyChanges(changes []directory.Change[rollout.Order]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range changes {
		c := &changes[i]
		known := r.followed[c.Name]
		switch {
		case c.Removed:
			delete(r.followed, c.Name)
		case c.Invalid:
			// An order that can no longer be decoded keeps its last valid state.
		case known == nil, known.Order.Version != c.Value.Version, known.Order.State.IsFinal() && !c.Value.State.IsFinal():
			r.followed[c.Name] = r.newFollowedRollout(&c.Value)
		default:
			known.Order = c.Value
		}
	}
	r.applyLocked(clock.Now())
}

// newFollowedRollout returns the rollout of an order. A completed order starts out as past its retention,
// and so restricts no versions: its old version is gone, and newer ones belong to other orders.
func (r *rollouts) newFollowedRollout(order *rollout.Order) *followedRollout {
	now, age := clock.Now(), time.Duration(0)
	if order.State == rollout.StateCompleted {
		age = order.Duration + rolloutRetention
	}
	return &followedRollout{
		Rollout: rollout.New(order, r.process.Settings.Bounds.Exposure, now, age),
	}
}

// run compares the versions and writes verdicts until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	for sleep(ctx, rolloutCheckInterval) {
		r.mu.Lock()
		now := clock.Now()
		r.applyLocked(now)
		due := r.dueWritesLocked(now)
		r.mu.Unlock()
		for name, write := range due {
			r.write(ctx, name, write.order, write.state)
		}
	}
}

// applyLocked updates the verdicts, and the canaries of the balancer. The caller holds mu.
func (r *rollouts) applyLocked(now time.Time) {
	canaries := make(map[string]balance.Canary)
	for name, f := range r.followed {
		counts := r.process.balancer.CanaryCounts(f.Order.Pool)
		verdict := f.Observe(now, rollout.Counts(counts.Old), rollout.Counts(counts.New))
		if verdict != f.verdict {
			f.verdict = verdict
			events.RolloutChanged.On(&r.process.Log).Str("rollout", name).Str("pool", f.Order.Pool).
				Str("version", f.Order.Version).Str("state", string(verdict)).
				Int("old_good", counts.Old.Good).Int("old_bad", counts.Old.Bad).
				Int("new_good", counts.New.Good).Int("new_bad", counts.New.Bad).Send()
		}
		isOver := now.Sub(f.Plan.Start) > f.Plan.Duration+rolloutRetention
		if verdict == rollout.StateCompleted && isOver {
			continue
		}
		canaries[f.Order.Pool] = balance.Canary{
			Version: f.Order.Version,
			Share:   f.Share(now),
		}
	}
	r.process.balancer.SetCanaries(canaries)
}

// dueWrite is an order and the state to write to it.
type dueWrite struct {
	order rollout.Order
	state rollout.State
}

// dueWritesLocked returns the states that this router has to write now, by the name of the store
// entry. A router that follows other routers rather than the store has none. The caller holds mu.
func (r *rollouts) dueWritesLocked(now time.Time) map[string]dueWrite {
	due := make(map[string]dueWrite)
	if !r.process.Feeds.Private && !r.process.peers.RelayPosition().IsWatcher {
		return due
	}
	for name, f := range r.followed {
		state, ok := f.PendingState()
		if !ok || now.Sub(f.writtenAt) < rolloutWriteInterval {
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
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteInterval)
	defer cancel()
	err := r.process.Feeds.WriteRollout(ctx, name, &order, state)
	if err != nil && !slipwick.IsKind(err, slipwick.KindConflict) {
		events.RolloutNotWritten.On(&r.process.Log).Str("rollout", name).Str("state", string(state)).
			AnErr("cause", err).Send()
	}
}
