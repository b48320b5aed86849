package balance

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/placement"
)

// Canary sends a share of a pool's requests to backend servers of a new version, and the others
// to servers of any other version.
type Canary struct {
	// Version is the new version, Share the fraction of the requests that it gets. With 0 it
	// gets none, even if no other server is available.
	Version string
	Share   float64
}

// CanaryCounts has the outcomes in a pool during a canary, of all routers as far as known: New at
// servers of the canary's version, Old at all others.
type CanaryCounts struct {
	Old, New VersionCounts
}

// VersionCounts counts good responses, and bad ones: those that failed or began several times
// later than usual.
type VersionCounts struct {
	Good, Bad int
}

// canaryState is the Canary of a pool with the outcomes counted for each of its two sides: the
// servers of its version, and all others.
type canaryState struct {
	Canary
	// newSide is for servers of the canary's version, oldSide for all others.
	oldSide, newSide canarySide
}

// canarySide has the counts of one side of a canary, with those that were not sent to other
// routers yet.
type canarySide struct {
	VersionCounts
	unsent VersionCounts
	// key identifies the side in updates, as the hash of the incarnation does a server.
	key uint64
}

// slowFactor times the usual time until a response begins is the limit above which it is slow.
const slowFactor = 3

// add takes counts of any router.
func (c *canarySide) add(good, bad int) {
	c.Good += good
	c.Bad += bad
}

// record counts an outcome of this router, also for the next update.
func (c *canarySide) record(isBad bool) {
	if isBad {
		c.add(0, 1)
		c.unsent.Bad++
		return
	}
	c.add(1, 0)
	c.unsent.Good++
}

// SetCanaries sets the canaries by pool name. The counts of a canary that continues are kept.
func (b *Balancer) SetCanaries(canaries map[string]Canary) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.canaries
	b.canaries = make(map[string]*canaryState, len(canaries))
	for pool, c := range canaries {
		state := known[pool]
		if state == nil || state.Version != c.Version {
			state = &canaryState{
				oldSide: canarySide{
					key: placement.IDHash(pool + "\x00old\x00" + c.Version),
				},
				newSide: canarySide{
					key: placement.IDHash(pool + "\x00new\x00" + c.Version),
				},
			}
		}
		state.Canary = c
		b.canaries[pool] = state
	}
}

// CanaryCounts returns the counts of a pool's canary, or zeros without one.
func (b *Balancer) CanaryCounts(pool string) CanaryCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.canaries[pool]
	if c == nil {
		return CanaryCounts{}
	}
	return CanaryCounts{
		Old: c.oldSide.VersionCounts,
		New: c.newSide.VersionCounts,
	}
}

// splitByVersionLocked returns the servers of a pool that the request may go to according to
// the pool's canary and the versions that are held back.
func (b *Balancer) splitByVersionLocked(pool []*server, request *Request, now time.Time) []*server {
	if request.HasVersion {
		return b.ofVersionLocked(pool, request.Version)
	}
	c, held := b.canaries[request.Pool], b.heldVersionsLocked(request.Pool, now)
	if c == nil && len(held) == 0 {
		return pool
	}
	oldVersion, newVersion := b.scratch.oldVersion[:0], b.scratch.newVersion[:0]
	for _, s := range pool {
		switch {
		case c != nil && s.Version == c.Version:
			newVersion = append(newVersion, s)
		case !held[s.Version]:
			oldVersion = append(oldVersion, s)
		}
	}
	b.scratch.oldVersion, b.scratch.newVersion = oldVersion, newVersion
	if c == nil || c.Share <= 0 {
		return oldVersion
	}
	if len(oldVersion) == 0 || len(newVersion) > 0 && b.Random() < c.Share {
		return newVersion
	}
	return oldVersion
}

// versionsForLocked returns the pool's servers of the versions that the request may go to. For a
// request that names its server, the share of a new version was drawn before: see Withheld.
func (b *Balancer) versionsForLocked(request *Request, now time.Time) []*server {
	pool := b.pools[request.Pool]
	if request.Backend == "" || request.HasVersion {
		return b.splitByVersionLocked(pool, request, now)
	}
	c, held := b.canaries[request.Pool], b.heldVersionsLocked(request.Pool, now)
	if c == nil && len(held) == 0 {
		return pool
	}
	allowed := b.scratch.newVersion[:0]
	for _, s := range pool {
		isNew := c != nil && s.Version == c.Version
		if isNew && c.Share > 0 || !isNew && !held[s.Version] {
			allowed = append(allowed, s)
		}
	}
	b.scratch.newVersion = allowed
	return allowed
}

// recordCanaryResultLocked counts the outcome of a request of this router if its pool has a
// canary. That a server cannot be reached, or ends, says nothing about its version.
func (b *Balancer) recordCanaryResultLocked(lease *Lease, evidence slipwick.Evidence) {
	c := b.canaries[lease.server.Pool]
	if c == nil {
		return
	}
	side := &c.oldSide
	if lease.server.Version == c.Version {
		side = &c.newSide
	}
	switch evidence {
	case slipwick.EvidenceGood:
		side.record(lease.isSlow)
	case slipwick.EvidenceError, slipwick.EvidenceTimeout:
		side.record(true)
	default:
	}
}

// addCanaryCountsLocked adds the unsent canary counts to an update.
func (b *Balancer) addCanaryCountsLocked(update *Update) {
	for _, c := range b.canaries {
		for _, side := range []*canarySide{&c.oldSide, &c.newSide} {
			if side.unsent == (VersionCounts{}) {
				continue
			}
			update.Outcomes = append(update.Outcomes, OutcomeCounts{
				Server: side.key,
				Good:   side.unsent.Good,
				Failed: side.unsent.Bad,
			})
			side.unsent = VersionCounts{}
		}
	}
}

// receiveCanaryCountsLocked takes canary counts of another router.
func (b *Balancer) receiveCanaryCountsLocked(o *OutcomeCounts) {
	for _, c := range b.canaries {
		for _, side := range []*canarySide{&c.oldSide, &c.newSide} {
			if side.key == o.Server {
				side.add(o.Good, o.Failed)
			}
		}
	}
}

// maxVersionHold bounds how long a version is held back that no known rollout names. While the
// store is unavailable nobody can tell whether one does, but then no server can register either.
const maxVersionHold = 2 * time.Second

// recordVersionLocked records a version that appears in a pool. Servers of a rollout's version
// may be listed before the rollout is known, and would get a full share of the requests until
// then.
func (b *Balancer) recordVersionLocked(s *server, isNewlyListed bool) {
	if !b.HoldVersions || s.Version == "" {
		return
	}
	versions := b.versions[s.Pool]
	if versions == nil {
		versions = make(map[string]time.Time)
		b.versions[s.Pool] = versions
	}
	if _, isKnown := versions[s.Version]; isKnown {
		return
	}
	versions[s.Version] = time.Time{}
	if isNewlyListed {
		versions[s.Version] = clock.Now()
	}
}

// heldVersionsLocked returns the versions of a pool that are held back.
func (b *Balancer) heldVersionsLocked(pool string, now time.Time) map[string]bool {
	var held map[string]bool
	for version, since := range b.versions[pool] {
		if !since.IsZero() && since.After(b.rolloutsAsOf) && now.Sub(since) < maxVersionHold {
			if held == nil {
				held = make(map[string]bool)
			}
			held[version] = true
		}
	}
	return held
}

// MarkRolloutsKnown notes that all rollouts are known that the store had at the time asOf. Versions
// that appeared before asOf and are named in none of them are used like any other.
func (b *Balancer) MarkRolloutsKnown(asOf time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if asOf.After(b.rolloutsAsOf) {
		b.rolloutsAsOf = asOf
	}
}
