package directory

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// withTimeline sets the timeline of a batch.
func withTimeline(timeline uint64, b *slipwick.FeedBatch) *slipwick.FeedBatch {
	b.Timeline = timeline
	return b
}

// scriptedFeed responds to each call with the next batch, and blocks when there is none left.
type scriptedFeed struct {
	responses []*slipwick.FeedBatch
	watches   []slipwick.Position
}

func (f *scriptedFeed) next(ctx context.Context) (slipwick.FeedBatch, error) {
	if len(f.responses) == 0 {
		<-ctx.Done()
		return slipwick.FeedBatch{}, ctx.Err()
	}
	b := f.responses[0]
	f.responses = f.responses[1:]
	return *b, nil
}

func (f *scriptedFeed) List(ctx context.Context) (slipwick.FeedBatch, error) { return f.next(ctx) }

func (f *scriptedFeed) Watch(
	ctx context.Context, after slipwick.Position, _ time.Duration,
) (slipwick.FeedBatch, error) {
	f.watches = append(f.watches, after)
	return f.next(ctx)
}

// TestFollowerOrdersTimelines passes the responses of stores that were restored from backups to a
// follower, one call after the other.
func TestFollowerOrdersTimelines(t *testing.T) {
	for name, tc := range map[string]struct {
		responses []*slipwick.FeedBatch
		want      []string
	}{
		"a watch from a revision that was assigned again": {
			responses: []*slipwick.FeedBatch{
				withTimeline(1, batch(7, true, "a1", "b1")),
				// Revision 7 removed b in this timeline; the watch returns only later changes.
				withTimeline(2, batch(8, false, "c1")),
				withTimeline(2, batch(8, true, "a1", "c1")),
			},
			want: []string{"a1", "c1"},
		},
		"a lower revision of a later timeline": {
			responses: []*slipwick.FeedBatch{
				withTimeline(1, batch(7, true, "a1", "b1")),
				withTimeline(2, batch(4, true, "a1")),
			},
			want: []string{"a1"},
		},
		"a skipped timeline that arrives late": {
			responses: []*slipwick.FeedBatch{
				withTimeline(1, batch(7, true, "a1")),
				withTimeline(3, batch(4, true, "a3")),
				withTimeline(2, batch(9, true, "a2")),
				withTimeline(3, batch(5, true, "a4")),
			},
			want: []string{"a4"},
		},
		"changes of an earlier timeline that arrive after the restore": {
			responses: []*slipwick.FeedBatch{
				withTimeline(2, batch(4, true, "a2")),
				withTimeline(1, batch(9, false, "a1")),
			},
			want: []string{"a2"},
		},
		"a store without timelines": {
			responses: []*slipwick.FeedBatch{
				batch(7, true, "a1"),
				batch(6, true, "a0"),
				batch(8, false, "b1"),
			},
			want: []string{"a1", "b1"},
		},
		"an older router without timelines, behind and ahead": {
			responses: []*slipwick.FeedBatch{
				withTimeline(2, batch(7, true, "a1")),
				batch(6, true, "a0"),
				batch(8, true, "a2"),
			},
			want: []string{"a2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state, stop := follow(t, &scriptedFeed{
					responses: tc.responses,
				})
				defer stop()
				time.Sleep(10 * time.Second)
				if got := state(); !slices.Equal(got, tc.want) {
					t.Errorf("got %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// TestCopyOfEarlierTimelineIsIgnored has a router that was suspended or cut off still hold the
// copy of an earlier timeline, with a higher revision, when the store stops responding to the others.
func TestCopyOfEarlierTimelineIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isolated := newFakeFeed(withTimeline(1, batch(50, true, "a1")))
		store := newFakeFeed(withTimeline(2, batch(10, true, "a2")))
		shared := &SharedFeed{
			FeedName: "backends",
			Store:    store,
			Peers: &fakePeers{
				isWatcher: true,
				relays: map[string]*fakeFeed{
					"isolated": isolated,
				},
				relayIDs: []string{"isolated"},
			},
			Timing: testTiming,
		}
		state, stop := follow(t, shared)
		defer stop()
		time.Sleep(testTiming.WatchWait)
		store.setError(errStoreDown)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go keepConfirmed(ctx, isolated)
		time.Sleep(5 * time.Second)
		if got, want := state(), []string{"a2"}; !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// TestMirrorRejectsOtherTimelines watches a copy from positions in other timelines than its own.
func TestMirrorRejectsOtherTimelines(t *testing.T) {
	m := NewMirror()
	m.Apply(withTimeline(1, batch(7, true, "a1", "b1")))
	m.Apply(withTimeline(2, batch(4, true, "a1")))
	m.Apply(withTimeline(2, batch(8, false, "c1")))
	for name, tc := range map[string]struct {
		after slipwick.Position
		want  slipwick.Kind
	}{
		"from an earlier timeline": {
			after: slipwick.Position{
				Timeline: 1,
				Revision: 7,
			},
			want: slipwick.KindHistoryLost,
		},
		"from a later timeline": {
			after: slipwick.Position{
				Timeline: 3,
				Revision: 2,
			},
			want: slipwick.KindNotCurrent,
		},
	} {
		if got, _, err := m.changesSince(tc.after, false); !slipwick.IsKind(err, tc.want) {
			t.Errorf("%s: got %+v and %v, want kind %s", name, got, err, tc.want)
		}
	}
	got, _, err := m.changesSince(slipwick.Position{
		Timeline: 2,
		Revision: 4,
	}, false)
	if err != nil {
		t.Fatal(err)
	}
	expectEntries(t, "from its own timeline", got.Entries, "c1")
}
