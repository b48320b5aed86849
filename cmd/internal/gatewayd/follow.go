package gatewayd

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/routing"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// Names under which routers relay the feeds to each other; feedRollouts is another.
const (
	feedTables   = "tables"
	feedBackends = "backends"
	// feedEvacuations has the data centres whose backend servers get no new requests.
	feedEvacuations = "evacuations"
)

// sharedFeed returns the feed that follows the store itself or another router, as this router's
// position in the relay tree says. A private feed is followed directly.
func (p *Process) sharedFeed(name string, store slipwick.Feed, timing directory.Timing) slipwick.Feed {
	if p.Feeds.Private {
		return store
	}
	return &directory.SharedFeed{
		FeedName: name,
		Store:    store,
		Peers:    p.peers,
		Mirror:   p.mirrors[name],
		Timing:   timing,
		OnRelayUnresponsive: func(id string, waited, age time.Duration) {
			events.RelayUnresponsive.On(&p.Log).Str("feed", name).Str("relay", id).
				Dur("waited_ms", waited).Dur("age_ms", age).Send()
		},
	}
}

// followTables puts each newer version of the configuration in force until ctx ends.
func (p *Process) followTables(ctx context.Context) {
	timing := p.Settings.Bounds.timing()
	follower := directory.NewFollower[*routing.Table](
		p.sharedFeed(feedTables, p.Feeds.Tables, timing), p.mirrors[feedTables])
	follower.Timing = timing
	follower.Decode = p.Feeds.DecodeTable
	follower.OnInvalid = p.invalidEntries.recorder(feedTables)
	monitor := p.newFeedMonitor(feedTables)
	follower.OnError, follower.OnResponse = monitor.failed, monitor.succeeded
	follower.OnStoreRestored = monitor.storeRestored
	follower.IsOutdated = func(known, received *routing.Table) bool { return received.Version < known.Version }
	follower.OnChange = func(changes []directory.Change[*routing.Table]) {
		for _, c := range changes {
			if c.Value == nil || !p.gateway.SetTable(c.Value) {
				continue
			}
			p.limitConnections(len(p.node.Routers()))
			p.setColdLimits()
			p.metrics.version.Set(float64(c.Value.Version))
			events.ConfigurationInForce.On(&p.Log).Uint64("version", c.Value.Version).
				Bool("anonymous", c.Value.AllowAnonymous).Dur("age_ms", monitor.age).Int("hops", monitor.hops).Send()
		}
	}
	follower.Run(ctx)
}

// followBackends keeps the list of backend servers up to date until ctx ends.
func (p *Process) followBackends(ctx context.Context) {
	timing := p.Settings.Bounds.timing()
	follower := directory.NewFollower[balance.Entry](
		p.sharedFeed(feedBackends, p.Feeds.Backends, timing), p.mirrors[feedBackends])
	follower.Timing = timing
	follower.Decode = p.Feeds.DecodeBackend
	follower.OnInvalid = p.invalidEntries.recorder(feedBackends)
	follower.OnChange = p.backends.Apply
	monitor := p.newFeedMonitor(feedBackends)
	follower.OnResponse = func(batch *slipwick.FeedBatch) {
		p.backends.RecordResponse(batch.Age, batch.StableFor)
		monitor.succeeded(batch)
	}
	follower.OnStoreRestored = func(known slipwick.Position, batch *slipwick.FeedBatch) {
		p.backends.StoreRestored(batch.Age, batch.StableFor)
		monitor.storeRestored(known, batch)
	}
	follower.OnError = func(err error) {
		p.backends.RecordFailure()
		monitor.failed(err)
	}
	follower.Run(ctx)
}
