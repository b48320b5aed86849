package emulation

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
)

var _ slipwick.Store = (*Store)(nil)

// Store is an in-memory implementation of the platform's object API. The zero
// value is an empty store that is ready to use.
type Store struct {
	mu          sync.Mutex
	objects     map[string]slipwick.Object
	lastVersion slipwick.Version
	changed     chan struct{}
	outage      bool
	// lostResponses is how many of the next writes return an error though they
	// take effect.
	lostResponses int
	calls         int
}

const (
	storeLatency = 3 * time.Millisecond
	watchWait    = 30 * time.Second
)

// SetOutage switches an outage on or off. All calls fail during an outage.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	s.wakeLocked()
}

// LoseResponses makes the next n writes take effect but return an error, as if
// the response was lost.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostResponses = n
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wakeLocked wakes all watches; s.mu is held.
func (s *Store) wakeLocked() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// beginCall sleeps for the latency of a call, counts the call and returns an
// error in an outage. It returns with s.mu locked.
func (s *Store) beginCall() error {
	time.Sleep(storeLatency)
	s.mu.Lock()
	s.calls++
	if s.outage {
		return outageError()
	}
	return nil
}

func outageError() error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "the platform is down",
		Remedy:  "try again",
	}
}

// Get returns an object, or an error of KindNotFound.
func (s *Store) Get(_ context.Context, key string) (slipwick.Object, error) {
	err := s.beginCall()
	defer s.mu.Unlock()
	if err != nil {
		return slipwick.Object{}, err
	}
	object, ok := s.objects[key]
	if !ok {
		return object, &slipwick.Error{
			Kind:    slipwick.KindNotFound,
			Message: key + " does not exist",
			Remedy:  "create it first",
		}
	}
	return object, nil
}

// Create writes an object and returns its version. It returns an error of
// KindConflict if the object exists.
func (s *Store) Create(ctx context.Context, key string, value []byte) (slipwick.Version, error) {
	return s.Update(ctx, key, value, 0)
}

// Update replaces an object and returns its new version. It returns an error of
// KindConflict if the object no longer has the given version.
func (s *Store) Update(
	_ context.Context, key string, value []byte, version slipwick.Version,
) (slipwick.Version, error) {
	err := s.beginCall()
	defer s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if s.objects[key].Version != version {
		return 0, &slipwick.Error{
			Kind:    slipwick.KindConflict,
			Message: key + " was written by another writer",
			Remedy:  "read it again",
		}
	}
	if s.objects == nil {
		s.objects = make(map[string]slipwick.Object)
	}
	s.lastVersion++
	s.objects[key] = slipwick.Object{
		Key:     key,
		Value:   value,
		Version: s.lastVersion,
	}
	s.wakeLocked()
	if s.lostResponses > 0 {
		s.lostResponses--
		return 0, outageError()
	}
	return s.lastVersion, nil
}

// Watch blocks until the object is newer than after and returns it. After 30
// seconds, or when ctx ends, it returns an object without a value.
func (s *Store) Watch(ctx context.Context, key string, after slipwick.Version) (slipwick.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait)
	defer cancel()
	if err := s.beginCall(); err != nil {
		s.mu.Unlock()
		return slipwick.Object{}, err
	}
	for {
		object, outage := s.objects[key], s.outage
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if outage {
			return slipwick.Object{}, outageError()
		}
		if object.Version > after {
			return object, nil
		}
		select {
		case <-ctx.Done():
			return slipwick.Object{
				Key:     key,
				Version: after,
			}, nil
		case <-changed:
		}
		s.mu.Lock()
	}
}

// List returns the objects whose keys start with prefix, sorted by key.
func (s *Store) List(_ context.Context, prefix string) ([]slipwick.Object, error) {
	err := s.beginCall()
	defer s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var objects []slipwick.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b slipwick.Object) int { return strings.Compare(a.Key, b.Key) })
	return objects, nil
}
