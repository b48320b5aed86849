package directory

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/fleet"
)

const (
	// modelBackends and modelConfigs are the names of the feeds of backend servers and of
	// configurations.
	modelBackends = "backends"
	modelConfigs  = "tables"
	// modelPropagationTime is the time after which a leaving server gets no new requests, and in
	// which a new configuration has to be in force.
	modelPropagationTime = 2 * time.Second
)

// modelFleet has routers that follow a modelStore, and each other through the HTTP handlers and
// encodings of production.
type modelFleet struct {
	store *modelStore
	// ctx ends the routers that run.
	ctx context.Context

	mu      sync.Mutex
	routers []*modelRouter
}

// modelRouter has the parts of one router that follow the store.
type modelRouter struct {
	fleet       *modelFleet
	self        slipwick.Router
	relayServer RelayServer
	backends    *Backends
	fleetKnown  chan struct{}
	// followers has the Run functions of the feeds' followers, done is closed when they have
	// returned.
	followers []func(context.Context)
	done      []<-chan struct{}
	// started is when the router was created.
	started time.Time

	mu sync.Mutex
	// cut makes the store refuse the router.
	cut bool
	// listed has the entries by server ID that the balancer would use, configVersion the newest
	// configuration version.
	listed        map[string]string
	configVersion string
}

func newModelFleet(routers int) *modelFleet {
	f := &modelFleet{
		store: newModelStore(),
	}
	for i := range routers {
		f.add(fmt.Sprint("r", i))
	}
	return f
}

// add adds a router, which does not run yet.
func (f *modelFleet) add(id string) *modelRouter {
	r := &modelRouter{
		fleet: f,
		self: slipwick.Router{
			ID:         id,
			DataCentre: fmt.Sprint("dc-", len(f.routers)%3),
		},
		relayServer: RelayServer{
			Mirrors: make(map[string]*Mirror),
		},
		fleetKnown: make(chan struct{}),
		started:    time.Now(),
		listed:     make(map[string]string),
	}
	close(r.fleetKnown)
	r.backends = NewBackends(r.applyBackends)
	r.backends.LeaveTime = modelPropagationTime
	r.createFollowers()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers = append(f.routers, r)
	return r
}

// all returns the routers so far.
func (f *modelFleet) all() []*modelRouter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routers)
}

// start runs all routers until the end of the test.
func (f *modelFleet) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f.ctx = ctx
	for _, r := range f.routers {
		r.run(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, r := range f.all() {
			for _, done := range r.done {
				<-done
			}
		}
		// The latest calls to other routers end by their own time limits.
		time.Sleep(10 * time.Second)
	})
}

// startRouter adds and runs one more router.
func (f *modelFleet) startRouter(id string) {
	f.add(id).run(f.ctx)
}

// run runs the router's followers until ctx ends.
func (r *modelRouter) run(ctx context.Context) {
	for _, follow := range r.followers {
		go follow(ctx)
	}
}

// decodeModelServer decodes the entry of a server: its state, and its incarnation unless that is
// the first.
func decodeModelServer(name string, value []byte) (balance.Entry, error) {
	state, incarnation, _ := strings.Cut(string(value), "@")
	// The first incarnation has no number.
	startTime, _ := strconv.ParseInt(incarnation, 10, 64)
	return balance.Entry{
		Backend: slipwick.Backend{
			ID:        name,
			StartTime: startTime,
		},
		Leaving: state == "leaving",
	}, nil
}

// createFollowers creates the followers of both feeds.
func (r *modelRouter) createFollowers() {
	backends := newModelFollower(r, modelBackends, decodeModelServer)
	backends.OnResponse = func(batch *slipwick.FeedBatch) { r.backends.RecordResponse(batch.Age, batch.StableFor) }
	backends.OnStoreRestored = func(_ slipwick.Position, batch *slipwick.FeedBatch) {
		r.backends.StoreRestored(batch.Age, batch.StableFor)
	}
	backends.OnError = func(error) { r.backends.RecordFailure() }
	backends.OnChange = r.backends.Apply
	configs := newModelFollower(r, modelConfigs,
		func(_ string, value []byte) (string, error) { return string(value), nil })
	configs.OnChange = r.applyConfig
	configs.IsOutdated = func(known, received string) bool { return received < known }
	r.followers = append(r.followers, backends.Run, configs.Run)
}

// newModelFollower returns the follower of one kind of object.
func newModelFollower[T any](r *modelRouter, kind string, decode func(string, []byte) (T, error)) *Follower[T] {
	timing := TimingWithin(modelPropagationTime)
	mirror := NewMirror()
	r.relayServer.Mirrors[kind] = mirror
	follower := NewFollower[T](&SharedFeed{
		FeedName: kind,
		Store: &routerStoreFeed{
			router: r,
			feed:   r.fleet.store.feed(kind),
		},
		Peers:  r,
		Mirror: mirror,
		Timing: timing,
	}, mirror)
	follower.Timing = timing
	follower.Decode = decode
	r.done = append(r.done, follower.Done())
	return follower
}

func (r *modelRouter) applyBackends(changes *balance.Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range changes.Removed {
		delete(r.listed, id)
	}
	for i := range changes.Entries {
		state := "ready"
		if changes.Entries[i].Leaving {
			state = "leaving"
		}
		r.listed[changes.Entries[i].ID] = modelEntry(state, changes.Entries[i].StartTime)
	}
}

// modelEntry returns the value of a server's entry.
func modelEntry(state string, incarnation int64) string {
	if incarnation == 0 {
		return state
	}
	return fmt.Sprintf("%s@%d", state, incarnation)
}

func (r *modelRouter) applyConfig(changes []Change[string]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		// A gateway never replaces the version in force by an older one.
		r.configVersion = max(r.configVersion, c.Value)
	}
}

// version returns the configuration version in force.
func (r *modelRouter) version() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configVersion
}

// wouldSend reports whether the router would send to the first incarnation of the server.
func (r *modelRouter) wouldSend(id string) bool { return r.wouldSendTo(id, 0) }

// wouldSendTo reports whether the router would send to an incarnation of the server.
func (r *modelRouter) wouldSendTo(id string, incarnation int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed[id] == modelEntry("ready", incarnation)
}

// setCut makes the store refuse the router, or serve it again.
func (r *modelRouter) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

// FleetKnown, RelayPosition, Others and PeerFeed implement Peers.
func (r *modelRouter) FleetKnown() <-chan struct{} { return r.fleetKnown }

func (r *modelRouter) RelayPosition() fleet.RelayPosition {
	return fleet.FindRelayPosition(r.self, r.members())
}

func (r *modelRouter) members() []slipwick.Router {
	var members []slipwick.Router
	for _, other := range r.fleet.all() {
		members = append(members, other.self)
	}
	return members
}

func (r *modelRouter) Others() []string {
	var ids []string
	for _, other := range r.fleet.all() {
		if other != r {
			ids = append(ids, other.self.ID)
		}
	}
	return ids
}

func (r *modelRouter) PeerFeed(id, feed string) slipwick.Feed {
	relay := &RelayClient{
		Address:  id,
		FeedName: feed,
	}
	for _, other := range r.fleet.all() {
		if other.self.ID == id {
			relay.HTTP = &http.Client{
				Transport: &handlerTransport{
					to: &other.relayServer,
				},
			}
		}
	}
	return relay
}

// handlerTransport passes requests to a handler, with a latency of 1 ms in each direction.
type handlerTransport struct {
	to http.Handler
}

func (t *handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(time.Millisecond)
	recorder := httptest.NewRecorder()
	t.to.ServeHTTP(recorder, request)
	time.Sleep(time.Millisecond)
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// routerStoreFeed is the store as one router reaches it.
type routerStoreFeed struct {
	router *modelRouter
	feed   slipwick.Feed
}

func (s *routerStoreFeed) checkReachable() error {
	s.router.mu.Lock()
	defer s.router.mu.Unlock()
	if s.router.cut {
		return errStoreDown
	}
	return nil
}

func (s *routerStoreFeed) List(ctx context.Context) (slipwick.FeedBatch, error) {
	if err := s.checkReachable(); err != nil {
		return slipwick.FeedBatch{}, err
	}
	return s.feed.List(ctx)
}

func (s *routerStoreFeed) Watch(
	ctx context.Context, after slipwick.Position, wait time.Duration,
) (slipwick.FeedBatch, error) {
	if err := s.checkReachable(); err != nil {
		return slipwick.FeedBatch{}, err
	}
	batch, err := s.feed.Watch(ctx, after, wait)
	if failed := s.checkReachable(); failed != nil {
		return slipwick.FeedBatch{}, failed
	}
	return batch, err
}
