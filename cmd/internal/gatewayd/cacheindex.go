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

// listedPollInterval is the interval at which a starting router checks whether it has a routing
// table and the list of backend servers.
const listedPollInterval = 10 * time.Millisecond

// recoverCacheIndex finds out after a start which engines have cached which prompts. It then does
// so for engines that are listed late because their entries had expired during an outage of the
// store, for as long as such engines may appear or until ctx ends.
func (p *Process) recoverCacheIndex(ctx context.Context) {
	p.fetchCacheIndex(ctx)
	close(p.cachesKnown)
	if !p.Settings.FirstStart {
		p.recovery.LearnLateEngines(ctx)
	}
}

func (p *Process) fetchCacheIndex(ctx context.Context) {
	for !p.backendsListed.Load() || p.gateway.Table() == nil {
		if !sleep(ctx, listedPollInterval) {
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
	events.CachesKnown.On(&p.Log).Int("known", p.balancer.CachedPartCount()).Int("missing", p.recovery.MissingCount()).
		Int("routers", len(p.node.Routers())).Dur("took_ms", time.Since(started)).Send()
}

// newRecovery creates the component that rebuilds the index of cached prompts with the help of the
// other routers and of the engines.
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

// enginePools returns the names of the engine pools of the table in force.
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

// listCache asks an engine which prompt parts it has cached and returns their keys. A prompt is a
// sequence of parts, which several prompts may have in common.
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
