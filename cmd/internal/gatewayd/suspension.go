package gatewayd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slipwick/slipwick/clock"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// suspendCheckInterval is the interval at which a process checks whether its box was suspended, if
// it has no requests: each request checks too. A check takes two system calls.
const suspendCheckInterval = 100 * time.Millisecond

// watchSuspension checks until ctx ends whether the box was suspended. If so, package clock adds that
// time to the age of all known data, and the list of live routers is fetched from another router,
// since routers announce each change only once and this one missed the announcements.
func (p *Process) watchSuspension(ctx context.Context) {
	known := clock.Suspended()
	for sleep(ctx, suspendCheckInterval) {
		clock.DetectSuspension()
		suspended := clock.Suspended()
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
