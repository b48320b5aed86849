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
func (f *simPeerFeed) reach(ctx context.Context) error {
	for _, r := range []*simRouter{f.from, f.to} {
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

func (f *simPeerFeed) List(ctx context.Context) (slipwick.FeedBatch, error) {
	if err := f.reach(ctx); err != nil {
		return slipwick.FeedBatch{}, err
	}
	batch, err := f.to.follower.Mirror.AwaitList(ctx, firstCopyWait)
	batch.Hops++
	if err == nil && f.from.fleet.maxSends > 0 {
		return f.send(ctx, &batch)
	}
	if err == nil {
		notifyBegin(ctx)
	}
	if err == nil && f.from.fleet.transferTime > 0 {
		sleep(ctx, f.from.fleet.transferTime)
	}
	return batch, errors.Join(err, ctx.Err())
}

func (f *simPeerFeed) Watch(
	ctx context.Context, after slipwick.Position, wait time.Duration,
) (slipwick.FeedBatch, error) {
	if err := f.reach(ctx); err != nil {
		return slipwick.FeedBatch{}, err
	}
	batch, err := f.to.follower.Mirror.Watch(ctx, after, wait)
	batch.Hops++
	if failed := f.reach(ctx); failed != nil {
		return slipwick.FeedBatch{}, failed
	}
	return batch, err
}

// send transfers a list, whose duration allows for the other transfers on the link, or refuses it
// if too many are under way.
func (f *simPeerFeed) send(ctx context.Context, batch *slipwick.FeedBatch) (slipwick.FeedBatch, error) {
	isRefused := false
	f.to.set(func(r *simRouter) {
		isRefused = r.sending >= r.fleet.maxSends
		if !isRefused {
			r.sending++
		}
	})
	if isRefused {
		return slipwick.FeedBatch{}, loadingError(storeRetryInterval)
	}
	defer f.to.set(func(r *simRouter) { r.sending-- })
	notifyBegin(ctx)
	sleep(ctx, time.Duration(f.from.fleet.maxSends)*f.from.fleet.transferTime)
	return *batch, ctx.Err()
}
