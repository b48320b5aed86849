package gatewayd

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/gateway"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// listedPoll is how often a starting router looks whether it has a table and the
// list of backend servers.
const listedPoll = 10 * time.Millisecond

// recoverHomes learns where prompts are cached after a start.
func (p *Process) recoverHomes(ctx context.Context) {
	p.learnHomes(ctx)
	close(p.learnt)
	if !p.Settings.FirstStart {
		p.recovery.LearnLateListings(ctx)
	}
}

func (p *Process) learnHomes(ctx context.Context) {
	for !p.listed.Load() || p.gateway.Table() == nil {
		if !sleep(ctx, listedPoll) {
			return
		}
	}
	p.awaitEvacuations(ctx)
	p.awaitRollouts(ctx)
	close(p.ready)
	if p.Settings.FirstStart {
		p.balancer.MarkCachesKnown()
		return
	}
	started := time.Now()
	p.recovery.Run(ctx)
	events.HomesLearnt.On(&p.Log).Int("known", p.balancer.CachedPartCount()).Int("missing", p.recovery.MissingCount()).
		Int("routers", len(p.node.Routers())).Dur("took_ms", time.Since(started)).Send()
}

// newRecovery makes the part that learns of caches.
func (p *Process) newRecovery() *exchange.Recovery {
	r := exchange.NewRecovery(p.Settings.ID)
	r.Balancer = p.balancer
	r.Routers = p.node.Routers
	r.Pools = p.enginePools
	r.DataCentre = p.Settings.DataCentre
	r.FleetKnown = p.node.FleetKnown()
	r.QueryRouter = func(
		ctx context.Context, router slipwick.Router, q *balance.CacheQuery,
	) (*balance.CacheSnapshot, error) {
		return exchange.FetchCacheSnapshot(ctx, p.peers.http, router.Address, q)
	}
	if p.Feeds.Caches != nil {
		r.ListCache = p.listCache
	}
	return r
}

// enginePools names the pools of engines of the table in force.
func (p *Process) enginePools() []string {
	var names []string
	if table := p.gateway.Table(); table != nil {
		for name, pool := range table.Pools {
			if pool.Engine != nil {
				names = append(names, name)
			}
		}
	}
	return names
}

// listCache asks an engine for the parts that it keeps.
func (p *Process) listCache(ctx context.Context, engine slipwick.Backend) ([]uint64, error) {
	ids, notice, err := p.Feeds.Caches.CachedParts(ctx, engine.Address)
	p.balancer.RecordNoticeFrom(&engine, notice)
	if err != nil {
		events.CacheListFailed.On(&p.Log).Str("backend", engine.ID).AnErr("cause", err).Send()
		return nil, err
	}
	parts := make([]uint64, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, gateway.PartKey(id))
	}
	return parts, nil
}

// sleep waits; false if ctx ended first.
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
