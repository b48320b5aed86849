package exchange

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
)

const (
	// initialQueries is the number of other routers queried before any engine is asked: in a fleet
	// of which half has just restarted, all four routers queried are among that half in one of 16
	// cases.
	initialQueries = 4
	// One in remoteQueryInterval queries goes to a router of any data centre, the others to one of
	// the same data centre, because traffic between data centres is expensive.
	remoteQueryInterval = 3
	// queryTimeout bounds a query to a router, listTimeout the listing of an engine's cache.
	queryTimeout = 200 * time.Millisecond
	listTimeout  = 300 * time.Millisecond
	// unresponsiveTime is how long a router that did not respond to a query is not queried again if
	// there are others: longer than it takes to learn from these what one turn added.
	unresponsiveTime = roundsPerTurn * roundInterval
	// roundInterval is the pause between two rounds, about as long as an engine takes to list its
	// cache. While nothing is learnt, the pause doubles, up to maxRoundIntervals times as long, and
	// counts as that many rounds.
	roundInterval     = 25 * time.Millisecond
	maxRoundIntervals = 4
	// peerWaitRounds is the number of rounds for which a router that knows no others waits for
	// them: routers that start together find each other within some 100 ms.
	peerWaitRounds = 4
	// listsPerRound bounds the engines that a router asks in a round. A router that knows only few
	// of the others yet would otherwise ask engines whose turn belongs to routers it does not know.
	listsPerRound = 3
	// roundsPerTurn is the number of rounds for which an engine is left to the router whose turn it
	// is, until the next router asks it too. That is somewhat longer than listTimeout, and than a
	// result takes to reach all routers: the number of those that know it doubles with each round.
	// Only the routers of the first maxTurns turns ask an engine at all: if all routers asked for
	// what they miss, then after a restart of the whole fleet each engine would have to list its
	// cache for all of them.
	roundsPerTurn = 16
	maxTurns      = 3
	// maxRounds bounds the rounds of one call of learnMissing.
	maxRounds = roundsPerTurn * maxTurns
	// lateEnginePollInterval is how often a router looks for engines that appear late in the list
	// of backend servers, and lateEngineMargin how long after balance.RelistWindow it still does.
	lateEnginePollInterval = 50 * time.Millisecond
	lateEngineMargin       = 500 * time.Millisecond
)

// Recovery builds the cache index of a router that starts: it learns which parts of prompts each
// engine has cached from the other routers, or from the engine itself if no router knows. Routers
// that start together divide the engines among themselves, and query each other for what they
// learnt. Set the exported fields before Run.
type Recovery struct {
	// Self is the router's ID.
	Self       string
	DataCentre string
	Balancer   *balance.Balancer
	// Pools returns the pools of engines.
	Pools func() []string
	// Routers returns the live routers, with or without this one.
	Routers func() []slipwick.Router
	// QueryRouter queries another router for what it knows of the caches of engines.
	QueryRouter func(ctx context.Context, router slipwick.Router, q *balance.CacheQuery) (*balance.CacheSnapshot, error)
	// ListCache asks an engine for the parts in its cache. If it is nil, no engine is asked.
	ListCache func(context.Context, slipwick.Backend) ([]uint64, error)
	// FleetKnown is closed once this router knows the others, since only then does it know which
	// engines it has to ask. If it is nil, it is enough to know one other router.
	FleetKnown <-chan struct{}

	// askedEngines are the engines that were asked so far, abandoned those whose caches were still
	// unknown when the last run of learnMissing gave up, and queries counts the queries to routers.
	// turnOrder is computed again when the known routers have changed.
	// failedAt is when each router last did not respond to a query.
	askedEngines map[string]bool
	abandoned    map[string]bool
	queries      int
	failedAt     map[string]time.Time
	turnOrder    turnOrder
	done         chan struct{}
}

// NewRecovery returns a recovery for the router with this ID. Set the other exported fields before
// Run.
func NewRecovery(self string) *Recovery {
	return &Recovery{
		Self:         self,
		askedEngines: make(map[string]bool),
		failedAt:     make(map[string]time.Time),
		done:         make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has returned.
func (r *Recovery) Done() <-chan struct{} {
	return r.done
}

// Run blocks until the caches of all engines are known, until it gives up on those that are
// missing, or until ctx ends.
func (r *Recovery) Run(ctx context.Context) {
	defer close(r.done)
	r.learnMissing(ctx)
}

// LearnLateEngines learns the caches of engines that appear late in the list of backend servers,
// because their entries had expired while the store was unavailable. Call it after Run. It blocks
// for as long as such engines may appear, or until ctx ends; engines that appear later than that have
// just started, so that their caches are empty.
func (r *Recovery) LearnLateEngines(ctx context.Context) {
	for end := clock.Now().Add(balance.RelistWindow + lateEngineMargin); clock.Now().Before(end); {
		if !sleep(ctx, lateEnginePollInterval) {
			return
		}
		isUntried := func(e slipwick.Backend) bool { return !r.askedEngines[e.ID] && !r.abandoned[e.ID] }
		if slices.ContainsFunc(r.missing(), isUntried) {
			r.learnMissing(ctx)
		}
	}
}

// learnMissing queries routers and engines round after round, until no cache is unknown or maxRounds
// have passed. The rounds are less frequent while nothing is learnt: a few of many engines may never
// respond, and each round has to look at all engines, whether their caches are known or not.
func (r *Recovery) learnMissing(ctx context.Context) {
	previous, intervals := math.MaxInt, 1
	for round := 0; round < maxRounds; round += intervals {
		queries := 1
		if round == 0 {
			queries = initialQueries
		}
		r.queryRouters(ctx, queries)
		missing := r.missing()
		if len(missing) == 0 || ctx.Err() != nil {
			return
		}
		if r.isFleetKnown(round) {
			r.listCaches(ctx, missing, round/roundsPerTurn)
		}
		intervals = min(2*intervals, maxRoundIntervals)
		if len(missing) < previous {
			intervals = 1
		}
		previous = len(missing)
		if !sleep(ctx, time.Duration(intervals)*roundInterval) {
			return
		}
	}
	r.abandoned = make(map[string]bool)
	for _, engine := range r.missing() {
		r.abandoned[engine.ID] = true
	}
}

// isFleetKnown reports whether this router knows enough of the fleet to tell which engines it has
// to ask, or has waited long enough for that.
func (r *Recovery) isFleetKnown(round int) bool {
	if r.FleetKnown != nil {
		select {
		case <-r.FleetKnown:
			return true
		default:
			return round >= roundsPerTurn
		}
	}
	return round >= peerWaitRounds || len(excluding(r.Routers(), r.Self)) > 0
}

// MissingCount returns the number of engines whose caches are not known.
func (r *Recovery) MissingCount() int {
	return len(r.missing())
}

// missing returns the engines whose caches are not known.
func (r *Recovery) missing() []slipwick.Backend {
	var missing []slipwick.Backend
	for _, pool := range r.Pools() {
		missing = append(missing, r.Balancer.EnginesWithUnknownCaches(pool)...)
	}
	return missing
}

// queryRouters queries up to n other routers, one after the other, until nothing is missing.
func (r *Recovery) queryRouters(ctx context.Context, n int) {
	for range n {
		other, ok := r.chooseRouter()
		if !ok {
			return
		}
		query, ok := r.Balancer.CacheQuery(r.Pools())
		if !ok {
			return
		}
		limited, cancel := context.WithTimeout(ctx, queryTimeout)
		snapshot, err := r.QueryRouter(limited, other, &query)
		cancel()
		// A router that doesn't respond is skipped; the next round queries another one.
		if err != nil {
			r.failedAt[other.ID] = clock.Now()
			continue
		}
		r.Balancer.MergeCacheSnapshot(snapshot)
	}
}

// chooseRouter returns another router at random, usually one of the same data centre; false if
// there is no other. It avoids routers that did not respond lately.
func (r *Recovery) chooseRouter() (slipwick.Router, bool) {
	others := r.withoutUnresponsive(excluding(r.Routers(), r.Self))
	r.queries++
	if r.queries%remoteQueryInterval != 0 {
		if local := inDataCentre(others, r.DataCentre); len(local) > 0 {
			others = local
		}
	}
	if len(others) == 0 {
		return slipwick.Router{}, false
	}
	return others[rand.IntN(len(others))], true
}

// withoutUnresponsive returns the routers that did not fail to respond lately, or all if all did.
func (r *Recovery) withoutUnresponsive(routers []slipwick.Router) []slipwick.Router {
	responsive := slices.DeleteFunc(slices.Clone(routers), func(router slipwick.Router) bool {
		failedAt, ok := r.failedAt[router.ID]
		return ok && clock.Since(failedAt) < unresponsiveTime
	})
	if len(responsive) == 0 {
		return routers
	}
	return responsive
}

func inDataCentre(routers []slipwick.Router, dataCentre string) []slipwick.Router {
	var local []slipwick.Router
	for _, router := range routers {
		if router.DataCentre == dataCentre {
			local = append(local, router)
		}
	}
	return local
}

// listCaches asks some of the engines for which this router's turn has come to list their caches,
// in parallel, and waits for their responses.
func (r *Recovery) listCaches(ctx context.Context, engines []slipwick.Backend, turn int) {
	if r.ListCache == nil {
		return
	}
	self := slipwick.Router{
		ID:         r.Self,
		DataCentre: r.DataCentre,
	}
	r.turnOrder.update(self, excluding(r.Routers(), r.Self))
	var listings sync.WaitGroup
	started := 0
	for _, i := range rand.Perm(len(engines)) {
		engine := engines[i]
		if started == listsPerRound {
			break
		}
		if r.askedEngines[engine.ID] || r.turnOrder.turn(&engine) > turn {
			continue
		}
		started++
		r.askedEngines[engine.ID] = true
		listings.Go(func() {
			limited, cancel := context.WithTimeout(ctx, listTimeout)
			defer cancel()
			// The cache of an engine that doesn't respond stays unknown. ListCache logs the reason.
			if parts, err := r.ListCache(limited, engine); err == nil {
				r.Balancer.RecordCachedParts(engine.ID, parts)
			}
		})
	}
	listings.Wait()
}

// sleep waits for a duration; it returns false if ctx ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
