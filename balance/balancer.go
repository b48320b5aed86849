package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// farCost is what a backend server in another data centre costs in the choice among
// plain services, in requests in flight.
const remoteDataCentreCost = 1.5

// Balancer chooses among the backend servers of all pools. It is safe for
// concurrent use. Set the exported fields before the first call.
type Balancer struct {
	// DataCentre is the router's own.
	DataCentre string
	// LoadFactor and LoadSlack are the promise on an engine's load: at most the
	// factor times the pool's mean, and the slack. New sets the defaults.
	LoadFactor float64
	LoadSlack  float64
	// OnLongRead is called when an engine gets a long prompt to read, which
	// delays all else there: other routers are to know soon. It must not call
	// back.
	OnLongRead func()
	// OnOut is told of each backend server that is left out for a while, and
	// for how long. It must not call back.
	OnOut func(backend slipwick.Backend, wait time.Duration)
	// OnNotice is told of what a backend server says of itself that was not known. It
	// must not call back.
	OnNotice func(backend slipwick.Backend, notice slipwick.Notice)
	// InPlace says that backend servers may be replaced under the same entry, as in a
	// list that operators write: what one said of its leaving then lapses.
	InPlace bool
	// HoldVersions has servers of a version that is new in its pool wait until it is known
	// whether an order names it.
	HoldVersions bool
	// Switches are for comparisons.
	Switches Switches
	// Draw gives a number from 0 to 1 by chance. New sets the default.
	Draw func() float64

	mu         sync.Mutex
	servers    map[string]*server
	pools      map[string][]*server
	cacheIndex *cacheIndex
	// hashes finds backend servers by the hash of their ID.
	hashes map[uint64]*server
	// inUse are the servers that there may be something to tell of: of a large pool a
	// router uses few at a time.
	active map[*server]bool
	// notices are what backend servers said of themselves, by the hash of their life.
	notices map[uint64]*notices
	// orphans are the lives among these that are no longer listed.
	unlistedNotices map[uint64]bool
	// peers are those that tell this router, others counts the routers that they
	// speak for, heard is what they told last, reads and leaving what is to be told
	// them.
	peers          []string
	otherRouters   int
	countsByRouter map[string]remoteCounts
	pendingReads   []Read
	pendingLeaving []uint64
	// prefills are the prompts that are read for the first time.
	prefills prefills
	// paces are what the pools' requests showed.
	paces map[string]*poolPace
	// firstListed is when the first list came; empty says that engines keep
	// nothing at the router's start.
	firstListed time.Time
	empty       bool
	// canaries are those of pools, versions when each version turned up in a pool that had
	// none of it; zero if it was there at first. ordersAsOf is as of when orders are known.
	canaries     map[string]*canaryState
	versions     map[string]map[string]time.Time
	rolloutsAsOf time.Time
	// evacuated are the data centres whose servers get nothing new.
	evacuated map[string]bool
	// coldLimits bound what cold servers get, by pool, began is when the balancer was
	// made.
	coldLimits map[string]ColdLimit
	ranking    routerRanking
	began      time.Time
	// sendsFrom is the moment that the servers' sends are counted for.
	sendsFrom time.Time
	scratch   scratch
}

// New makes a balancer without backend servers.
func New(dataCentre string) *Balancer {
	return &Balancer{
		DataCentre:      dataCentre,
		LoadFactor:      DefaultLoadFactor,
		LoadSlack:       DefaultLoadSlack,
		OnLongRead:      func() {},
		OnOut:           func(slipwick.Backend, time.Duration) {},
		OnNotice:        func(slipwick.Backend, slipwick.Notice) {},
		Draw:            rand.Float64,
		servers:         make(map[string]*server),
		hashes:          make(map[uint64]*server),
		active:          make(map[*server]bool),
		pools:           make(map[string][]*server),
		cacheIndex:      newCacheIndex(),
		countsByRouter:  make(map[string]remoteCounts),
		prefills:        make(prefills),
		notices:         make(map[uint64]*notices),
		unlistedNotices: make(map[uint64]bool),
		paces:           make(map[string]*poolPace),
		versions:        make(map[string]map[string]time.Time),
		began:           clock.Now(),
	}
}

// Acquire chooses a backend server and counts the request there. The error is
// an *slipwick.Error with OutcomeNotRun.
func (b *Balancer) Acquire(request *Ask) (*Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acquireLocked(request, clock.Now())
}

func (b *Balancer) acquireLocked(request *Ask, now time.Time) (*Lease, error) {
	decay := b.decayLocked(now)
	pool := b.splitByVersionLocked(b.pools[request.Pool], request, now)
	usable := b.usableLocked(pool, request, now)
	if len(usable) == 0 {
		return nil, b.noBackendErrorLocked(pool, request, now)
	}
	var lease *Lease
	if len(request.Prompt) > 0 {
		lease = b.chooseByPromptLocked(request, pool, usable, now, decay)
	} else {
		lease = newLease(b.leastLoadedLocked(usable, now, decay))
	}
	if b.isColdLocked(lease.server, now) {
		lease.server.coldSends = append(lease.server.coldSends, now)
		// What is sent counts for the second in which it was chosen.
		lease.isCold, lease.Wait, lease.Read = true, 0, nil
	}
	if lease.server.inFlight == 0 {
		lease.server.busySince = now
	}
	lease.server.inFlight++
	b.active[lease.server] = true
	lease.server.recordSend(decay)
	lease.server.prefillTokens += lease.pendingPrefill
	if lease.hasPrompt && lease.pendingPrefill >= b.paceLocked(request.Pool).prefill.Tokens(longPrefillTime) {
		b.OnLongRead()
	}
	return lease, nil
}

// heldBack is when a request is to come back that no backend server may get by the
// operators' will: that changes seldom, and routers learn of it within about a second.
const withheldRetryDelay = time.Second

// whyNoneLocked tells why no backend server may get the request, and when to come back
// if what keeps them from it is known to end.
func (b *Balancer) noBackendErrorLocked(pool []*server, request *Ask, now time.Time) error {
	none := &slipwick.Error{
		Kind:    slipwick.KindNoBackend,
		Message: "no backend server of pool " + request.Pool + " takes requests",
		Remedy:  "check the pool's backend servers; try again after a moment",
		Outcome: slipwick.OutcomeNotRun,
	}
	leaving, evacuated, elsewhere, resting, rest := 0, 0, 0, 0, time.Duration(0)
	for _, s := range pool {
		switch {
		case !request.allows(s):
			elsewhere++
		case s.evacuated:
			evacuated++
		case s.isLeaving():
			leaving++
		case s.notices.isResting(now):
			if left := s.notices.rest(now); resting == 0 || left < rest {
				rest = left
			}
			resting++
		}
	}
	switch {
	case leaving == len(pool) || leaving+evacuated+elsewhere+resting < len(pool):
	case resting > 0:
		none.RetryAfter = rest
		none.Message = "all backend servers of pool " + request.Pool + " that may get the request want none for now"
		none.Remedy = "come back when the first has rested; add backend servers if it happens often"
	case evacuated > 0:
		none.RetryAfter = withheldRetryDelay
		none.Message = "all data centres with backend servers of pool " + request.Pool + " are evacuated"
		none.Remedy = "end an evacuation"
	default:
		none.RetryAfter = withheldRetryDelay
		none.Message = "no backend server of pool " + request.Pool + " is in a region that the request may go to"
		none.Remedy = "compare the regions of the route and of the workspace"
	}
	return none
}

func newLease(s *server) *Lease {
	return &Lease{
		Backend: s.Backend,
		server:  s,
	}
}

// usableLocked gives the backend servers that may get the request. Cold ones that may
// get it now, and then those that are left out, count when no other is left; those that
// leave or asked for rest do not.
func (b *Balancer) usableLocked(pool []*server, request *Ask, now time.Time) []*server {
	usable, cold, out := b.scratch.usable[:0], b.scratch.cold[:0], b.scratch.ejected[:0]
	paused := b.scratch.paused[:0]
	for _, s := range pool {
		switch {
		case s.evacuated:
			paused = append(paused, s)
		case s.isLeaving() || !request.allows(s) || slices.Contains(request.Avoid, s.ID):
		case s.notices.isResting(now):
			paused = append(paused, s)
		case b.isColdLocked(s, now) && !b.maySendToColdLocked(s, now):
		case b.isUnavailableLocked(s, now):
			out = append(out, s)
		case b.isColdLocked(s, now) && !b.Switches.ColdAsOthers:
			cold = append(cold, s)
		default:
			usable = append(usable, s)
		}
	}
	b.scratch.usable, b.scratch.cold, b.scratch.ejected, b.scratch.paused = usable, cold, out, paused
	switch {
	case len(usable) > 0:
		return usable
	case len(cold) > 0:
		b.scratch.cold = cold[:0]
		return cold
	case request.Sound:
		return nil
	}
	return out
}

// leastLoadedLocked gives one of the least loaded, near ones before far ones.
func (b *Balancer) leastLoadedLocked(usable []*server, now time.Time, decay float64) *server {
	costs, _ := b.expectedLoadsLocked(usable, now, decay)
	for i, s := range usable {
		if s.DataCentre != b.DataCentre {
			costs[i] += remoteDataCentreCost
		}
	}
	return usable[chooseByWaterFilling(costs, b.unreportedRequestsLocked(usable, decay), b.Draw())]
}

// Reported takes the load that a backend server told with an answer.
func (b *Balancer) Reported(lease *Lease, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := lease.server
	s.reported = load.Running + load.Waiting
	s.reportedOwn = s.inFlight
	s.reportedAt = clock.Now()
}

// Began notes that a backend server has begun to answer, and so has read the
// prompt.
func (b *Balancer) Began(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lease.server.prefillTokens -= lease.pendingPrefill
	lease.pendingPrefill = 0
	lease.lastActivityAt = clock.Now()
	lease.server.lastActivityAt = lease.lastActivityAt
	b.endPrefillLocked(lease)
}

// Release ends a lease and tells what the request showed.
func (b *Balancer) Release(lease *Lease, evidence slipwick.Evidence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if evidence == slipwick.EvidenceGood && lease.longestPause > 0 {
		b.paceLocked(lease.server.Pool).pauses.Add(float64(lease.longestPause))
	}
	lease.server.inFlight--
	lease.server.prefillTokens -= lease.pendingPrefill
	lease.pendingPrefill = 0
	b.endPrefillLocked(lease)
	b.recordCanaryResultLocked(lease, evidence)
	b.recordEvidenceLocked(lease.server, evidence, clock.Now())
}

// Abandon gives a lease back that nothing was sent for.
func (b *Balancer) Abandon(lease *Lease) {
	b.Release(lease, slipwick.EvidenceNone)
}

// Heard notes that the backend server goes on with an answer.
func (b *Balancer) Heard(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	lease.longestPause = max(lease.longestPause, now.Sub(lease.lastActivityAt))
	lease.lastActivityAt, lease.server.lastActivityAt = now, now
}
