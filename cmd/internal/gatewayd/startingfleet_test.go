package gatewayd

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/rollout"
	"github.com/slipwick/slipwick/routing"
)

const (
	// seedCount is the number of routers that all others have as seeds.
	seedCount = 3
	// fleetDataCentres and fleetRegions are the numbers of data centres and regions of a
	// startingFleet.
	fleetDataCentres = 6
	fleetRegions     = 2
	// partsPerEngine is how many shared parts of prompts each engine has cached, and cacheListTime
	// how long it takes to list them.
	partsPerEngine = 5
	cacheListTime  = 10 * time.Millisecond
	// startPool is the only pool of a startingFleet.
	startPool = "p"
)

// startingFleet is a fleet of processes without sockets whose routers all start at about the same
// time. The store and the engines are up.
type startingFleet struct {
	store   *startStore
	network *startNetwork
	feeds   Feeds
	// engines are the engines by address, lists counts how often one listed its cache.
	engines map[string]*startEngine
	lists   atomic.Int64
	// retries is the fleet's retry budget; isCut is that of the startNetwork.
	retries Retries
	isCut   func(from, to netip.Addr) bool

	mu sync.Mutex
	// routers are the routers created last.
	routers []*startingRouter
	// running are the running routers, start starts one of them after a delay.
	running sync.WaitGroup
	start   func(r *startingRouter, delay time.Duration)
}

// newStartingFleet returns a fleet without routers before the engines.
func newStartingFleet(engines int) *startingFleet {
	f := &startingFleet{
		store:   &startStore{},
		engines: make(map[string]*startEngine),
	}
	entries := make(map[string]string)
	for i := range engines {
		entry := f.addEngine(i)
		// The entries have only fields that can be encoded.
		value, _ := json.Marshal(entry)
		entries[entry.ID] = string(value)
	}
	f.feeds = f.newFeeds(entries)
	return f
}

// addEngine adds an engine that has parts of prompts cached.
func (f *startingFleet) addEngine(i int) *balance.Entry {
	engine := newStartEngine()
	for n := range partsPerEngine {
		engine.cached[strconv.Itoa(i*partsPerEngine+n)] = true
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(1 + i%250)}), 8000).String()
	f.engines[address] = engine
	return &balance.Entry{
		Backend: slipwick.Backend{
			ID:         fmt.Sprintf("engine-%08x", uint32(i)*2654435761),
			Address:    address,
			DataCentre: fmt.Sprint("dc-", i%fleetDataCentres),
			Region:     fmt.Sprint("region-", i%fleetRegions),
			Slots:      engineSlots,
			StartTime:  int64(i + 1),
		},
		Pool: startPool,
	}
}

// newFeeds returns the feeds of a store that lists the engines.
func (f *startingFleet) newFeeds(engines map[string]string) Feeds {
	return Feeds{
		Tables:      f.store.newFeed(map[string]string{"main": ""}),
		Backends:    f.store.newFeed(engines),
		Evacuations: f.store.newFeed(nil),
		Rollouts:    f.store.newFeed(nil),
		DecodeTable: func(string, []byte) (*routing.Table, error) {
			return routing.NewTable(1, routing.Limits{}, []routing.Pool{
				{
					Name:   startPool,
					Engine: &routing.Engine{},
				},
			}, nil, nil), nil
		},
		DecodeBackend: func(_ string, value []byte) (entry balance.Entry, err error) {
			return entry, json.Unmarshal(value, &entry)
		},
		DecodeEvacuation: func(name string, _ []byte) (string, error) { return name, nil },
		DecodeRollout:    func(string, []byte) (rollout.Order, error) { return rollout.Order{}, nil },
		Caches:           f,
	}
}

// createRouters creates new processes, which don't run yet, in place of all routers.
func (f *startingFleet) createRouters(n int, isFirstStart bool) {
	var routers []*startingRouter
	f.network = &startNetwork{
		routers: make(map[netip.Addr]*startingRouter),
		isCut:   f.isCut,
	}
	for i := range n {
		r := f.newRouter(i, isFirstStart)
		routers = append(routers, r)
		f.network.set(r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers = routers
}

// newRouter returns a new process, which doesn't run yet, of the i-th box.
func (f *startingFleet) newRouter(i int, isFirstStart bool) *startingRouter {
	settings := &Settings{
		ID:         fmt.Sprint("r", i),
		DataCentre: fmt.Sprint("dc-", i%fleetDataCentres),
		Region:     fmt.Sprint("region-", i%fleetRegions),
		Headers:    gateway.DefaultHeaders(),
		Listen: Listen{
			Peers: peersAddress(i).String(),
		},
		Bounds: Bounds{
			EvacuationTime: directory.DefaultPropagationTime,
			Exposure:       0.1,
		},
		Retries:    f.retries,
		FirstStart: isFirstStart,
	}
	for seed := range seedCount {
		settings.Seeds = append(settings.Seeds, peersAddress(seed).String())
	}
	return &startingRouter{
		Process: New(settings, f.feeds),
		stopped: make(chan struct{}),
		times:   make(map[string]time.Duration),
	}
}

// chooseRouter returns a random router.
func (f *startingFleet) chooseRouter() *startingRouter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routers[rand.IntN(len(f.routers))]
}

// peersAddress returns the address at which the i-th router listens for others.
func peersAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), peersPort)
}

// CachedParts lists the cache of an engine.
func (f *startingFleet) CachedParts(_ context.Context, address string) ([]string, slipwick.Notice, error) {
	f.lists.Add(1)
	time.Sleep(cacheListTime)
	return f.engines[address].parts(), slipwick.Notice{}, nil
}

// run starts the routers at random times within startSpread. The returned function stops them at once,
// and waits until all messages have ended.
func (f *startingFleet) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	f.start = func(r *startingRouter, delay time.Duration) {
		ctx, kill := context.WithCancel(ctx)
		r.kill = kill
		f.running.Go(func() {
			time.Sleep(delay)
			r.run(ctx, f.network)
		})
	}
	for _, r := range f.routers {
		f.start(r, rand.N(startSpread))
	}
	return func() {
		cancel()
		f.running.Wait()
		time.Sleep(time.Second)
	}
}

// replace kills the i-th router and starts the process of a box in its place after a while. The box may be the
// same one.
func (f *startingFleet) replace(i, box int, delay time.Duration) {
	killed := f.routers[i]
	killed.kill()
	<-killed.stopped
	r := f.newRouter(box, false)
	f.network.set(r)
	f.mu.Lock()
	f.routers[i] = r
	f.mu.Unlock()
	f.start(r, delay)
}

// observe records which parts of the routers have become ready, and reports whether all are.
func (f *startingFleet) observe() bool {
	areReady := true
	for _, r := range f.routers {
		areReady = r.observe() && areReady
	}
	return areReady
}

// timesOf returns the times from the starts of the routers until the named part was ready.
func (f *startingFleet) timesOf(part string) []time.Duration {
	var times []time.Duration
	for _, r := range f.routers {
		if took, ok := r.times[part]; ok {
			times = append(times, took)
		}
	}
	return times
}
