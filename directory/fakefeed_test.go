package directory

import (
	"context"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fleet"
)

// fakeFeed is a store or another router's copy that can fail or hang.
type fakeFeed struct {
	*Mirror

	mu    sync.Mutex
	err   error
	hangs bool
	calls int
	lists int
	// delay is how long each response takes.
	delay time.Duration
	// age is added to the age of each batch.
	age time.Duration
}

func newFakeFeed(first *slipwick.FeedBatch) *fakeFeed {
	f := &fakeFeed{
		Mirror: NewMirror(),
	}
	f.Apply(first)
	return f
}

func (f *fakeFeed) query(
	ctx context.Context, query func(*Mirror) (slipwick.FeedBatch, error),
) (slipwick.FeedBatch, error) {
	f.mu.Lock()
	f.calls++
	mirror, hangs, failure, age := f.Mirror, f.hangs, f.err, f.age
	f.mu.Unlock()
	if f.delay > 0 {
		time.Sleep(f.delay)
		if ctx.Err() != nil {
			return slipwick.FeedBatch{}, ctx.Err()
		}
	}
	if hangs {
		<-ctx.Done()
		return slipwick.FeedBatch{}, ctx.Err()
	}
	if failure != nil {
		return slipwick.FeedBatch{}, failure
	}
	b, err := query(mirror)
	b.Age += age
	return b, err
}

// setError makes all further calls fail; nil makes them succeed again.
func (f *fakeFeed) setError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

// restore has the store return to an earlier state, as from a backup.
func (f *fakeFeed) restore(first *slipwick.FeedBatch) {
	mirror := NewMirror()
	mirror.Apply(first)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Mirror = mirror
}

// setHangs makes further calls block until their context ends, or ends that. Calls that already
// hang keep hanging.
func (f *fakeFeed) setHangs(hangs bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hangs = hangs
}

// addAge makes all further batches older by the given age.
func (f *fakeFeed) addAge(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.age += age
}

// callCount returns the number of calls so far.
func (f *fakeFeed) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// listCount returns the number of calls of List so far.
func (f *fakeFeed) listCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists
}

func (f *fakeFeed) List(ctx context.Context) (slipwick.FeedBatch, error) {
	f.mu.Lock()
	f.lists++
	f.mu.Unlock()
	return f.query(ctx, func(m *Mirror) (slipwick.FeedBatch, error) { return m.List(ctx) })
}

func (f *fakeFeed) Watch(ctx context.Context, after slipwick.Position, wait time.Duration) (slipwick.FeedBatch, error) {
	return f.query(ctx, func(m *Mirror) (slipwick.FeedBatch, error) { return m.Watch(ctx, after, wait) })
}

// keepConfirmed keeps copies current until ctx ends, as routers that follow the store do.
func keepConfirmed(ctx context.Context, copies ...*fakeFeed) {
	for ctx.Err() == nil {
		for _, c := range copies {
			position := c.Position()
			c.Apply(withTimeline(position.Timeline, batch(position.Revision, false)))
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// fakePeers provides other routers whose copies are fakes.
type fakePeers struct {
	// isWatcher makes the router follow the store. relayIDs are the routers that it follows
	// otherwise, in order, and all others that it knows; relays has their copies by ID.
	isWatcher bool
	relays    map[string]*fakeFeed
	relayIDs  []string
	// takeoverTurn is the router's turn to ask the store in place of the watchers.
	takeoverTurn int
	// fleetKnown is closed once the router has discovered the others; nil if it has from the start.
	fleetKnown chan struct{}
}

func (p *fakePeers) FleetKnown() <-chan struct{} {
	if p.fleetKnown != nil {
		return p.fleetKnown
	}
	fleetKnown := make(chan struct{})
	close(fleetKnown)
	return fleetKnown
}

func (p *fakePeers) RelayPosition() fleet.RelayPosition {
	return fleet.RelayPosition{
		IsWatcher:    p.isWatcher,
		Relays:       p.relayIDs,
		TakeoverTurn: p.takeoverTurn,
	}
}

func (p *fakePeers) Others() []string { return p.relayIDs }

func (p *fakePeers) PeerFeed(id, _ string) slipwick.Feed { return p.relays[id] }

// testTiming has the wait times of followers without other settings.
var testTiming = TimingWithin(DefaultPropagationTime)

// at returns a position of a store that has no timelines.
func at(revision uint64) slipwick.Position {
	return slipwick.Position{
		Revision: revision,
	}
}
