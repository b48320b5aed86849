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

// Store is the platform's object API in memory. The zero value is ready.
type Store struct {
	mu      sync.Mutex
	objects map[string]slipwick.Object
	last    slipwick.Version
	changed chan struct{}
	outage  bool
	lose    int
	calls   int
}

const (
	storeLatency = 3 * time.Millisecond
	watchWait    = 30 * time.Second
)

// SetOutage makes every call fail until it is switched off.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	s.wakeLocked()
}

// LoseAnswers has the next n writes take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Calls counts the calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) wakeLocked() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// begin counts a call and lets its time pass; s.mu is held afterwards.
func (s *Store) begin() error {
	time.Sleep(storeLatency)
	s.mu.Lock()
	s.calls++
	if s.outage {
		return outage()
	}
	return nil
}

func outage() error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "the platform is down",
		Remedy:  "try again",
	}
}

// Get reads one object.
func (s *Store) Get(_ context.Context, key string) (slipwick.Object, error) {
	err := s.begin()
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

// Create writes an object that must not exist yet.
func (s *Store) Create(ctx context.Context, key string, value []byte) (slipwick.Version, error) {
	return s.Update(ctx, key, value, 0)
}

// Update replaces an object that must still have the version.
func (s *Store) Update(
	_ context.Context, key string, value []byte, version slipwick.Version,
) (slipwick.Version, error) {
	err := s.begin()
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
	s.last++
	s.objects[key] = slipwick.Object{
		Key:     key,
		Value:   value,
		Version: s.last,
	}
	s.wakeLocked()
	if s.lose > 0 {
		s.lose--
		return 0, outage()
	}
	return s.last, nil
}

// Watch waits until the object is newer than after.
func (s *Store) Watch(ctx context.Context, key string, after slipwick.Version) (slipwick.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait)
	defer cancel()
	if err := s.begin(); err != nil {
		s.mu.Unlock()
		return slipwick.Object{}, err
	}
	for {
		object, down := s.objects[key], s.outage
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if down {
			return slipwick.Object{}, outage()
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

// List gives the objects whose keys start with prefix.
func (s *Store) List(_ context.Context, prefix string) ([]slipwick.Object, error) {
	err := s.begin()
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
