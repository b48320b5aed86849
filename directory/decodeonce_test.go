package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// TestFollowerDecodesEachValueOnce has objects change whose states have an order. A value that was
// decoded to compare it with the known one must not be decoded again to apply it, because all
// routers of a fleet decode a configuration at the same moment.
func TestFollowerDecodesEachValueOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed(&slipwick.FeedBatch{
			Entries: []slipwick.FeedEntry{
				{
					Name:  "main",
					Value: []byte("1"),
				},
			},
			IsSnapshot: true,
			Revision:   1,
		})
		decodeCounts, latest := make(map[string]int), ""
		follower := NewFollower[string](feed, NewMirror())
		follower.IsOutdated = func(known, received string) bool { return received < known }
		follower.Decode = func(_ string, value []byte) (string, error) {
			decodeCounts[string(value)]++
			return string(value), nil
		}
		follower.OnChange = func(changes []Change[string]) { latest = changes[len(changes)-1].Value }
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		for i, value := range []string{"2", "3", "0", "4"} {
			time.Sleep(time.Second)
			feed.Apply(&slipwick.FeedBatch{
				Entries: []slipwick.FeedEntry{
					{
						Name:  "main",
						Value: []byte(value),
					},
				},
				Revision: uint64(i + 2),
			})
		}
		time.Sleep(time.Second)
		cancel()
		<-follower.Done()
		if latest != "4" {
			t.Errorf("got %q, want the newest value", latest)
		}
		for value, count := range decodeCounts {
			if count != 1 {
				t.Errorf("value %s: decoded %d times, want once", value, count)
			}
		}
	})
}
