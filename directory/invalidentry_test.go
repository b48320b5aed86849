package directory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
)

// serverBatch returns a batch of entries of backend servers, each given as name=value. The value
// "invalid" cannot be decoded.
func serverBatch(revision uint64, isSnapshot bool, values ...string) *slipwick.FeedBatch {
	b := &slipwick.FeedBatch{
		IsSnapshot: isSnapshot,
		Revision:   revision,
	}
	for _, text := range values {
		name, value, _ := strings.Cut(text, "=")
		b.Entries = append(b.Entries, slipwick.FeedEntry{
			Name:  name,
			Value: []byte(value),
		})
	}
	return b
}

// backendsFollower follows a feed of backend servers to which other programs write entries, too.
// list has the IDs in use, errors counts failed calls.
type backendsFollower struct {
	store  *fakeFeed
	list   []string
	errors int
	// reasons has the reasons of objects that cannot be decoded, by name.
	reasons map[string]error
}

func (w *backendsFollower) run(ctx context.Context) *Follower[balance.Entry] {
	var recorder listRecorder
	backends := NewBackends(func(changes *balance.Changes) {
		recorder.apply(changes)
		w.list = slices.Clone(recorder.ids)
	})
	w.reasons = make(map[string]error)
	follower := NewFollower[balance.Entry](w.store, NewMirror())
	follower.Decode = func(name string, value []byte) (balance.Entry, error) {
		if string(value) == "invalid" {
			return balance.Entry{}, errors.New("no address")
		}
		return balance.Entry{
			Backend: slipwick.Backend{
				ID: name,
			},
			Leaving: string(value) == "leaving",
		}, nil
	}
	follower.OnChange = backends.Apply
	follower.OnResponse = func(batch *slipwick.FeedBatch) { backends.RecordResponse(batch.Age, batch.StableFor) }
	follower.OnError = func(error) {
		w.errors++
		backends.RecordFailure()
	}
	follower.OnInvalid = func(name string, reason error) {
		if reason == nil {
			delete(w.reasons, name)
			return
		}
		w.reasons[name] = reason
	}
	go follower.Run(ctx)
	return follower
}

// TestInvalidEntriesNameNoServer has every third entry written by another program and invalid. The
// other entries stay in use, and the store counts as healthy.
func TestInvalidEntriesNameNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var entries, want []string
		for i := range 30 {
			if i%3 == 0 {
				entries = append(entries, fmt.Sprintf("s%02d=invalid", i))
				continue
			}
			entries = append(entries, fmt.Sprintf("s%02d=ready", i))
			want = append(want, fmt.Sprintf("s%02d", i))
		}
		w := &backendsFollower{
			store: newFakeFeed(serverBatch(1, true, entries...)),
		}
		ctx, cancel := context.WithCancel(t.Context())
		follower := w.run(ctx)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if !slices.Equal(w.list, want) || w.errors != 0 || len(w.reasons) != 10 {
			t.Errorf("got %v, %d failures of the store, %d invalid entries; want %v, none and ten",
				w.list, w.errors, len(w.reasons), want)
		}
		cancel()
		<-follower.Done()
	})
}

// TestEntryIsUnusedWhileInvalid makes a valid entry invalid and valid again, both while the store
// responses and during an outage.
func TestEntryIsUnusedWhileInvalid(t *testing.T) {
	for _, isDown := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := &backendsFollower{
				store: newFakeFeed(serverBatch(1, true, "a=ready", "b=ready")),
			}
			ctx, cancel := context.WithCancel(t.Context())
			follower := w.run(ctx)
			time.Sleep(time.Second)
			if isDown {
				w.store.setError(errors.New("down"))
				time.Sleep(10 * time.Second)
			}
			w.store.Apply(serverBatch(2, false, "b=invalid"))
			w.store.setError(nil)
			time.Sleep(time.Second)
			synctest.Wait()
			if got, want := w.list, []string{"a"}; !slices.Equal(got, want) {
				t.Errorf("down %t: got %v, want %v", isDown, got, want)
			}
			w.store.Apply(serverBatch(3, false, "b=ready"))
			time.Sleep(time.Second)
			synctest.Wait()
			if got, want := w.list, []string{"a", "b"}; !slices.Equal(got, want) || len(w.reasons) > 0 {
				t.Errorf("down %t: got %v, reasons %v; want %v and none", isDown, got, w.reasons, want)
			}
			cancel()
			<-follower.Done()
		})
	}
}
