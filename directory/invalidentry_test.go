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

func (b *backendsFollower) run(ctx context.Context) *Follower[balance.Entry] {
	var recorder listRecorder
	backends := NewBackends(func(changes *balance.Changes) {
		recorder.apply(changes)
		b.list = slices.Clone(recorder.ids)
	})
	b.reasons = make(map[string]error)
	follower := NewFollower[balance.Entry](b.store, NewMirror())
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
		b.errors++
		backends.RecordFailure()
	}
	follower.OnInvalid = func(name string, reason error) {
		if reason == nil {
			delete(b.reasons, name)
			return
		}
		b.reasons[name] = reason
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
		b := &backendsFollower{
			store: newFakeFeed(serverBatch(1, true, entries...)),
		}
		ctx, cancel := context.WithCancel(t.Context())
		follower := b.run(ctx)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if !slices.Equal(b.list, want) || b.errors != 0 || len(b.reasons) != 10 {
			t.Errorf("got %v, %d failures of the store, %d invalid entries; want %v, none and ten",
				b.list, b.errors, len(b.reasons), want)
		}
		cancel()
		<-follower.Done()
	})
}

// TestEntryIsUnusedWhileInvalid makes a valid entry invalid and valid again, both while the store
// responds and during an outage.
func TestEntryIsUnusedWhileInvalid(t *testing.T) {
	for _, isDown := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := &backendsFollower{
				store: newFakeFeed(serverBatch(1, true, "a=ready", "b=ready")),
			}
			ctx, cancel := context.WithCancel(t.Context())
			follower := b.run(ctx)
			time.Sleep(time.Second)
			if isDown {
				b.store.setError(errors.New("down"))
				time.Sleep(10 * time.Second)
			}
			b.store.Apply(serverBatch(2, false, "b=invalid"))
			b.store.setError(nil)
			time.Sleep(time.Second)
			synctest.Wait()
			if got, want := b.list, []string{"a"}; !slices.Equal(got, want) {
				t.Errorf("down %t: got %v, want %v", isDown, got, want)
			}
			b.store.Apply(serverBatch(3, false, "b=ready"))
			time.Sleep(time.Second)
			synctest.Wait()
			if got, want := b.list, []string{"a", "b"}; !slices.Equal(got, want) || len(b.reasons) > 0 {
				t.Errorf("down %t: got %v, reasons %v; want %v and none", isDown, got, b.reasons, want)
			}
			cancel()
			<-follower.Done()
		})
	}
}
