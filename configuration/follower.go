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

// Snapshot is one version of the state.
type Snapshot struct {
	State   State
	Version slipwick.Version
}

// Follower keeps a router's state up to date. It never goes back to a lower
// version. Set the fields before Run.
type Follower struct {
	Store slipwick.Store
	// Watches reports whether this router watches the platform. The others get
	// new versions from their peers and poll the platform at long intervals
	// only. If nil, the router always watches.
	Watches func() bool
	// OnChange is called with each newer version, one call at a time.
	OnChange func(*Snapshot)
	// OnError is called with each error of a call to the platform, and with
	// the error of each state from the platform that can't be decoded.
	OnError func(error)

	offerMu sync.Mutex
	current atomic.Pointer[Snapshot]
	object  atomic.Pointer[slipwick.Object]
	// nextPoll is when a router that does not watch polls the platform next.
	nextPoll time.Time
}

const (
	// minRetryWait and maxRetryWait bound the wait after a failed call to the
	// platform.
	minRetryWait = 200 * time.Millisecond
	maxRetryWait = 30 * time.Second
	// recheckInterval is how often a router that does not watch checks whether
	// it should.
	recheckInterval = time.Second
	// pollInterval is how often, on average, such a router polls the platform
	// in case its peers have missed a version.
	pollInterval = 2 * time.Minute
)

// Current returns the state in force, or nil while there is none.
func (f *Follower) Current() *Snapshot {
	return f.current.Load()
}

// Object returns the state in force as the platform stores it; ok is false while
// there is none.
func (f *Follower) Object() (object slipwick.Object, ok bool) {
	if current := f.object.Load(); current != nil {
		return *current, true
	}
	return slipwick.Object{}, false
}

// Run watches or polls the platform until ctx ends. Call it once.
func (f *Follower) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minRetryWait
	wait.MaxInterval = maxRetryWait
	for ctx.Err() == nil {
		if f.Current() != nil && f.Watches != nil && !f.Watches() {
			f.pollIfDue(ctx)
			continue
		}
		err := f.watch(ctx)
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

// pollIfDue waits for recheckInterval, and then polls the platform if it is time to.
func (f *Follower) pollIfDue(ctx context.Context) {
	sleep(ctx, recheckInterval)
	now := time.Now()
	if f.nextPoll.IsZero() || now.Before(f.nextPoll) || ctx.Err() != nil {
		f.nextPoll = cmp.Or(f.nextPoll, nextPollTime(now))
		return
	}
	f.nextPoll = nextPollTime(now)
	object, err := f.Store.Get(ctx, ObjectKey)
	if err == nil {
		err = f.Offer(object)
	}
	if err != nil && f.OnError != nil {
		f.OnError(err)
	}
}

// nextPollTime adds a random wait, so that routers that started together don't poll together.
func nextPollTime(now time.Time) time.Time {
	return now.Add(pollInterval/2 + rand.N(pollInterval))
}

// watch waits for a newer version and puts it in force.
func (f *Follower) watch(ctx context.Context) error {
	var version slipwick.Version
	if current := f.Current(); current != nil {
		version = current.Version
	}
	object, err := f.Store.Watch(ctx, ObjectKey, version)
	if err != nil {
		return err
	}
	if object.Version == version && len(object.Value) == 0 {
		// The platform's own wait ended first, perhaps before there is any state.
		return nil
	}
	return f.Offer(object)
}

// Offer puts a version from the platform or another router in force, unless it
// is not newer than the one in force. The error is that of decoding the state.
func (f *Follower) Offer(object slipwick.Object) error {
	f.offerMu.Lock()
	defer f.offerMu.Unlock()
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
