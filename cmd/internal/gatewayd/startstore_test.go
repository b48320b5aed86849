package gatewayd

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/directory"
)

const (
	// The store answers in storeLatency and rejects the calls of a second above maxStoreReads. A page of
	// a list has storePage objects.
	storeLatency  = 4 * time.Millisecond
	maxStoreReads = 6000
	storePage     = 200
)

// startStore counts the calls to the store of a startingFleet.
type startStore struct {
	mu              sync.Mutex
	calls, rejected int
	// second is the current second, inSecond the number of calls in it.
	second   time.Time
	inSecond int
}

// call waits for the store's latency, and fails if the store had too many calls in this second.
func (s *startStore) call(ctx context.Context) error {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Truncate(time.Second); !now.Equal(s.second) {
		s.second, s.inSecond = now, 0
	}
	s.calls++
	s.inSecond++
	if s.inSecond > maxStoreReads {
		s.rejected++
		return &slipwick.Error{
			Kind:    slipwick.KindUnavailable,
			Message: "the store rejected the call with 429",
		}
	}
	return ctx.Err()
}

// counts returns the numbers of calls and of rejected ones.
func (s *startStore) counts() (calls, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.rejected
}

// newFeed returns a feed of the objects by name.
func (s *startStore) newFeed(values map[string]string) *storeFeed {
	batch := &slipwick.FeedBatch{
		IsSnapshot: true,
		Revision:   1,
	}
	for name, value := range values {
		batch.Entries = append(batch.Entries, slipwick.FeedEntry{
			Name:  name,
			Value: []byte(value),
		})
	}
	f := &storeFeed{
		store:   s,
		objects: directory.NewMirror(),
	}
	f.objects.Apply(batch)
	return f
}

// storeFeed is a feed of the store.
type storeFeed struct {
	store   *startStore
	objects *directory.Mirror
}

func (f *storeFeed) List(ctx context.Context) (slipwick.FeedBatch, error) {
	for range max((f.objects.Len()+storePage-1)/storePage, 1) {
		if err := f.store.call(ctx); err != nil {
			return slipwick.FeedBatch{}, err
		}
		if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotFirstResponseByte != nil {
			trace.GotFirstResponseByte()
		}
	}
	return current(f.objects.List(ctx))
}

func (f *storeFeed) Watch(
	ctx context.Context, after slipwick.Position, wait time.Duration,
) (slipwick.FeedBatch, error) {
	if err := f.store.call(ctx); err != nil {
		return slipwick.FeedBatch{}, err
	}
	return current(f.objects.Watch(ctx, after, wait))
}

// current marks a batch as the store's current state.
func current(batch slipwick.FeedBatch, err error) (slipwick.FeedBatch, error) {
	batch.Age, batch.StableFor = 0, 0
	return batch, err
}
