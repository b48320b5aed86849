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
const farCost = 1.5

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

	mu      sync.Mutex
	servers map[string]*server
	pools   map[string][]*server
	homes   *homes
	// hashes finds backend servers by the hash of their ID.
	hashes map[uint64]*server
	// inUse are the servers that there may be something to tell of: of a large pool a
	// router uses few at a time.
	inUse map[*server]bool
	// notices are what backend servers said of themselves, by the hash of their life.
	notices map[uint64]*notices
	// orphans are the lives among these that are no longer listed.
	orphans map[uint64]bool
	// peers are those that tell this router, others counts the routers that they
	// speak for, heard is what they told last, reads and leaving what is to be told
	// them.
	peers   []string
	others  int
	heard   map[string]heard
	reads   []Read
	leaving []uint64
	// readings are the prompts that are read for the first time.
	readings readings
	// paces are what the pools' requests showed.
	paces map[string]*poolPace
	// firstListed is when the first list came; empty says that engines keep
	// nothing at the router's start.
	firstListed time.Time
	empty       bool
	// trials are those of pools, versions when each version turned up in a pool that had
	// none of it; zero if it was there at first. ordersAsOf is as of when orders are known.
	trials     map[string]*trial
	versions   map[string]map[string]time.Time
	ordersAsOf time.Time
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
		DataCentre: dataCentre,
		LoadFactor: DefaultLoadFactor,
		LoadSlack:  DefaultLoadSlack,
		OnLongRead: func() {},
		OnOut:      func(slipwick.Backend, time.Duration) {},
		OnNotice:   func(slipwick.Backend, slipwick.Notice) {},
		Draw:       rand.Float64,
		servers:    make(map[string]*server),
		hashes:     make(map[uint64]*server),
		inUse:      make(map[*server]bool),
		pools:      make(map[string][]*server),
		homes:      newHomes(),
		heard:      make(map[string]heard),
		readings:   make(readings),
		notices:    make(map[uint64]*notices),
		orphans:    make(map[uint64]bool),
		paces:      make(map[string]*poolPace),
		versions:   make(map[string]map[string]time.Time),
		began:      clock.Now(),
	}
}

// Acquire chooses a backend server and counts the request there. The error is
// an *slipwick.Error with OutcomeNotRun.
func (b *Balancer) Acquire(ask *Ask) (*Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acquireLocked(ask, clock.Now())
}

func (b *Balancer) acquireLocked(ask *Ask, now time.Time) (*Lease, error) {
	decay := b.decayLocked(now)
	pool := b.onTrialLocked(b.pools[ask.Pool], ask, now)
	usable := b.usableLocked(pool, ask, now)
	if len(usable) == 0 {
		return nil, b.whyNoneLocked(pool, ask, now)
	}
	var lease *Lease
	if len(ask.Prompt) > 0 {
		lease = b.byPromptLocked(ask, pool, usable, now, decay)
	} else {
		lease = leaseOf(b.leastLoadedLocked(usable, now, decay))
	}
	if b.isColdLocked(lease.server, now) {
		lease.server.coldSends = append(lease.server.coldSends, now)
		// What is sent counts for the second in which it was chosen.
		lease.isCold, lease.Wait, lease.Read = true, 0, nil
	}
	if lease.server.inFlight == 0 {
		lease.server.waitingSince = now
	}
	lease.server.inFlight++
	b.inUse[lease.server] = true
	lease.server.noteSend(decay)
	lease.server.reading += lease.reading
	if lease.hasPrompt && lease.reading >= b.paceLocked(ask.Pool).reading.Tokens(longReadTime) {
		b.OnLongRead()
	}
	return lease, nil
}

// heldBack is when a request is to come back that no backend server may get by the
// operators' will: that changes seldom, and routers learn of it within about a second.
const heldBack = time.Second

// whyNoneLocked tells why no backend server may get the request, and when to come back
// if what keeps them from it is known to end.
func (b *Balancer) whyNoneLocked(pool []*server, ask *Ask, now time.Time) error {
	none := &slipwick.Error{
		Kind:    slipwick.KindNoBackend,
		Message: "no backend server of pool " + ask.Pool + " takes requests",
		Remedy:  "check the pool's backend servers; try again after a moment",
		Outcome: slipwick.OutcomeNotRun,
	}
	leaving, evacuated, elsewhere, resting, rest := 0, 0, 0, 0, time.Duration(0)
	for _, s := range pool {
		switch {
		case !ask.allows(s):
			elsewhere++
		case s.evacuated:
			evacuated++
		case s.isLeaving():
			leaving++
		case s.said.isResting(now):
			if left := s.said.rest(now); resting == 0 || left < rest {
				rest = left
			}
			resting++
		}
	}
	switch {
	case leaving == len(pool) || leaving+evacuated+elsewhere+resting < len(pool):
	case resting > 0:
		none.RetryAfter = rest
		none.Message = "all backend servers of pool " + ask.Pool + " that may get the request want none for now"
		none.Remedy = "come back when the first has rested; add backend servers if it happens often"
	case evacuated > 0:
		none.RetryAfter = heldBack
		none.Message = "all data centres with backend servers of pool " + ask.Pool + " are evacuated"
		none.Remedy = "end an evacuation"
	default:
		none.RetryAfter = heldBack
		none.Message = "no backend server of pool " + ask.Pool + " is in a region that the request may go to"
		none.Remedy = "compare the regions of the route and of the workspace"
	}
	return none
}

func leaseOf(s *server) *Lease {
	return &Lease{
		Backend: s.Backend,
		server:  s,
	}
}

// usableLocked gives the backend servers that may get the request. Cold ones that may
// get it now, and then those that are left out, count when no other is left; those that
// leave or asked for rest do not.
func (b *Balancer) usableLocked(pool []*server, ask *Ask, now time.Time) []*server {
	usable, cold, out := b.scratch.usable[:0], b.scratch.cold[:0], b.scratch.out[:0]
	spared := b.scratch.spared[:0]
	for _, s := range pool {
		switch {
		case s.evacuated:
			spared = append(spared, s)
		case s.isLeaving() || !ask.allows(s) || slices.Contains(ask.Avoid, s.ID):
		case s.said.isResting(now):
			spared = append(spared, s)
		case b.isColdLocked(s, now) && !b.mayGetColdLocked(s, now):
		case b.isOutLocked(s, now):
			out = append(out, s)
		case b.isColdLocked(s, now) && !b.Switches.ColdAsOthers:
			cold = append(cold, s)
		default:
			usable = append(usable, s)
		}
	}
	b.scratch.usable, b.scratch.cold, b.scratch.out, b.scratch.spared = usable, cold, out, spared
	switch {
	case len(usable) > 0:
		return usable
	case len(cold) > 0:
		b.scratch.cold = cold[:0]
		return cold
	case ask.Sound:
		return nil
	}
	return out
}

// leastLoadedLocked gives one of the least loaded, near ones before far ones.
func (b *Balancer) leastLoadedLocked(usable []*server, now time.Time, decay float64) *server {
	costs, _ := b.expectedLocked(usable, now, decay)
	for i, s := range usable {
		if s.DataCentre != b.DataCentre {
			costs[i] += farCost
		}
	}
	return usable[spread(costs, b.unheardLocked(usable, decay), b.Draw())]
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
	lease.server.reading -= lease.reading
	lease.reading = 0
	lease.heardAt = clock.Now()
	lease.server.heardAt = lease.heardAt
	b.endReadingLocked(lease)
}

// Release ends a lease and tells what the request showed.
func (b *Balancer) Release(lease *Lease, evidence slipwick.Evidence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if evidence == slipwick.EvidenceGood && lease.longestPause > 0 {
		b.paceLocked(lease.server.Pool).pauses.Add(float64(lease.longestPause))
	}
	lease.server.inFlight--
	lease.server.reading -= lease.reading
	lease.reading = 0
	b.endReadingLocked(lease)
	b.noteTrialLocked(lease, evidence)
	b.observeLocked(lease.server, evidence, clock.Now())
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
	lease.longestPause = max(lease.longestPause, now.Sub(lease.heardAt))
	lease.heardAt, lease.server.heardAt = now, now
}
