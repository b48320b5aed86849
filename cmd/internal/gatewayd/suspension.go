package gatewayd

import (
	"context"
	"math/rand/v2"

	"github.com/slipwick/slipwick/clock"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// watchSuspension checks until ctx ends whether the box was suspended or the process has paused. After a
// suspension, package clock adds that time to the age of all known data, and the list of live routers is
// fetched from another router, since routers announce each change only once and this one missed the
// announcements.
//
// A check for a suspension takes two system calls; each request checks too.
func (p *Process) watchSuspension(ctx context.Context) {
	known := clock.Suspended()
	for sleep(ctx, clock.PauseCheckInterval) {
		clock.DetectSuspension()
		paused, suspended := p.pauses.Check(), clock.Suspended()
		if paused > 0 && suspended == known {
			events.ProcessPaused.On(&p.Log).Dur("paused_ms", paused).Send()
		}
		if suspended == known {
			continue
		}
		events.BoxSuspended.On(&p.Log).Dur("slept_ms", suspended-known).Send()
		known = suspended
		if seeds := *p.seeds.Load(); len(seeds) > 0 {
			p.node.Join(seeds[rand.IntN(len(seeds))])
		}
	}
}
