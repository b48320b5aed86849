package gatewayd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slipwick/slipwick/clock"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// noticeEvery is how often a process without requests looks whether its box was
// suspended: two system calls each time, and each request looks as well.
const noticeEvery = 100 * time.Millisecond

// noticeSleep looks whether the box was suspended. What is known is then older by that
// time, by itself; who lives is asked of another router, as members tell each other
// changes once and this one was not there to hear them.
func (p *Process) noticeSleep(ctx context.Context) {
	known := clock.Suspended()
	for sleep(ctx, noticeEvery) {
		clock.DetectSuspension()
		slept := clock.Suspended()
		if slept == known {
			continue
		}
		events.BoxSuspended.On(&p.Log).Dur("slept_ms", slept-known).Send()
		known = slept
		if seeds := *p.seeds.Load(); len(seeds) > 0 {
			p.node.Join(seeds[rand.IntN(len(seeds))])
		}
	}
}
