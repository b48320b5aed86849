package gatewayd

import (
	"context"
	"time"

	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/placement"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

const (
	// listedPoll is how often a starting router looks whether it has the list
	// of backend servers.
	listedPoll = 20 * time.Millisecond
	// peersWait is how long it looks for other routers, and then waits for
	// what they know: some round trips within a region.
	peersWait = 50 * time.Millisecond
	// peersRounds bounds how often it waits for more routers to turn up, so
	// that requests that wait for it do not wait in vain.
	peersRounds = 5
	// listWait bounds one engine's list of what it keeps.
	listWait = time.Second
)

// recoverHomes learns where prompts are cached after a start: from another
// router, or, when none knows, from the engines. Each router then asks the
// engines that the rendezvous of routers gives it, and tells the others.
func (p *Process) recoverHomes(ctx context.Context) {
	defer p.learntHomes()
	for !p.listed.Load() || p.gateway.Table() == nil {
		if !sleep(ctx, listedPoll) {
			return
		}
	}
	if p.Settings.FirstStart || !p.awaitPeers(ctx) {
		return
	}
	if p.teller.Ask() && !sleep(ctx, peersWait) {
		return
	}
	knows := p.teller.OthersKnow.Load()
	events.HomesAsked.On(&p.Log).Int("known", p.balancer.KnownParts()).Bool("others_know", knows).
		Int("routers", len(p.node.Routers())).Send()
	if knows || p.Feeds.Caches == nil {
		return
	}
	for name, pool := range p.gateway.Table().Pools {
		if pool.Engine != nil {
			p.listCaches(ctx, name)
		}
	}
}

// awaitPeers waits until no more routers turn up; false if ctx ended first.
func (p *Process) awaitPeers(ctx context.Context) bool {
	known := 0
	for range peersRounds {
		if !sleep(ctx, peersWait) {
			return false
		}
		now := len(p.node.Routers())
		if now > 1 && now == known {
			return true
		}
		known = now
	}
	return true
}

// learntHomes lets requests in that waited for the start.
func (p *Process) learntHomes() {
	p.teller.Knows.Store(true)
	close(p.started)
}

// listCaches asks this router's share of a pool's engines.
func (p *Process) listCaches(ctx context.Context, pool string) {
	routers := p.node.Routers()
	for _, engine := range p.balancer.Engines(pool) {
		chosen := placement.Choose(placement.IDHash(engine.ID), routers)
		if chosen < 0 || routers[chosen].ID == p.Settings.ID {
			p.listCache(ctx, engine.ID, engine.Address)
		}
	}
}

func (p *Process) listCache(ctx context.Context, id, address string) {
	ctx, cancel := context.WithTimeout(ctx, listWait)
	defer cancel()
	ids, err := p.Feeds.Caches.CachedParts(ctx, address)
	if err != nil {
		events.CacheListFailed.On(&p.Log).Str("backend", id).AnErr("cause", err).Send()
		return
	}
	parts := make([]uint64, 0, len(ids))
	for _, part := range ids {
		parts = append(parts, gateway.PartKey(part))
	}
	p.balancer.Keeps(id, parts)
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
