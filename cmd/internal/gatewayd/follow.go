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

// The names that routers know their feeds by.
const (
	feedTables   = "tables"
	feedBackends = "backends"
	// feedEvacuations has the data centres whose backend servers get nothing new.
	feedEvacuations = "evacuations"
)

// shared gives a feed as the fleet shares it.
func (p *Process) shared(name string, store slipwick.Feed, rhythm directory.Timing) slipwick.Feed {
	if p.Feeds.Private {
		return store
	}
	return &directory.SharedFeed{
		FeedName: name,
		Store:    store,
		Peers:    p.peers,
		Mirror:   p.mirrors[name],
		Timing:   rhythm,
	}
}

// followTables puts each newer version of the configuration in force.
func (p *Process) followTables(ctx context.Context) {
	rhythm := p.Settings.Bounds.rhythm()
	follower := directory.NewFollower[*routing.Table](p.shared(feedTables, p.Feeds.Tables, rhythm), p.mirrors[feedTables])
	follower.Timing = rhythm
	follower.Decode = p.Feeds.DecodeTable
	follower.OnInvalid = p.foreign.of(feedTables)
	dependency := p.newDependency(feedTables)
	follower.OnError, follower.OnAnswer = dependency.failed, dependency.answered
	follower.OnStoreRestored = dependency.fellBack
	follower.IsOutdated = func(known, told *routing.Table) bool { return told.Version < known.Version }
	follower.OnChange = func(changes []directory.Change[*routing.Table]) {
		for _, c := range changes {
			if c.Value == nil || !p.gateway.SetTable(c.Value) {
				continue
			}
			p.shareConnections(len(p.node.Routers()))
			p.limitCold()
			p.metrics.version.Set(float64(c.Value.Version))
			events.ConfigurationInForce.On(&p.Log).Uint64("version", c.Value.Version).Send()
		}
	}
	follower.Run(ctx)
}

// followBackends keeps the list of backend servers.
func (p *Process) followBackends(ctx context.Context) {
	rhythm := p.Settings.Bounds.rhythm()
	follower := directory.NewFollower[balance.Entry](
		p.shared(feedBackends, p.Feeds.Backends, rhythm), p.mirrors[feedBackends])
	follower.Timing = rhythm
	follower.Decode = p.Feeds.DecodeBackend
	follower.OnInvalid = p.foreign.of(feedBackends)
	follower.OnChange = p.backends.Change
	dependency := p.newDependency(feedBackends)
	follower.OnAnswer = func(batch *slipwick.FeedBatch) {
		p.backends.Answered(batch.Age, batch.Steady)
		dependency.answered(batch)
	}
	follower.OnStoreRestored = func(known slipwick.Position, batch *slipwick.FeedBatch) {
		p.backends.StoreRestored(batch.Age, batch.Steady)
		dependency.fellBack(known, batch)
	}
	follower.OnError = func(err error) {
		p.backends.Failed()
		dependency.failed(err)
	}
	follower.Run(ctx)
}

// dependency logs when a feed is lost and regained. It belongs to one
// goroutine.
type dependency struct {
	process *Process
	feed    string
	lost    time.Time
}

func (p *Process) newDependency(feed string) *dependency {
	return &dependency{
		process: p,
		feed:    feed,
	}
}

func (d *dependency) failed(err error) {
	if d.lost.IsZero() {
		d.lost = clock.Now()
	}
	events.PlatformCallFailed.On(&d.process.Log).Str("feed", d.feed).AnErr("cause", err).Send()
}

// fellBack notes that the store came back from a copy.
func (d *dependency) fellBack(known slipwick.Position, batch *slipwick.FeedBatch) {
	events.StoreFellBack.On(&d.process.Log).Str("feed", d.feed).
		Uint64("from_timeline", known.Timeline).Uint64("from_revision", known.Revision).
		Uint64("timeline", batch.Timeline).Uint64("revision", batch.Revision).
		Dur("steady_ms", batch.Steady).Int("hops", batch.Hops).Send()
	d.process.fellBack.Add(1)
}

func (d *dependency) answered(batch *slipwick.FeedBatch) {
	d.process.timeline.Store(batch.Timeline)
	if d.lost.IsZero() {
		return
	}
	events.StoreRegained.On(&d.process.Log).Str("feed", d.feed).Dur("lost_ms", clock.Since(d.lost)).
		Uint64("timeline", batch.Timeline).Uint64("revision", batch.Revision).Int("hops", batch.Hops).Send()
	d.lost = time.Time{}
}

// onBackends takes changes of the list. Connections to servers that are gone are closed;
// those that go on are not looked at.
func (p *Process) onBackends(changes *balance.Changes) {
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
	p.listed.Store(true)
}

// onMembers notes routers that died.
func (p *Process) onMembers(change membership.Change) {
	for _, id := range change.Died {
		events.RouterDied.On(&p.Log).Str("died", id).Send()
	}
	p.shareConnections(len(change.Routers))
	p.tellRouters(change.Routers)
}

// shareConnections gives each router its part of the connections that a backend
// server takes, half of it for those that rest.
func (p *Process) shareConnections(routers int) {
	table := p.gateway.Table()
	if table == nil {
		return
	}
	least := math.MaxInt
	for _, pool := range table.Pools {
		if pool.MaxConnections > 0 {
			least = min(least, pool.MaxConnections)
		}
	}
	p.client.SetMaxIdle(least / (2 * max(routers, 1)))
}

// onOut notes a backend server that is left out for a while.
func (p *Process) onOut(backend slipwick.Backend, wait time.Duration) {
	events.BackendEjected.On(&p.Log).Str("backend", backend.ID).Str("address", backend.Address).
		Dur("wait_ms", wait).Send()
}

func (p *Process) onNotice(backend slipwick.Backend, notice slipwick.Notice) {
	events.BackendNotice.On(&p.Log).Str("backend", backend.ID).Str("address", backend.Address).
		Bool("leaving", notice.Leaving).Dur("rest_ms", notice.Rest).Send()
}

const (
	// joinSoon is how often a router that has just started and knows no other
	// tries one of its seeds, for the first joinsSoon times: whole fleets start
	// at once, in any order. joinEvery is how often it does later.
	joinSoon  = 20 * time.Millisecond
	joinsSoon = 50
	joinEvery = time.Second
	// Each seed is tried joinRounds times, one every joinPause, also when others
	// are known: routers that each met another seed would else be two fleets.
	joinRounds = 3
	joinPause  = 80 * time.Millisecond
)

// join finds the other routers through the seeds.
func (p *Process) join(ctx context.Context) {
	if p.hasNoSeeds() {
		p.node.FinishCatchUp()
	}
	first := rand.IntN(math.MaxInt16)
	for tries := 0; ; tries++ {
		seeds := *p.seeds.Load()
		alone := len(p.node.Routers()) == 1
		early := tries < joinRounds*len(seeds)
		if len(seeds) > 0 && (alone || early) {
			p.node.Join(seeds[(first+tries)%len(seeds)])
		}
		pause := joinEvery
		switch {
		case alone && tries < joinsSoon:
			pause = joinSoon
		case early:
			pause = joinPause
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// hasNoSeeds tells whether no seed is another router.
func (p *Process) hasNoSeeds() bool {
	isOther := func(seed string) bool { return seed != p.Settings.Listen.Peers }
	return !slices.ContainsFunc(*p.seeds.Load(), isOther)
}

// watchSettings takes changed settings: seeds, grace period, and the bounds on
// load and repeats. What a process listens on, and its rhythm, are fixed for its
// life.
func (p *Process) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Reload:
			p.reread()
		}
	}
}

func (p *Process) reread() {
	if p.Reread == nil {
		return
	}
	settings, err := p.Reread()
	if err != nil {
		events.SettingsRefused.On(&p.Log).AnErr("cause", err).Send()
		return
	}
	p.seeds.Store(&settings.Seeds)
	p.grace.Store(int64(settings.Grace))
	bounds := settings.Bounds.orDefaults()
	p.balancer.SetLoadBound(bounds.LoadFactor, bounds.LoadSlack)
	p.bounds.Store(&bounds)
	p.limitCold()
	p.gateway.Budget.SetLimit(settings.Retries.Ratio, settings.Retries.Extra)
	events.SettingsReloaded.On(&p.Log).Int("seeds", len(settings.Seeds)).Dur("grace_ms", settings.Grace).
		Float64("load_factor", bounds.LoadFactor).Float64("retry_ratio", settings.Retries.Ratio).
		Float64("retry_extra", settings.Retries.Extra).Send()
}
