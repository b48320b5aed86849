package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

const (
	// defaultLoadFactor and loadSlack keep an engine below factor * mean +
	// slack, which leaves room to the promised bound for what other routers
	// send meanwhile.
	defaultLoadFactor = 1.6
	loadSlack         = 2
	// farCost is what a backend server in another data centre costs in the
	// choice among plain services, in requests in flight.
	farCost = 1.5
)

// Balancer chooses among the backend servers of all pools. It is safe for
// concurrent use. Set the exported fields before the first call.
type Balancer struct {
	// DataCentre is the router's own.
	DataCentre string
	// LoadFactor takes its default when zero.
	LoadFactor float64

	mu      sync.Mutex
	servers map[string]*server
	pools   map[string][]*server
	homes   *homes
}

// New makes a balancer without backend servers.
func New(dataCentre string) *Balancer {
	return &Balancer{
		DataCentre: dataCentre,
		LoadFactor: defaultLoadFactor,
		servers:    make(map[string]*server),
		pools:      make(map[string][]*server),
		homes:      newHomes(),
	}
}

// SetBackends takes the whole list of backend servers.
func (b *Balancer) SetBackends(list []Listed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := time.Now()
	if len(b.servers) == 0 {
		// Those of the first list were there before this router.
		since = time.Time{}
	}
	servers := make(map[string]*server, len(list))
	pools := make(map[string][]*server)
	for _, listed := range list {
		s := b.servers[listed.ID]
		if s == nil {
			s = newServer(listed, since)
		}
		s.Listed = listed
		servers[listed.ID] = s
		pools[listed.Pool] = append(pools[listed.Pool], s)
	}
	b.servers, b.pools = servers, pools
}

// Acquire chooses a backend server and counts the request there. The error is
// an *slipwick.Error with OutcomeNotRun.
func (b *Balancer) Acquire(ask *Ask) (*Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	pool := b.pools[ask.Pool]
	usable := usableOf(pool, ask.Avoid, now)
	if len(usable) == 0 {
		return nil, noBackend(ask.Pool)
	}
	var lease *Lease
	if len(ask.Prompt) > 0 {
		lease = b.byPromptLocked(ask.Prompt, pool, usable, now)
	} else {
		lease = leaseOf(b.leastLoaded(usable, now))
	}
	lease.server.inFlight++
	return lease, nil
}

func noBackend(pool string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindNoBackend,
		Message: "no backend server of pool " + pool + " takes requests",
		Remedy:  "check the pool's backend servers; try again after a moment",
		Outcome: slipwick.OutcomeNotRun,
	}
}

func leaseOf(s *server) *Lease {
	return &Lease{
		Backend: s.Backend,
		server:  s,
	}
}

// usableOf gives the backend servers that may get the request; those that are
// left out count when no other is left.
func usableOf(pool []*server, avoid []string, now time.Time) []*server {
	usable := make([]*server, 0, len(pool))
	var out []*server
	for _, s := range pool {
		switch {
		case s.Leaving || slices.Contains(avoid, s.ID):
		case s.isOut(now):
			out = append(out, s)
		default:
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		return out
	}
	return usable
}

// loads gives the load of each backend server: this router's requests and
// those of others, as reported, or the mean of reports where none is fresh.
func loads(servers []*server, now time.Time) (each []float64, mean float64) {
	known, sum := 0, 0
	for _, s := range servers {
		if others, ok := s.others(now); ok {
			known++
			sum += others
		}
	}
	usual := 0.0
	if known > 0 {
		usual = float64(sum) / float64(known)
	}
	each = make([]float64, len(servers))
	for i, s := range servers {
		each[i] = float64(s.inFlight) + usual
		if others, ok := s.others(now); ok {
			each[i] = float64(s.inFlight + others)
		}
		mean += each[i] / float64(len(servers))
	}
	return each, mean
}

// byPromptLocked takes the engines in the order of the prompt's rendezvous
// ranks, which all routers agree on, and of these the first below the bound.
func (b *Balancer) byPromptLocked(parts []uint64, pool, usable []*server, now time.Time) *Lease {
	prompt := parts[len(parts)-1]
	each, mean := loads(usable, now)
	bound := b.LoadFactor*mean + loadSlack
	best, bestScore := -1, uint64(0)
	least := 0
	for i, s := range usable {
		if each[i] < each[least] {
			least = i
		}
		if each[i] >= bound {
			continue
		}
		if score := placement.Score(prompt, s.hash); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		best = least
	}
	lease := leaseOf(usable[best])
	if holder := b.holderLocked(parts, pool, usable[best], now); holder != nil {
		lease.FetchFrom = holder.Address
	}
	b.homes.ran(parts, usable[best])
	return lease
}

// holderLocked gives the engine that most probably has the prompt cached, or
// its first parts, if it is not the chosen one: where this router sent the
// parts, else the best ranked of those that were listed before the chosen one.
func (b *Balancer) holderLocked(parts []uint64, pool []*server, chosen *server, now time.Time) *server {
	usable := func(s *server) bool { return b.servers[s.ID] == s && !s.isOut(now) }
	prompt := parts[len(parts)-1]
	if holder, known := b.homes.holder(parts[len(parts)-1:], chosen, usable); known {
		return holder
	}
	var home *server
	for _, s := range pool {
		if s.isOut(now) || s != chosen && s.since.After(chosen.since) {
			continue
		}
		if s == chosen && now.Sub(s.since) < settledAfter {
			continue
		}
		if home == nil || placement.Score(prompt, s.hash) > placement.Score(prompt, home.hash) {
			home = s
		}
	}
	if home != nil && home != chosen {
		return home
	}
	holder, _ := b.homes.holder(parts[:len(parts)-1], chosen, usable)
	return holder
}

// settledAfter is how long an engine has to be listed for its prompts to count
// as cached there.
const settledAfter = 20 * time.Second

// leastLoaded gives the least loaded, near ones before far ones.
func (b *Balancer) leastLoaded(usable []*server, now time.Time) *server {
	each, _ := loads(usable, now)
	best, bestCost := 0, math.Inf(1)
	for i, s := range usable {
		cost := each[i]
		if s.DataCentre != b.DataCentre {
			cost += farCost
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return usable[best]
}

// Reported takes the load that a backend server told with an answer.
func (b *Balancer) Reported(lease *Lease, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := lease.server
	s.reported = load.Running + load.Waiting
	s.reportedOwn = s.inFlight
	s.reportedAt = time.Now()
}

// Release ends a lease and tells what the request showed.
func (b *Balancer) Release(lease *Lease, evidence slipwick.Evidence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lease.server.inFlight--
	lease.server.observe(evidence, time.Now())
}
