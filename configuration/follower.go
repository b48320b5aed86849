package configuration

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/slipwick/slipwick"
)

// Snapshot is one version of the state, as a router has it in force.
type Snapshot struct {
	State   State
	Version slipwick.Version
}

// Follower keeps a router's state in force up to date. It never steps back to
// a lower version. Set the fields before Run.
type Follower struct {
	Store slipwick.Store
	// Watches tells whether this router holds a watch in the platform; the
	// others are told of versions by their peers, and ask the platform now
	// and then only. Nil always watches.
	Watches func() bool
	// OnChange is called with each newer version, one call at a time.
	OnChange func(*Snapshot)
	// OnError is told of each failed call to the platform.
	OnError func(error)

	offer   sync.Mutex
	current atomic.Pointer[Snapshot]
	object  atomic.Pointer[slipwick.Object]
	// askAt is when a router that does not watch asks the platform next.
	askAt time.Time
}

// Bounds of the wait after a failed call to the platform.
const (
	firstWait = 200 * time.Millisecond
	maxWait   = 30 * time.Second
	// recheckEvery is how often a router that does not watch looks whether
	// it should; askEvery how often it asks the platform all the same.
	recheckEvery = time.Second
	askEvery     = 2 * time.Minute
)

// Current gives the state in force, or nil while there is none.
func (f *Follower) Current() *Snapshot {
	return f.current.Load()
}

// Object gives the state in force as the platform keeps it; ok is false while
// there is none.
func (f *Follower) Object() (object slipwick.Object, ok bool) {
	if kept := f.object.Load(); kept != nil {
		return *kept, true
	}
	return slipwick.Object{}, false
}

// Run watches the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstWait
	wait.MaxInterval = maxWait
	for ctx.Err() == nil {
		if f.Current() != nil && f.Watches != nil && !f.Watches() {
			f.idle(ctx)
			continue
		}
		err := f.next(ctx)
		if err == nil {
			wait.Reset()
			continue
		}
		if ctx.Err() == nil && f.OnError != nil {
			f.OnError(err)
		}
		sleep(ctx, wait.NextBackOff())
	}
}

// idle waits while others watch, and asks the platform now and then.
func (f *Follower) idle(ctx context.Context) {
	sleep(ctx, recheckEvery)
	now := time.Now()
	if f.askAt.IsZero() || now.Before(f.askAt) || ctx.Err() != nil {
		f.askAt = cmp.Or(f.askAt, nextAsk(now))
		return
	}
	f.askAt = nextAsk(now)
	object, err := f.Store.Get(ctx, ObjectKey)
	if err == nil {
		err = f.Offer(object)
	}
	if err != nil && f.OnError != nil {
		f.OnError(err)
	}
}

// nextAsk spreads the routers' asks, also of those that started together.
func nextAsk(now time.Time) time.Time {
	return now.Add(askEvery/2 + rand.N(askEvery))
}

func (f *Follower) next(ctx context.Context) error {
	var version slipwick.Version
	if current := f.Current(); current != nil {
		version = current.Version
	}
	object, err := f.Store.Watch(ctx, ObjectKey, version)
	if err != nil {
		return err
	}
	return f.Offer(object)
}

// Offer takes a version from the platform or another router; an older one or
// the one in force is ignored.
func (f *Follower) Offer(object slipwick.Object) error {
	f.offer.Lock()
	defer f.offer.Unlock()
	if current := f.Current(); current != nil && object.Version <= current.Version {
		return nil
	}
	state, err := Decode(object.Value)
	if err != nil {
		return err
	}
	snapshot := &Snapshot{
		State:   state,
		Version: object.Version,
	}
	f.object.Store(&object)
	f.current.Store(snapshot)
	if f.OnChange != nil {
		f.OnChange(snapshot)
	}
	return nil
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
