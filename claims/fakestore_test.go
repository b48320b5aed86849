package claims

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
)

// fakeStore is a store in memory with injected faults.
type fakeStore struct {
	mu      sync.Mutex
	random  *rand.Rand
	objects map[string]slipwick.Object
	last    slipwick.Version
	outage  bool
	// maxDelay is the maximum delay that is added to a call. lostResponses and lateWrites are the
	// shares of writes that take effect, at once or later, although the caller gets an error.
	maxDelay                  time.Duration
	lostResponses, lateWrites float64
	writes, bytes             int

	// Faults of the store itself: it acknowledges writes that it does not store, or ignores the
	// version of writes.
	dropsWrites, ignoresVersion bool
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{
		random:  rand.New(rand.NewPCG(seed, 99)),
		objects: make(map[string]slipwick.Object),
	}
}

func errDown() error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "the platform is down",
		Remedy:  "try again",
	}
}

// pause sleeps for the duration of a call.
func (f *fakeStore) pause() {
	f.mu.Lock()
	length := time.Millisecond + time.Duration(f.random.Int64N(int64(4*time.Millisecond)+int64(f.maxDelay)))
	f.mu.Unlock()
	time.Sleep(length)
}

func (f *fakeStore) Get(_ context.Context, key string) (slipwick.Object, error) {
	f.pause()
	f.mu.Lock()
	defer f.mu.Unlock()
	object, ok := f.objects[key]
	switch {
	case f.outage:
		return slipwick.Object{}, errDown()
	case !ok:
		return slipwick.Object{}, &slipwick.Error{
			Kind: slipwick.KindNotFound,
		}
	}
	return object, nil
}

func (f *fakeStore) Create(ctx context.Context, key string, value []byte) (slipwick.Version, error) {
	return f.Update(ctx, key, value, 0)
}

func (f *fakeStore) Update(
	_ context.Context, key string, value []byte, version slipwick.Version,
) (slipwick.Version, error) {
	f.pause()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	f.bytes += len(value)
	draw := f.random.Float64()
	switch {
	case f.outage:
		return 0, errDown()
	case draw < f.lateWrites:
		later := time.Duration(f.random.Int64N(int64(500 * time.Millisecond)))
		time.AfterFunc(later, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.put(key, value, version)
		})
		return 0, errDown()
	case draw < f.lateWrites+f.lostResponses:
		_, _ = f.put(key, value, version)
		return 0, errDown()
	case f.dropsWrites && draw > 0.5:
		return f.last + 1, nil
	}
	return f.put(key, value, version)
}

func (f *fakeStore) put(key string, value []byte, version slipwick.Version) (slipwick.Version, error) {
	if f.objects[key].Version != version && !f.ignoresVersion {
		return 0, &slipwick.Error{
			Kind: slipwick.KindConflict,
		}
	}
	f.last++
	f.objects[key] = slipwick.Object{
		Key:     key,
		Value:   value,
		Version: f.last,
	}
	return f.last, nil
}

func (f *fakeStore) Watch(context.Context, string, slipwick.Version) (slipwick.Object, error) {
	return slipwick.Object{}, errDown()
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]slipwick.Object, error) {
	f.pause()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return nil, errDown()
	}
	var objects []slipwick.Object
	for key, object := range f.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b slipwick.Object) int { return strings.Compare(a.Key, b.Key) })
	return objects, nil
}

// objectCount returns the number of objects in the store.
func (f *fakeStore) objectCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.objects)
}

func (f *fakeStore) set(change func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}
