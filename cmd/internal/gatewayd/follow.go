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

// followTables puts each newer version of the configuration in force.
func (p *Process) followTables(ctx context.Context) {
	follower := directory.NewFollower(p.Feeds.Tables)
	take := func(entries []slipwick.FeedEntry[*routing.Table]) {
		table := tableIn(entries)
		if table == nil || !p.gateway.SetTable(table) {
			return
		}
		p.metrics.version.Set(float64(table.Version))
		events.ConfigurationInForce.On(&p.Log).Uint64("version", table.Version).Send()
	}
	follower.OnList, follower.OnChange, follower.OnError = take, take, p.storeFailed
	follower.Run(ctx)
}

// followBackends keeps the list of backend servers.
func (p *Process) followBackends(ctx context.Context) {
	follower := directory.NewFollower(p.Feeds.Backends)
	follower.OnList, follower.OnChange = p.backends.Replace, p.backends.Change
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

// joinEvery is how often a router that knows no other tries its seeds.
const joinEvery = time.Second

// join finds the other routers through the seeds.
func (p *Process) join(ctx context.Context) {
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	for {
		if len(p.node.Routers()) == 1 {
			for _, seed := range p.Settings.Seeds {
				p.node.Join(seed)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// watchSettings notes that the settings may have changed. What a process
// listens on and promises is fixed for its life.
func (p *Process) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Reload:
			events.SettingsReloaded.On(&p.Log).Send()
		}
	}
}
