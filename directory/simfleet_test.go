package directory

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fleet"
)

// fleetPropagationTime is the time in which a change has to reach all routers of a simFleet.
const fleetPropagationTime = 4 * time.Second

// simFleet is a simulated fleet whose routers follow one store. All calls are function calls with
// a latency.
type simFleet struct {
	store   *Mirror
	calls   atomic.Int64
	routers []*simRouter
	members []slipwick.Router
	byID    map[string]*simRouter
	// revision is the latest revision of the store.
	revision uint64
	// discoveryTime is how long a router takes to discover the others. A list from the store takes
	// pages calls of pageTime each, one from another router takes transferTime.
	discoveryTime, pageTime, transferTime time.Duration
	pages                                 int
	// maxSends is the number of lists that a router sends at a time; they share the capacity of
	// its link. 0 means any number, each of which takes transferTime.
	maxSends int
	// poweredOff has routers that start does not start; powerOn starts them.
	poweredOff []*simRouter
	powerOn    func()
}

// simRouter is one router of a simFleet, with its faults.
type simRouter struct {
	fleet    *simFleet
	self     slipwick.Router
	follower *Follower[string]
	// started is when it starts; fleetKnown is closed discoveryTime later.
	started    time.Time
	fleetKnown chan struct{}

	mu sync.Mutex
	// unresponsive means that the router gets no response from anyone and gives none, isolated the
	// same towards the other routers only. storeHangs means that the store does not respond to it,
	// storeRefuses that the store returns errors to it.
	unresponsive, isolated, storeHangs, storeRefuses bool
	// calls counts its calls to the store, sending the lists that it is sending.
	calls, sending int
	// values are the known values by object name.
	values map[string]string
	// leftAt is when the router detects, by ID, that another one is gone.
	leftAt map[string]time.Time
}

var errRefused = errors.New("refused")

func newSimFleet(n int) *simFleet {
	f := &simFleet{
		store:         NewMirror(),
		byID:          make(map[string]*simRouter),
		discoveryTime: defaultDiscoveryTime,
		pages:         1,
		pageTime:      responseTime,
	}
	f.setValue("0")
	for i := range n {
		r := &simRouter{
			fleet: f,
			self: slipwick.Router{
				ID:         fmt.Sprint("r", i),
				DataCentre: fmt.Sprint("dc-", i%6),
			},
			fleetKnown: make(chan struct{}),
			values:     make(map[string]string),
		}
		f.routers = append(f.routers, r)
		f.members = append(f.members, r.self)
		f.byID[r.self.ID] = r
		mirror := NewMirror()
		shared := &SharedFeed{
			FeedName: "feed",
			Store:    &simStoreFeed{r},
			Peers:    r,
			Mirror:   mirror,
			Timing:   TimingWithin(fleetPropagationTime),
		}
		r.follower = NewFollower[string](shared, mirror)
		r.follower.Timing = shared.Timing
		r.follower.Decode = func(_ string, value []byte) (string, error) { return string(value), nil }
		r.follower.OnChange = func(changes []Change[string]) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, c := range changes {
				r.values[c.Name] = c.Value
			}
		}
	}
	return f
}

// setValue writes the only object of the store.
func (f *simFleet) setValue(value string) {
	f.revision++
	f.store.Apply(&slipwick.FeedBatch{
		IsSnapshot: f.revision == 1,
		Revision:   f.revision,
		Entries: []slipwick.FeedEntry{
			{
				Name:  "a",
				Value: []byte(value),
			},
		},
	})
}

// defaultDiscoveryTime is how long a router takes to discover the others, unless a test sets it.
const defaultDiscoveryTime = 200 * time.Millisecond

// start starts all routers within 0.3 s, without those that are powered off. Each then discovers
// the others. The returned function stops them.
func (f *simFleet) start(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	// The store's copy is always current.
	go func() {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				f.store.mu.Lock()
				f.store.confirmedAt = time.Now()
				f.store.mu.Unlock()
			}
		}
	}()
	random := rand.New(rand.NewPCG(1, 2))
	startRouter := func(r *simRouter) {
		wait := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
		r.started = time.Now().Add(wait)
		go func() {
			time.Sleep(wait)
			time.AfterFunc(f.discoveryTime, func() { close(r.fleetKnown) })
			r.follower.Run(ctx)
		}()
	}
	for _, r := range f.routers {
		if !slices.Contains(f.poweredOff, r) {
			startRouter(r)
		}
	}
	f.powerOn = func() {
		for _, r := range f.poweredOff {
			startRouter(r)
		}
	}
	return func() {
		cancel()
		for _, r := range f.routers {
			<-r.follower.Done()
		}
		time.Sleep(10 * time.Second)
	}
}

// watchers returns the routers that follow the store.
func (f *simFleet) watchers() []*simRouter {
	var watchers []*simRouter
	for _, r := range f.routers {
		if r.RelayPosition().IsWatcher {
			watchers = append(watchers, r)
		}
	}
	return watchers
}

// countLagging returns the number of routers that do not know the value, without those that are
// unresponsive or that the store does not respond to.
func (f *simFleet) countLagging(value string) int {
	n := 0
	for _, r := range f.routers {
		r.mu.Lock()
		if !r.unresponsive && !r.storeHangs && r.values["a"] != value {
			n++
		}
		r.mu.Unlock()
	}
	return n
}

func (r *simRouter) set(change func(*simRouter)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

func (r *simRouter) FleetKnown() <-chan struct{} { return r.fleetKnown }

func (r *simRouter) RelayPosition() fleet.RelayPosition {
	return fleet.FindRelayPosition(r.self, r.knownMembers())
}

// knownMembers returns the members that the router has discovered so far. Each router discovers
// them one after the other, in its own order.
func (r *simRouter) knownMembers() []slipwick.Router {
	members := r.fleet.members
	fraction := min(time.Since(r.started).Seconds()/r.fleet.discoveryTime.Seconds(), 1)
	var known []slipwick.Router
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range int(fraction * float64(len(members))) {
		member := members[(i*7+len(r.self.ID)+int(r.started.UnixNano()))%len(members)]
		if left, ok := r.leftAt[member.ID]; !ok || time.Now().Before(left) {
			known = append(known, member)
		}
	}
	return known
}

func (r *simRouter) Others() []string {
	var ids []string
	for _, other := range r.knownMembers() {
		if other.ID != r.self.ID {
			ids = append(ids, other.ID)
		}
	}
	return ids
}

func (r *simRouter) PeerFeed(id, _ string) slipwick.Feed {
	return &simPeerFeed{
		from: r,
		to:   r.fleet.byID[id],
	}
}

// reportFirstByte reports to the caller's trace that a response begins, as a connection to a store
// does.
func reportFirstByte(ctx context.Context) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotFirstResponseByte != nil {
		trace.GotFirstResponseByte()
	}
}

// simStoreFeed is the store as one router reaches it.
type simStoreFeed struct {
	router *simRouter
}

// reach counts a call to the store and waits for its latency.
func (s *simStoreFeed) reach(ctx context.Context) error {
	s.router.fleet.calls.Add(1)
	s.router.set(func(r *simRouter) { r.calls++ })
	time.Sleep(s.router.fleet.pageTime)
	return s.awaitResponse(ctx)
}

// awaitResponse fails if the store refuses the router, or blocks until ctx ends if no response
// arrives.
func (s *simStoreFeed) awaitResponse(ctx context.Context) error {
	s.router.mu.Lock()
	hangs, refused := s.router.storeHangs || s.router.unresponsive, s.router.storeRefuses
	s.router.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if refused {
		return errRefused
	}
	return ctx.Err()
}

func (s *simStoreFeed) List(ctx context.Context) (slipwick.FeedBatch, error) {
	for range s.router.fleet.pages {
		if err := s.reach(ctx); err != nil {
			return slipwick.FeedBatch{}, err
		}
		reportFirstByte(ctx)
	}
	return s.router.fleet.store.List(ctx)
}

func (s *simStoreFeed) Watch(
	ctx context.Context, after slipwick.Position, wait time.Duration,
) (slipwick.FeedBatch, error) {
	if err := s.reach(ctx); err != nil {
		return slipwick.FeedBatch{}, err
	}
	batch, err := s.router.fleet.store.Watch(ctx, after, wait)
	if failed := s.awaitResponse(ctx); failed != nil {
		return slipwick.FeedBatch{}, failed
	}
	return batch, err
}
