package directory

import (
	"context"
	"errors"
	"time"

	"github.com/slipwick/slipwick"
)

// simPeerFeed is the copy of another router of the simulated fleet, with a latency of 1 ms.
type simPeerFeed struct {
	from, to *simRouter
}

// reach waits for the latency, or until ctx ends if one of the two routers is unreachable.
func (c *simPeerFeed) reach(ctx context.Context) error {
	for _, r := range []*simRouter{c.from, c.to} {
		r.mu.Lock()
		unreachable := r.unresponsive || r.isolated
		r.mu.Unlock()
		if unreachable {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	time.Sleep(time.Millisecond)
	return ctx.Err()
}

func (c *simPeerFeed) List(ctx context.Context) (slipwick.FeedBatch, error) {
	if err := c.reach(ctx); err != nil {
		return slipwick.FeedBatch{}, err
	}
	batch, err := c.to.follower.Mirror.AwaitList(ctx, firstCopyWait)
	batch.Hops++
	if err == nil && c.from.fleet.maxSends > 0 {
		return c.send(ctx, &batch)
	}
	if err == nil {
		notifyBegin(ctx)
	}
	if err == nil && c.from.fleet.transferTime > 0 {
		sleep(ctx, c.from.fleet.transferTime)
	}
	return batch, errors.Join(err, ctx.Err())
}

func (c *simPeerFeed) Watch(
	ctx context.Context, after slipwick.Position, wait time.Duration,
) (slipwick.FeedBatch, error) {
	if err := c.reach(ctx); err != nil {
		return slipwick.FeedBatch{}, err
	}
	batch, err := c.to.follower.Mirror.Watch(ctx, after, wait)
	batch.Hops++
	if failed := c.reach(ctx); failed != nil {
		return slipwick.FeedBatch{}, failed
	}
	return batch, err
}

// send transfers a list, whose duration allows for the other transfers on the link, or refuses it
// if too many are under way.
func (c *simPeerFeed) send(ctx context.Context, batch *slipwick.FeedBatch) (slipwick.FeedBatch, error) {
	isRefused := false
	c.to.set(func(r *simRouter) {
		isRefused = r.sending >= r.fleet.maxSends
		if !isRefused {
			r.sending++
		}
	})
	if isRefused {
		return slipwick.FeedBatch{}, loadingError(storeRetryInterval)
	}
	defer c.to.set(func(r *simRouter) { r.sending-- })
	notifyBegin(ctx)
	sleep(ctx, time.Duration(c.from.fleet.maxSends)*c.from.fleet.transferTime)
	return *batch, ctx.Err()
}
