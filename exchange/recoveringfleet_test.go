package exchange

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/placement"
)

const (
	testEngines = 20
	// testParts is the mean number of shared parts that each engine has cached: parts that several
	// prompts have in common.
	testParts = 30
)

// recoveringFleet is a fleet whose routers start one after the other.
type recoveringFleet struct {
	mu      sync.Mutex
	live    []slipwick.Router
	routers map[string]*Recovery
	// lists counts how often each engine listed its cache.
	lists map[string]int
	// partsSent counts the parts in responses to queries between routers, enginesNamed the engines
	// that the queries named.
	partsSent, enginesNamed int
	// unresponsive are the engines that never list their cache.
	unresponsive map[string]bool
	// engines is the number of engines, parts the mean number of shared parts that each has cached,
	// and fleetKnownAfter the time until a router knows the others.
	engines, parts  int
	fleetKnownAfter time.Duration
	// partsByEngine are the parts in each engine's cache, computed at the first call of partsOf.
	partsByEngine map[string][]uint64
}

// partsOf returns the parts in an engine's cache: the shared parts for which the engine ranks first,
// and f.parts ends of prompts, each of a single prompt that was sent there. For the latter the engine
// is not among the first 12, so that the balancer leaves them out of the cache index.
func (f *recoveringFleet) partsOf(engine string) []uint64 {
	if f.partsByEngine != nil {
		return f.partsByEngine[engine]
	}
	f.partsByEngine = make(map[string][]uint64)
	engines := testBackends(f.engines)
	part := uint64(0)
	for ; part < uint64(f.engines*f.parts); part++ {
		id := rankedBy(part, engines)[0]
		f.partsByEngine[id] = append(f.partsByEngine[id], part)
	}
	for _, e := range engines {
		for ends := 0; ends < f.parts && f.engines > 12; part++ {
			if slices.Index(rankedBy(part, engines), e.ID) >= 12 {
				f.partsByEngine[e.ID] = append(f.partsByEngine[e.ID], part)
				ends++
			}
		}
	}
	return f.partsByEngine[engine]
}

// unknownParts counts the shared parts that a router knows no engine for.
func (f *recoveringFleet) unknownParts(r *Recovery) int {
	n := 0
	for part := range uint64(f.engines * f.parts) {
		if !r.Balancer.HasCachedPrompt(&balance.Request{
			Pool: "p",
			Prompt: []balance.Part{
				{
					Key: part,
				},
			},
		}) {
			n++
		}
	}
	return n
}

// rankedBy returns the IDs of the engines in the order of their rank for a part.
func rankedBy(part uint64, engines []balance.Entry) []string {
	ids := make([]string, 0, len(engines))
	scores := make(map[string]uint64, len(engines))
	for _, e := range engines {
		ids = append(ids, e.ID)
		scores[e.ID] = placement.Score(part, placement.IDHash(e.ID))
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(scores[b], scores[a]) })
	return ids
}

func newRecoveringFleet() *recoveringFleet {
	return &recoveringFleet{
		routers:      make(map[string]*Recovery),
		lists:        make(map[string]int),
		unresponsive: make(map[string]bool),
		engines:      testEngines,
		parts:        testParts,
	}
}

func dataCentreOf(i int) string { return fmt.Sprint("dc-", i%4) }

var errUnresponsive = errors.New("unresponsive")

// testBackends returns the first n engines.
func testBackends(n int) []balance.Entry {
	var backends []balance.Entry
	for i := range n {
		backends = append(backends, balance.Entry{
			Backend: slipwick.Backend{
				ID:         fmt.Sprintf("engine-%d", i),
				DataCentre: dataCentreOf(i),
			},
			Pool: "p",
		})
	}
	return backends
}

// add adds a live router that knows the engines but none of their caches. The caller has to run its
// recovery.
func (f *recoveringFleet) add(id string) *Recovery {
	r := NewRecovery(id)
	r.DataCentre = dataCentreOf(len(f.routers))
	r.Balancer = balance.New(r.DataCentre)
	r.Balancer.SetBackends(testBackends(f.engines))
	if f.fleetKnownAfter > 0 {
		fleetKnown := make(chan struct{})
		time.AfterFunc(f.fleetKnownAfter, func() { close(fleetKnown) })
		r.FleetKnown = fleetKnown
	}
	r.Pools = func() []string { return []string{"p"} }
	r.Routers = func() []slipwick.Router {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.live
	}
	r.QueryRouter = func(
		_ context.Context, router slipwick.Router, q *balance.CacheQuery,
	) (*balance.CacheSnapshot, error) {
		time.Sleep(3 * time.Millisecond)
		f.mu.Lock()
		other := f.routers[router.ID]
		f.mu.Unlock()
		if other == nil {
			return nil, errUnresponsive
		}
		q = decodeQuery(encodeQuery(q))
		snapshot := other.Balancer.CacheSnapshot(q)
		f.mu.Lock()
		f.enginesNamed += len(q.Known) + len(q.Wanted)
		f.partsSent += len(snapshot.CachedParts)
		f.mu.Unlock()
		return &snapshot, nil
	}
	r.ListCache = func(ctx context.Context, engine slipwick.Backend) ([]uint64, error) {
		f.mu.Lock()
		f.lists[engine.ID]++
		isUnresponsive := f.unresponsive[engine.ID]
		f.mu.Unlock()
		if isUnresponsive {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.partsOf(engine.ID), nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers[id] = r
	f.live = append(f.live[:len(f.live):len(f.live)], slipwick.Router{
		ID:         id,
		DataCentre: r.DataCentre,
	})
	return r
}

// listedEngines returns the number of engines that listed their cache.
func (f *recoveringFleet) listedEngines() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lists)
}

// startAll starts routers with a pause after each, and waits until all have recovered.
func (f *recoveringFleet) startAll(t *testing.T, n int, pause time.Duration) []*Recovery {
	t.Helper()
	var started []*Recovery
	for i := range n {
		r := f.add(fmt.Sprint("r", i))
		started = append(started, r)
		go r.Run(t.Context())
		time.Sleep(pause)
	}
	for _, r := range started {
		<-r.Done()
	}
	return started
}
