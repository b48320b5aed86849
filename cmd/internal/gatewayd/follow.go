package gatewayd

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/membership"
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
	follower.OnError, follower.OnAnswer = monitor.failed, monitor.succeeded
	follower.OnStoreRestored = monitor.storeRestored
	follower.IsOutdated = func(known, received *routing.Table) bool { return received.Version < known.Version }
	follower.OnChange = func(changes []directory.Change[*routing.Table]) {
		for _, c := range changes {
			if c.Value == nil || !p.gateway.SetTable(c.Value) {
				continue
			}
			p.limitIdleConnections(len(p.node.Routers()))
			p.setColdLimits()
			p.metrics.version.Set(float64(c.Value.Version))
			events.ConfigurationInForce.On(&p.Log).Uint64("version", c.Value.Version).Send()
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
	follower.OnAnswer = func(batch *slipwick.FeedBatch) {
		p.backends.RecordAnswer(batch.Age, batch.StableFor)
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

// feedMonitor logs when calls of a feed fail and when they succeed again. It must be used
// by a single goroutine.
type feedMonitor struct {
	process *Process
	feed    string
	// failingSince is when calls began to fail; zero while they succeed.
	failingSince time.Time
}

func (p *Process) newFeedMonitor(feed string) *feedMonitor {
	return &feedMonitor{
		process: p,
		feed:    feed,
	}
}

func (m *feedMonitor) failed(err error) {
	if m.failingSince.IsZero() {
		m.failingSince = clock.Now()
	}
	events.PlatformCallFailed.On(&m.process.Log).Str("feed", m.feed).AnErr("cause", err).Send()
}

// storeRestored logs and counts that the store was restored from a backup.
func (m *feedMonitor) storeRestored(known slipwick.Position, batch *slipwick.FeedBatch) {
	events.StoreRestored.On(&m.process.Log).Str("feed", m.feed).
		Uint64("from_timeline", known.Timeline).Uint64("from_revision", known.Revision).
		Uint64("timeline", batch.Timeline).Uint64("revision", batch.Revision).
		Dur("steady_ms", batch.StableFor).Int("hops", batch.Hops).Send()
	m.process.storeRestores.Add(1)
}

// succeeded records the store's timeline, and logs the end of a series of failed calls.
func (m *feedMonitor) succeeded(batch *slipwick.FeedBatch) {
	m.process.timeline.Store(batch.Timeline)
	if m.failingSince.IsZero() {
		return
	}
	events.FeedRecovered.On(&m.process.Log).Str("feed", m.feed).Dur("lost_ms", clock.Since(m.failingSince)).
		Uint64("timeline", batch.Timeline).Uint64("revision", batch.Revision).Int("hops", batch.Hops).Send()
	m.failingSince = time.Time{}
}

// onBackendsChanged applies changes of the list of backend servers. It closes connections to
// servers that were removed and leaves those to listed servers as they are.
func (p *Process) onBackendsChanged(changes *balance.Changes) {
	p.balancer.ChangeBackends(changes)
	leaving, cold, now := 0, 0, clock.Now()
	for i := range changes.Entries {
		if changes.Entries[i].Leaving {
			leaving++
		}
		if changes.Entries[i].ColdUntil.After(now) {
			cold++
		}
	}
	events.BackendsChanged.On(&p.Log).Int("listed", p.balancer.ServerCount()).Int("changed", len(changes.Entries)).
		Int("leaving", leaving).Int("cold", cold).Int("gone", len(changes.Removed)).Send()
	p.client.Retain(p.balancer.IsListed)
	p.backendsListed.Store(true)
}

// onMembershipChange logs routers that died, and applies the new number and list of routers.
func (p *Process) onMembershipChange(change membership.Change) {
	for _, id := range change.Died {
		events.RouterDied.On(&p.Log).Str("died", id).Send()
	}
	p.limitIdleConnections(len(change.EligibleRouters))
	p.setRouters(change.EligibleRouters)
}

// limitIdleConnections limits the idle connections to each backend server: every router gets an
// equal share of the connections that a server accepts, and half of its share may be idle.
func (p *Process) limitIdleConnections(routers int) {
	table := p.gateway.Table()
	if table == nil {
		return
	}
	smallest := math.MaxInt
	for _, pool := range table.Pools {
		if pool.MaxConnections > 0 {
			smallest = min(smallest, pool.MaxConnections)
		}
	}
	p.client.SetMaxIdleConns(smallest / (2 * max(routers, 1)))
}

// onEjected logs that a backend server was ejected for the given time.
func (p *Process) onEjected(backend slipwick.Backend, wait time.Duration) {
	events.BackendEjected.On(&p.Log).Str("backend", backend.ID).Str("address", backend.Address).
		Dur("wait_ms", wait).Send()
}

// onNotice logs that a backend server announced that it is leaving, or asked for a pause.
func (p *Process) onNotice(backend slipwick.Backend, notice slipwick.Notice) {
	events.BackendNotice.On(&p.Log).Str("backend", backend.ID).Str("address", backend.Address).
		Bool("leaving", notice.Leaving).Dur("rest_ms", notice.Pause).Send()
}

const (
	// fastJoinInterval is the interval at which a router that has just started and knows no other
	// tries its seeds, for the first fastJoins attempts: whole fleets start at once, in any
	// order. joinInterval is the interval of later attempts.
	fastJoinInterval = 20 * time.Millisecond
	fastJoins        = 50
	joinInterval     = time.Second
	// Each seed is tried joinsPerSeed times, one attempt every seedJoinInterval, even if
	// other routers are known: otherwise routers that reached different seeds could form
	// two fleets.
	joinsPerSeed     = 3
	seedJoinInterval = 80 * time.Millisecond
)

// join finds the other routers through the seeds. It runs until ctx ends.
func (p *Process) join(ctx context.Context) {
	if p.hasNoOtherSeed() {
		p.node.FinishCatchUp()
	}
	first := rand.IntN(math.MaxInt16)
	for attempts := 0; ; attempts++ {
		seeds := *p.seeds.Load()
		alone := len(p.node.Routers()) == 1
		early := attempts < joinsPerSeed*len(seeds)
		if len(seeds) > 0 && (alone || early) {
			p.node.Join(seeds[(first+attempts)%len(seeds)])
		}
		pause := joinInterval
		switch {
		case alone && attempts < fastJoins:
			pause = fastJoinInterval
		case early:
			pause = seedJoinInterval
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// hasNoOtherSeed reports whether no seed is the address of another router.
func (p *Process) hasNoOtherSeed() bool {
	isOther := func(seed string) bool { return seed != p.Settings.Listen.Peers }
	return !slices.ContainsFunc(*p.seeds.Load(), isOther)
}

// watchSettings applies changed settings until ctx ends: the seeds, the grace period, and
// the bounds on load, cold servers and retries. Listen addresses, and the intervals and
// time limits in Bounds, are fixed until the process restarts.
func (p *Process) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Reload:
			p.reloadSettings()
		}
	}
}

func (p *Process) reloadSettings() {
	if p.ReadSettings == nil {
		return
	}
	settings, err := p.ReadSettings()
	if err != nil {
		events.SettingsRefused.On(&p.Log).AnErr("cause", err).Send()
		return
	}
	p.seeds.Store(&settings.Seeds)
	p.gracePeriod.Store(int64(settings.GracePeriod))
	bounds := settings.Bounds.orDefaults()
	p.balancer.SetLoadBound(bounds.LoadFactor, bounds.LoadSlack)
	p.bounds.Store(&bounds)
	p.setColdLimits()
	p.gateway.Budget.SetLimit(settings.Retries.Ratio, settings.Retries.Extra)
	events.SettingsReloaded.On(&p.Log).Int("seeds", len(settings.Seeds)).Dur("grace_ms", settings.GracePeriod).
		Float64("load_factor", bounds.LoadFactor).Float64("retry_ratio", settings.Retries.Ratio).
		Float64("retry_extra", settings.Retries.Extra).Send()
}
