package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// remoteDataCentreCost is added to the load of a server in another data centre when a server of a
// plain service is chosen, in requests in flight.
const remoteDataCentreCost = 1.5

// Balancer chooses among the backend servers of all pools. It is safe for concurrent use. Set
// the exported fields before the first call.
type Balancer struct {
	// DataCentre is the data centre of this router.
	DataCentre string
	// LoadFactor and LoadSlack bound the load of an engine to LoadFactor times the pool's mean
	// load plus LoadSlack requests. New sets the defaults.
	LoadFactor float64
	LoadSlack  float64
	// OnLongPrefill is called when an engine gets a long prompt to prefill, which delays all
	// other requests there, so that other routers can be informed soon. It must not call back
	// into the balancer.
	OnLongPrefill func()
	// OnEjected is called for each backend server that is ejected, with the duration. It must
	// not call back into the balancer.
	OnEjected func(backend slipwick.Backend, wait time.Duration)
	// OnNotice is called when a backend server announces something about itself that was not
	// known. It must not call back into the balancer.
	OnNotice func(backend slipwick.Backend, notice slipwick.Notice)
	// OnBrittle is called when the servers of a pool begin to say that they are brittle, with the number of
	// rejections within a second above which one falls over. It must not call back into the balancer.
	OnBrittle func(pool string, rejections int)
	// OnInvalidPace is called with the text of the first invalid pace that a backend server reports.
	// It must not call back into the balancer.
	OnInvalidPace func(backend slipwick.Backend, text string)
	// OnRemotePace is called when another router has received the pace of a backend server that this
	// router knows.
	OnRemotePace func()
	// EntriesReused says that a backend server may be replaced by another under the same entry,
	// as in a list that operators write. A server's announcement that it is leaving then
	// expires.
	EntriesReused bool
	// HoldVersions holds back servers of a version that is new in its pool until it is known
	// whether a rollout names that version.
	HoldVersions bool
	// Switches select alternative decisions for comparisons.
	Switches Switches
	// Connections knows the idle connections to backend servers. If it is nil, they don't matter.
	Connections slipwick.ConnectionSource
	// Random returns a random number in [0, 1). New sets the default.
	Random func() float64

	mu            sync.Mutex
	servers       map[string]*server
	pools         map[string][]*server
	cacheIndex    *cacheIndex
	promptSpreads *promptSpreads
	// serversByHash has the backend servers by the hash of their incarnation.
	serversByHash map[uint64]*server
	// active has the servers that an update to other routers may have to mention. A router uses
	// only a few servers of a large pool at a time.
	active map[*server]bool
	// notices has what backend servers announced about themselves, by the hash of their
	// incarnation.
	notices map[uint64]*notices
	// unlistedNotices has the keys of notices whose incarnation is no longer listed.
	unlistedNotices map[uint64]bool
	// peers are the IDs of the senders whose updates this router receives: other routers, hubs that
	// add up the counts of several routers, or a single ID for the sum of all other routers.
	// otherRouters is the number of routers that these represent, countsByPeer has their latest
	// counts. pendingCachedParts and pendingLeaving are what the next update to them will contain.
	peers              []string
	otherRouters       int
	countsByPeer       map[string]remoteCounts
	pendingCachedParts []CachedPart
	pendingLeaving     []uint64
	// prefills has the prompts that an engine prefills for the first time.
	prefills prefills
	// timings has the response times measured for each pool.
	timings map[string]*poolTimings
	// firstListAt is when the first list was received. startedEmpty says that no engine had anything
	// cached when the router started.
	firstListAt  time.Time
	startedEmpty bool
	// canaries has the canary of each pool. versions has, by pool and version, when the version
	// first appeared, zero if its servers may have been running before the router. All rollouts
	// that the store had at rolloutsAsOf are known.
	canaries     map[string]*canaryState
	versions     map[string]map[string]time.Time
	rolloutsAsOf time.Time
	// versionHistory has the versions that are not listed any more.
	versionHistory versionHistory
	// evacuated has the data centres whose servers get no new requests.
	evacuated map[string]bool
	// coldLimits has the limit for cold servers of each pool, createdAt is when the balancer was
	// created.
	coldLimits map[string]ColdLimit
	ranking    routerRanking
	createdAt  time.Time
	// sendsFrom is the time to which the servers' decayed send counts refer.
	sendsFrom time.Time
	scratch   scratch
	// speedAware says that the speed of servers decides where requests go.
	speedAware bool
	// prefersConnected says that plain services prefer servers with idle connections.
	prefersConnected bool
	// brittleUntil has until when the servers of a pool count as brittle, refusals the counts of its requests, throttles
	// what is throttled of them.
	brittleUntil map[string]time.Time
	refusals     map[string]*refusals
	throttles    map[string]*throttle
	// slowServers has the servers whose load weight is above 1.
	slowServers map[*server]bool
	// positionIndex and positionCount are the position of this router among those of its data centre;
	// the count is 0 until it is known. rings has the servers by pool and data centre in an order that
	// is the same at all routers, once it was needed. choices counts the choices of a preferred server.
	positionIndex, positionCount int
	rings                        map[string]map[string][]*server
	choices                      uint64
}

// New returns a balancer without backend servers.
func New(dataCentre string) *Balancer {
	return &Balancer{
		DataCentre:      dataCentre,
		LoadFactor:      DefaultLoadFactor,
		LoadSlack:       DefaultLoadSlack,
		OnLongPrefill:   func() {},
		OnEjected:       func(slipwick.Backend, time.Duration) {},
		OnNotice:        func(slipwick.Backend, slipwick.Notice) {},
		OnBrittle:       func(string, int) {},
		brittleUntil:    make(map[string]time.Time),
		refusals:        make(map[string]*refusals),
		throttles:       make(map[string]*throttle),
		OnInvalidPace:   func(slipwick.Backend, string) {},
		OnRemotePace:    func() {},
		Random:          rand.Float64,
		servers:         make(map[string]*server),
		serversByHash:   make(map[uint64]*server),
		active:          make(map[*server]bool),
		pools:           make(map[string][]*server),
		cacheIndex:      newCacheIndex(),
		promptSpreads:   newPromptSpreads(),
		countsByPeer:    make(map[string]remoteCounts),
		prefills:        make(prefills),
		notices:         make(map[uint64]*notices),
		unlistedNotices: make(map[uint64]bool),
		timings:         make(map[string]*poolTimings),
		versions:        make(map[string]map[string]time.Time),
		versionHistory:  make(versionHistory),
		createdAt:       clock.Now(),
		slowServers:     make(map[*server]bool),
		rings:           make(map[string]map[string][]*server),
	}
}

// Acquire chooses a backend server and counts the request there. The error is a *slipwick.Error
// with OutcomeNotRun.
func (b *Balancer) Acquire(request *Request) (*Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acquireLocked(request, clock.Now())
}

func (b *Balancer) acquireLocked(request *Request, now time.Time) (*Lease, error) {
	decay := b.decayLocked(now)
	pool := b.versionsForLocked(request, now)
	usable := b.usableLocked(pool, request, now)
	if request.Backend != "" {
		usable = b.namedLocked(request, usable, now, decay)
		if len(usable) == 0 {
			return nil, namedBackendError(request)
		}
	}
	if len(usable) == 0 {
		return nil, b.noBackendErrorLocked(pool, request, now)
	}
	if request.HasVersion && len(request.Prompt) > 0 {
		if usable = b.belowPoolBoundLocked(usable, request, now, decay); len(usable) == 0 {
			return nil, versionOverloadedError(request)
		}
	}
	if usable = b.withRoomLocked(usable, request, now); len(usable) == 0 {
		return nil, b.noRoomErrorLocked(request.Pool, now)
	}
	var lease *Lease
	if len(request.Prompt) > 0 {
		lease = b.chooseByPromptLocked(request, pool, usable, now, decay)
	} else {
		drawn := b.leastLoadedLocked(usable, now, decay)
		lease = newLease(b.preferConnectedLocked(request, usable, drawn, now))
		lease.drawn = drawn
	}
	if b.isColdLocked(lease.server, now) {
		lease.server.coldSends = append(lease.server.coldSends, now)
		// The request counts towards the limit for the second in which the server was chosen,
		// so it must not wait for a prefill.
		lease.isCold, lease.Wait, lease.PrefillDone = true, 0, nil
	}
	b.noteLoadLocked(lease, now)
	if !lease.server.isBusy() {
		lease.server.busySince = now
	}
	lease.server.inFlight++
	lease.server.recordProbe(now)
	lease.pathLosses = lease.server.pathLosses
	b.active[lease.server] = true
	lease.drawn.countSend(decay)
	lease.server.prefillTokens += lease.pendingPrefill
	if lease.hasPrompt && lease.pendingPrefill >= b.timingsLocked(request.Pool).prefill.TokensWithin(longPrefillTime) {
		b.OnLongPrefill()
	}
	return lease, nil
}

// withheldRetryDelay is the Retry-After for requests whose backend servers are all excluded by
// configuration or evacuation. That changes seldom, and routers learn of a change within about
// a second.
const withheldRetryDelay = time.Second

// noBackendErrorLocked returns an error that says why no backend server may get the request,
// with a Retry-After if the reason is known to end.
func (b *Balancer) noBackendErrorLocked(pool []*server, request *Request, now time.Time) error {
	err := &slipwick.Error{
		Kind:    slipwick.KindNoBackend,
		Message: "no backend server of pool " + request.Pool + " accepts requests",
		Remedy:  "check the pool's backend servers; retry after a moment",
		Outcome: slipwick.OutcomeNotRun,
	}
	leaving, evacuated, otherRegion, paused, pause := 0, 0, 0, 0, time.Duration(0)
	for _, s := range pool {
		switch {
		case !request.allows(s):
			otherRegion++
		case s.evacuated:
			evacuated++
		case s.isLeaving():
			leaving++
		case s.notices.isPaused(now):
			if left := s.notices.remainingPause(now); paused == 0 || left < pause {
				pause = left
			}
			paused++
		}
	}
	switch {
	// The general error stays if all servers are leaving, or some are ejected, cold or excluded.
	case leaving == len(pool) || leaving+evacuated+otherRegion+paused < len(pool):
	case paused > 0:
		err.RetryAfter = pause
		err.Message = "all backend servers of pool " + request.Pool + " that may get the request asked for a pause"
		err.Remedy = "retry when the first pause is over; add backend servers if this happens often"
	case evacuated > 0:
		err.RetryAfter = withheldRetryDelay
		err.Message = "all data centres with backend servers of pool " + request.Pool + " are evacuated"
		err.Remedy = "end the evacuation of a data centre"
	default:
		err.RetryAfter = withheldRetryDelay
		err.Message = "no backend server of pool " + request.Pool + " is in a region that the request allows"
		err.Remedy = "compare the allowed regions of the route and of the workspace with those of the backend servers"
	}
	return err
}

func newLease(s *server) *Lease {
	return &Lease{
		Backend: s.Backend,
		Version: s.Version,
		server:  s,
		drawn:   s,
	}
}

// usableLocked returns the backend servers that may get the request. If no other is left, it
// returns the cold ones with capacity left in their limit, and failing these the ejected and
// unresponsive ones unless the request is HealthyOnly, but never those that are leaving, evacuated
// or asked for a pause. The slice is valid until the next call.
func (b *Balancer) usableLocked(pool []*server, request *Request, now time.Time) []*server {
	usable, cold, unavailable := b.scratch.usable[:0], b.scratch.cold[:0], b.scratch.unavailable[:0]
	evacuatedOrPaused := b.scratch.evacuatedOrPaused[:0]
	mayUseAll := request.mayUseAll()
	for _, s := range pool {
		switch {
		case s.isOrdinary() && (mayUseAll || request.mayUse(s)):
			usable = append(usable, s)
		case s.evacuated:
			evacuatedOrPaused = append(evacuatedOrPaused, s)
		case s.isLeaving() || !request.mayUse(s):
		case s.notices.isPaused(now):
			evacuatedOrPaused = append(evacuatedOrPaused, s)
		case b.isColdLocked(s, now) && !b.maySendToColdLocked(s, now):
		case s.isUnreachable(now):
		case b.isUnavailableLocked(s, now):
			unavailable = append(unavailable, s)
		case b.isColdLocked(s, now) && !b.Switches.ColdAsOthers:
			cold = append(cold, s)
		default:
			usable = append(usable, s)
		}
	}
	b.scratch.usable, b.scratch.cold, b.scratch.unavailable, b.scratch.evacuatedOrPaused =
		usable, cold, unavailable, evacuatedOrPaused
	return b.bestOf(usable, cold, unavailable, request.HealthyOnly)
}

// bestOf returns the usable servers, or else the cold ones, or else the unavailable ones unless the
// request is healthyOnly.
func (b *Balancer) bestOf(usable, cold, unavailable []*server, healthyOnly bool) []*server {
	switch {
	case len(usable) > 0:
		return usable
	case len(cold) > 0:
		b.scratch.cold = cold[:0]
		return cold
	case healthyOnly:
		return nil
	}
	return unavailable
}

// leastLoadedLocked returns one of the least loaded servers, with a preference for the router's
// own data centre.
func (b *Balancer) leastLoadedLocked(usable []*server, now time.Time, decay float64) *server {
	if pool := usable[0].Pool; b.isBrittleLocked(pool, now) && b.isThrottledLocked(pool, now) {
		return b.randomLocked(usable)
	}
	if b.speedAware {
		return b.shortestDelayLocked(usable, now, decay)
	}
	costs, _ := b.expectedLoadsLocked(usable, now, decay)
	for i, s := range usable {
		if s.DataCentre != b.DataCentre {
			costs[i] += remoteDataCentreCost
		}
	}
	return usable[chooseByWaterFilling(costs, b.unreportedRequestsLocked(usable, decay), b.Random())]
}

// RecordResponseStart notes that a backend server has begun to respond and thus has finished
// the prefill.
func (b *Balancer) RecordResponseStart(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lease.server.unreachableUntil = time.Time{}
	lease.server.prefillTokens -= lease.pendingPrefill
	lease.pendingPrefill = 0
	lease.lastActivityAt = clock.Now()
	lease.server.lastActivityAt = lease.lastActivityAt
	b.endPrefillLocked(lease)
}

// Release ends a lease and records the outcome of its request.
func (b *Balancer) Release(lease *Lease, evidence slipwick.Evidence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	if evidence == slipwick.EvidenceGood {
		b.recordStayLocked(lease, now)
		if lease.longestGap > 0 {
			b.timingsLocked(lease.server.Pool).streamGaps.Add(float64(lease.longestGap))
		}
	}
	lease.server.inFlight--
	lease.endSilence()
	lease.endPause()
	lease.server.prefillTokens -= lease.pendingPrefill
	lease.pendingPrefill = 0
	b.endPrefillLocked(lease)
	b.recordCanaryResultLocked(lease, evidence)
	b.recordEvidenceLocked(lease.server, evidence, now)
}

// Abandon ends a lease for which no request was sent.
func (b *Balancer) Abandon(lease *Lease) {
	b.Release(lease, slipwick.EvidenceNone)
}

// RecordActivity notes that the backend server has sent more of a response that is no stream.
func (b *Balancer) RecordActivity(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lease.lastActivityAt = clock.Now()
	lease.server.lastActivityAt = lease.lastActivityAt
}

// RecordProgress notes that the backend server has sent more of its response, which is a stream.
func (b *Balancer) RecordProgress(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	lease.longestGap = max(lease.longestGap, now.Sub(lease.lastActivityAt))
	lease.lastActivityAt, lease.server.lastActivityAt = now, now
}
