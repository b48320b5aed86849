package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/clock"
)

// reasonStopping is the reason for which a request is refused, or not sent again, as the router stops.
const reasonStopping = "stopping"

// errStopping is the error of a request that is not read or sent any further as the router stops.
var errStopping = errors.New("the router stops before the deadline of the request")

// stopSignals are contexts that end as the router stops: refusing by Gateway.StopAt, ended by Gateway.EndRequests.
type stopSignals struct {
	once            sync.Once
	refusing, ended context.Context
	refuse, end     context.CancelFunc
}

func (s *stopSignals) init() {
	s.once.Do(func() {
		s.refusing, s.refuse = context.WithCancel(context.Background())
		s.ended, s.end = context.WithCancel(context.Background())
	})
}

// Drain makes each response from now on close its connection, so that callers open one to another router. The router
// stops at end.
func (g *Gateway) Drain(end time.Time) {
	g.endsAt.Store(&end)
}

// isDraining reports whether Drain was called.
func (g *Gateway) isDraining() bool {
	return g.endsAt.Load() != nil
}

// StopAt refuses, from now on, all requests whose deadline is after end and that were sent to no backend server yet,
// those in progress included.
func (g *Gateway) StopAt(end time.Time) {
	g.stopAt.Store(&end)
	g.stop.init()
	g.stop.refuse()
}

// EndRequests ends the requests in progress: those that were sent to no backend server are refused, the others get a
// response that they may have run, and streams that have begun are cut.
func (g *Gateway) EndRequests() {
	g.StopAt(clock.Now())
	g.stop.end()
}

// stopsBefore reports whether the router stops before the deadline.
func (g *Gateway) stopsBefore(deadline time.Time) bool {
	end := g.stopAt.Load()
	return end != nil && deadline.After(*end)
}

// refusing returns a context that ends when StopAt is called, ended one that ends with EndRequests.
func (g *Gateway) refusing() context.Context {
	g.stop.init()
	return g.stop.refusing
}

func (g *Gateway) ended() context.Context {
	g.stop.init()
	return g.stop.ended
}

// isWithdrawn reports whether the request must not be sent any more, as the router stops. One that may have run is sent
// again while there is time: a refusal can't promise any more that it doesn't run.
func (c *call) isWithdrawn() bool {
	if c.gateway.ended().Err() != nil {
		return true
	}
	return c.possibleRuns == 0 && !c.progress.headWritten && c.gateway.stopsBefore(c.deadline)
}

// untilRefused returns a context that ends with ctx, or once the router refuses requests with the deadline because it
// stops. The returned function releases it.
func (g *Gateway) untilRefused(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.refusing(), func() {
		if g.stopsBefore(deadline) {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// timeLeft returns the time until the deadline of the request, or until the router stops if that is earlier.
func (c *call) timeLeft() time.Duration {
	left := clock.Until(c.deadline)
	if end := c.gateway.endsAt.Load(); end != nil {
		left = min(left, clock.Until(*end))
	}
	return left
}
