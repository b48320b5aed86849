package configuration

import (
	"context"
	"testing"

	"github.com/slipwick/slipwick"
)

// TestOfferIgnoresOlderVersions checks also that the state in force stays if a newer one can't be
// decoded.
func TestOfferIgnoresOlderVersions(t *testing.T) {
	var inForce []slipwick.Version
	f := &Follower{
		OnChange: func(s *Snapshot) { inForce = append(inForce, s.Version) },
	}
	for _, version := range []slipwick.Version{3, 2, 3, 7, 1} {
		if err := f.Offer(slipwick.Object{
			Value:   []byte(`{}`),
			Version: version,
		}); err != nil {
			t.Fatal(err)
		}
	}
	if len(inForce) != 2 || inForce[0] != 3 || inForce[1] != 7 {
		t.Errorf("got versions %v in force, want 3 and 7", inForce)
	}
	if err := f.Offer(slipwick.Object{
		Value:   []byte(`{`),
		Version: 9,
	}); err == nil || f.Current().Version != 7 {
		t.Errorf("got %v and version %d for a broken state, want an error and 7", err, f.Current().Version)
	}
}

// watchedStore returns the next of its objects from each Watch, and blocks after the last one.
type watchedStore struct {
	slipwick.Store
	objects chan slipwick.Object
}

func (s *watchedStore) Watch(ctx context.Context, _ string, _ slipwick.Version) (slipwick.Object, error) {
	select {
	case object := <-s.objects:
		return object, nil
	case <-ctx.Done():
		return slipwick.Object{}, ctx.Err()
	}
}

// TestWaitThatEndsBeforeTheFirstStateIsNoError guards against an empty value of the platform, whose own wait
// ended without a state, that is reported as a state that can't be decoded.
func TestWaitThatEndsBeforeTheFirstStateIsNoError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	store := &watchedStore{
		objects: make(chan slipwick.Object, 2),
	}
	store.objects <- slipwick.Object{}
	store.objects <- slipwick.Object{
		Value:   []byte(`{}`),
		Version: 1,
	}
	f := &Follower{
		Store:    store,
		OnChange: func(*Snapshot) { cancel() },
		OnError:  func(err error) { t.Errorf("got error %v, want none", err) },
	}
	f.Run(ctx)
	if got := f.Current(); got == nil || got.Version != 1 {
		t.Errorf("got %+v in force, want version 1", got)
	}
}
