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

// fakeStore is the platform in memory, with faults.
type fakeStore struct {
	mu      sync.Mutex
	random  *rand.Rand
	objects map[string]slipwick.Object
	last    slipwick.Version
	outage  bool
	// slow delays calls; loseAnswer and late are shares of writes that take
	// effect without an answer, at once or later.
	slow             time.Duration
	loseAnswer, late float64
	writes, bytes    int

	// Planted faults: writes that are acknowledged before they are kept,
	// and writes that ignore the version.
	forgets, unfenced bool
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{
		random:  rand.New(rand.NewPCG(seed, 99)),
		objects: make(map[string]slipwick.Object),
	}
}

func down() error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "the platform is down",
		Remedy:  "try again",
	}
}

// pause is how long a call takes.
func (f *fakeStore) pause() {
	f.mu.Lock()
	length := time.Millisecond + time.Duration(f.random.Int64N(int64(4*time.Millisecond)+int64(f.slow)))
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
		return slipwick.Object{}, down()
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
	fate := f.random.Float64()
	switch {
	case f.outage:
		return 0, down()
	case fate < f.late:
		later := time.Duration(f.random.Int64N(int64(500 * time.Millisecond)))
		time.AfterFunc(later, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.put(key, value, version)
		})
		return 0, down()
	case fate < f.late+f.loseAnswer:
		_, _ = f.put(key, value, version)
		return 0, down()
	case f.forgets && fate > 0.5:
		return f.last + 1, nil
	}
	return f.put(key, value, version)
}

func (f *fakeStore) put(key string, value []byte, version slipwick.Version) (slipwick.Version, error) {
	if f.objects[key].Version != version && !f.unfenced {
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
	return slipwick.Object{}, down()
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]slipwick.Object, error) {
	f.pause()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return nil, down()
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

func (f *fakeStore) set(change func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}
