package gatewayd

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// onMembershipChange logs routers that died, and applies the new number and list of routers.
func (p *Process) onMembershipChange(change membership.Change) {
	for _, id := range change.Died {
		events.RouterDied.On(&p.Log).Str("died", id).Send()
	}
	p.limitConnections(len(change.EligibleRouters))
	p.setRouters(change.EligibleRouters)
	p.setTunnelRouters(change.EligibleRouters)
}

const (
	// fastJoinInterval is the interval at which a router that has just started and knows no other
	// tries its seeds, for the first fastJoinAttempts attempts: whole fleets start at once, in any
	// order. joinInterval is the interval of later attempts.
	fastJoinInterval = 20 * time.Millisecond
	fastJoinAttempts = 50
	joinInterval     = time.Second
	// Each seed is tried joinsPerSeed times, one attempt every seedJoinInterval, even if
	// other routers are known: otherwise routers that reached different seeds could form
	// two fleets.
	joinsPerSeed     = 3
	seedJoinInterval = 80 * time.Millisecond
	// missingSeedJoins is how many attempts all routers together make in each joinInterval at seeds that
	// are not known as routers: a partition at the start may have outlasted the first attempts.
	missingSeedJoins = 3
)

// join finds the other routers through the seeds. It runs until ctx ends.
func (p *Process) join(ctx context.Context) {
	if p.hasNoOtherSeed() {
		p.node.FinishCatchUp()
	}
	first := rand.IntN(math.MaxInt16)
	for attempts := 0; ; attempts++ {
		seeds, routers := *p.seeds.Load(), p.node.Routers()
		alone := len(routers) == 1
		early := attempts < joinsPerSeed*len(seeds)
		if !early {
			seeds = missingSeeds(seeds, routers)
		}
		if len(seeds) > 0 && (early || rand.IntN(len(routers)) < missingSeedJoins) {
			p.node.Join(seeds[(first+attempts)%len(seeds)])
		}
		pause := joinInterval
		switch {
		case alone && attempts < fastJoinAttempts:
			pause = fastJoinInterval
		case early:
			pause = seedJoinInterval
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// missingSeeds returns the seeds that are not the address of one of the routers.
func missingSeeds(seeds []string, routers []slipwick.Router) []string {
	return slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool {
		return slices.ContainsFunc(routers, func(r slipwick.Router) bool { return r.Address == seed })
	})
}

// hasNoOtherSeed reports whether no seed is the address of another router.
func (p *Process) hasNoOtherSeed() bool {
	isOther := func(seed string) bool { return seed != p.Settings.Listen.Peers }
	return !slices.ContainsFunc(*p.seeds.Load(), isOther)
}
