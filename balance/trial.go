package balance

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/placement"
)

// Trial has a part of a pool's requests go to backend servers of a new version, and the others
// to those of any other one.
type Trial struct {
	// Version is the new one, Share the part of the requests that it gets: with 0 it gets
	// none, whatever becomes of the others.
	Version string
	Share   float64
}

// TrialCounts are a pool's answers during a trial, of all routers as far as told.
type TrialCounts struct {
	Old, New VersionCounts
}

// VersionCounts are answers that came well, and those that failed or came several times
// slower than usual.
type VersionCounts struct {
	Good, Bad int
}

// canaryState is a Trial with what it has shown.
type canaryState struct {
	Trial
	// stable and canary are the counts of both sides.
	stable, canary versionCounts
}

// versionCounts are those of one side, with what is yet to be told to other routers.
type versionCounts struct {
	VersionCounts
	unsent VersionCounts
	// key names the side to other routers, as the hash of a server's life does a server.
	key uint64
}

// slowFactor times the usual time until such a request's answer begins is slow.
const slowFactor = 3

func (c *versionCounts) add(good, bad int) {
	c.Good += good
	c.Bad += bad
}

func (c *versionCounts) record(isBad bool) {
	if isBad {
		c.add(0, 1)
		c.unsent.Bad++
		return
	}
	c.add(1, 0)
	c.unsent.Good++
}

// SetTrials takes the trials of pools, by name. What was counted for one that goes on is kept.
func (b *Balancer) SetTrials(trials map[string]Trial) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.canaries
	b.canaries = make(map[string]*canaryState, len(trials))
	for pool, t := range trials {
		entry := known[pool]
		if entry == nil || entry.Version != t.Version {
			entry = &canaryState{
				stable: versionCounts{
					key: placement.IDHash(pool + "\x00old\x00" + t.Version),
				},
				canary: versionCounts{
					key: placement.IDHash(pool + "\x00new\x00" + t.Version),
				},
			}
		}
		entry.Trial = t
		b.canaries[pool] = entry
	}
}

// TrialCounts gives what a pool's trial has shown; zero without one.
func (b *Balancer) TrialCounts(pool string) TrialCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.canaries[pool]
	if t == nil {
		return TrialCounts{}
	}
	return TrialCounts{
		Old: t.stable.VersionCounts,
		New: t.canary.VersionCounts,
	}
}

// onTrialLocked gives the servers of a pool that the request may go to by the pool's trial,
// and by which versions are held.
func (b *Balancer) splitByVersionLocked(pool []*server, request *Ask, now time.Time) []*server {
	t, held := b.canaries[request.Pool], b.heldVersionsLocked(request.Pool, now)
	if t == nil && len(held) == 0 {
		return pool
	}
	old, canary := b.scratch.stable[:0], b.scratch.canary[:0]
	for _, s := range pool {
		switch {
		case t != nil && s.Version == t.Version:
			canary = append(canary, s)
		case !held[s.Version]:
			old = append(old, s)
		}
	}
	b.scratch.stable, b.scratch.canary = old, canary
	if t == nil || t.Share <= 0 {
		return old
	}
	if len(old) == 0 || len(canary) > 0 && b.Draw() < t.Share {
		return canary
	}
	return old
}

// noteTrialLocked takes how a request of this router ended, if its pool has a trial. Servers
// that can't be reached or end tell nothing of their version.
func (b *Balancer) recordCanaryResultLocked(lease *Lease, evidence slipwick.Evidence) {
	t := b.canaries[lease.server.Pool]
	if t == nil {
		return
	}
	side := &t.stable
	if lease.server.Version == t.Version {
		side = &t.canary
	}
	switch evidence {
	case slipwick.EvidenceGood:
		side.record(lease.isSlow)
	case slipwick.EvidenceError, slipwick.EvidenceTimeout:
		side.record(true)
	default:
	}
}

// tellTrialsLocked adds what is to be told of trials to what is told of servers.
func (b *Balancer) addCanaryCountsLocked(told *Told) {
	for _, t := range b.canaries {
		for _, side := range []*versionCounts{&t.stable, &t.canary} {
			if side.unsent == (VersionCounts{}) {
				continue
			}
			told.Outcomes = append(told.Outcomes, Outcomes{
				Server: side.key,
				Good:   side.unsent.Good,
				Failed: side.unsent.Bad,
			})
			side.unsent = VersionCounts{}
		}
	}
}

// hearTrialLocked takes what another router told of a trial.
func (b *Balancer) receiveCanaryCountsLocked(o *Outcomes) {
	for _, t := range b.canaries {
		for _, side := range []*versionCounts{&t.stable, &t.canary} {
			if side.key == o.Server {
				side.add(o.Good, o.Failed)
			}
		}
	}
}

// holdTime bounds how long a version is held that no order is known to name: nobody can tell
// while the store is away, and then no server can enter itself either.
const maxVersionHold = 2 * time.Second

// holdLocked notes a version that turns up in a pool. Servers of an order's version may be
// known before the order is, and would get their full part of the requests until then.
func (b *Balancer) noteVersionLocked(s *server, isNewlyListed bool) {
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

// heldLocked gives the versions of a pool that are held.
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

// OrdersKnown notes that all orders are known that the store had at the time: versions that
// turned up before and are named in none are used like any other.
func (b *Balancer) OrdersKnown(asOf time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if asOf.After(b.rolloutsAsOf) {
		b.rolloutsAsOf = asOf
	}
}
