package directory

import (
	"context"
	"errors"
	"time"

	"github.com/slipwick/slipwick"
)

// copyOf is another router's copy, a millisecond away.
type copyOf struct {
	from, to *followingRouter
}

// reach waits as long as the way takes, or for ever.
func (c *copyOf) reach(ctx context.Context) error {
	for _, r := range []*followingRouter{c.from, c.to} {
		r.mu.Lock()
		silent := r.silent || r.alone
		r.mu.Unlock()
		if silent {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	time.Sleep(time.Millisecond)
	return ctx.Err()
}

func (c *copyOf) List(ctx context.Context) (slipwick.FeedBatch, error) {
	if err := c.reach(ctx); err != nil {
		return slipwick.FeedBatch{}, err
	}
	batch, err := c.to.follower.Mirror.AwaitList(ctx, firstCopyWait)
	batch.Hops++
	if err == nil && c.from.fleet.sends > 0 {
		return c.send(ctx, &batch)
	}
	if err == nil {
		notifyBegin(ctx)
	}
	if err == nil && c.from.fleet.listTime > 0 {
		sleep(ctx, c.from.fleet.listTime)
	}
	return batch, errors.Join(err, ctx.Err())
}

// send sends a list beside others, or refuses it.
func (c *copyOf) send(ctx context.Context, batch *slipwick.FeedBatch) (slipwick.FeedBatch, error) {
	isRefused := false
	c.to.set(func(r *followingRouter) {
		isRefused = r.sending >= r.fleet.sends
		if !isRefused {
			r.sending++
		}
	})
	if isRefused {
		return slipwick.FeedBatch{}, loadingError(storeRetryInterval)
	}
	defer c.to.set(func(r *followingRouter) { r.sending-- })
	notifyBegin(ctx)
	sleep(ctx, time.Duration(c.from.fleet.sends)*c.from.fleet.listTime)
	return *batch, ctx.Err()
}
