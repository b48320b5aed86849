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

// The names that routers know their feeds by.
const (
	feedTables   = "tables"
	feedBackends = "backends"
)

// shared gives a feed as the fleet shares it.
func (p *Process) shared(name string, store slipwick.Feed) slipwick.Feed {
	if p.Feeds.Private {
		return store
	}
	return &directory.Shared{
		Name:  name,
		Store: store,
		Peers: p.peers,
	}
}

// followTables puts each newer version of the configuration in force.
func (p *Process) followTables(ctx context.Context) {
	follower := directory.NewFollower[*routing.Table](p.shared(feedTables, p.Feeds.Tables), p.mirrors[feedTables])
	follower.Decode = p.Feeds.DecodeTable
	follower.OnError = p.storeFailed
	follower.OnChange = func(changes []directory.Change[*routing.Table]) {
		for _, c := range changes {
			if c.Value == nil || !p.gateway.SetTable(c.Value) {
				continue
			}
			p.metrics.version.Set(float64(c.Value.Version))
			events.ConfigurationInForce.On(&p.Log).Uint64("version", c.Value.Version).Send()
		}
	}
	follower.Run(ctx)
}

// followBackends keeps the list of backend servers.
func (p *Process) followBackends(ctx context.Context) {
	follower := directory.NewFollower[balance.Listed](p.shared(feedBackends, p.Feeds.Backends), p.mirrors[feedBackends])
	follower.Decode = p.Feeds.DecodeBackend
	follower.OnChange = p.backends.Change
	follower.OnAnswer = p.backends.Answered
	follower.OnError = func(err error) {
		p.backends.Failed()
		p.storeFailed(err)
	}
	follower.Run(ctx)
}

func (p *Process) storeFailed(err error) {
	events.PlatformCallFailed.On(&p.Log).AnErr("cause", err).Send()
}

func (p *Process) onBackends(list []balance.Listed) {
	p.balancer.SetBackends(list)
	p.listed.Store(true)
}

const (
	// joinSoon is how often a router that has just started and knows no other
	// tries its seeds, for the first joinsSoon times: whole fleets start at
	// once, in any order. joinEvery is how often it does later.
	joinSoon  = 50 * time.Millisecond
	joinsSoon = 20
	joinEvery = time.Second
)

// join finds the other routers through the seeds.
func (p *Process) join(ctx context.Context) {
	for tries := 0; ; tries++ {
		if len(p.node.Routers()) == 1 {
			for _, seed := range *p.seeds.Load() {
				p.node.Join(seed)
			}
		}
		pause := joinEvery
		if tries < joinsSoon {
			pause = joinSoon
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// watchSettings takes changed settings: seeds, grace period and the bound on
// repeats. What a process listens on is fixed for its life.
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
	p.gateway.Budget.SetBound(settings.Retries.Ratio, settings.Retries.Extra)
	events.SettingsReloaded.On(&p.Log).Int("seeds", len(settings.Seeds)).Dur("grace_ms", settings.Grace).
		Float64("retry_ratio", settings.Retries.Ratio).Float64("retry_extra", settings.Retries.Extra).Send()
}
