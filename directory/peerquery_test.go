package directory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// peersWithLists returns feeds that respond to List as the test says.
type peersWithLists struct {
	fakePeers
	lists map[string]func(context.Context) (slipwick.FeedBatch, error)
}

func (p *peersWithLists) PeerFeed(id, _ string) slipwick.Feed {
	return &listFeed{
		Mirror: NewMirror(),
		list:   p.lists[id],
	}
}

type listFeed struct {
	*Mirror
	list func(context.Context) (slipwick.FeedBatch, error)
}

func (f *listFeed) List(ctx context.Context) (slipwick.FeedBatch, error) { return f.list(ctx) }

// TestListBeingReceivedIsNotAbandoned guards against a list from another router that is given up while it
// is being received: after the deadline, the responses of others begin and fail at the same moment, so
// that the end of a response may be handled before its begin. That is up to the scheduler, hence the
// many rounds.
func TestListBeingReceivedIsNotAbandoned(t *testing.T) {
	const timeout, rounds = 200 * time.Millisecond, 500
	sleepUntil := func(ctx context.Context, at time.Time) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(at)):
			return nil
		}
	}
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			peers := &peersWithLists{
				lists: map[string]func(context.Context) (slipwick.FeedBatch, error){
					"slow list": func(ctx context.Context) (slipwick.FeedBatch, error) {
						if err := sleepUntil(ctx, started.Add(timeout*95/100)); err != nil {
							return slipwick.FeedBatch{}, err
						}
						notifyBegin(ctx)
						return *batch(1, true, "a1"), sleepUntil(ctx, started.Add(3*timeout))
					},
				},
			}
			// One of these is asked every 0.15 of the timeout; the deadline of all is at 1.25.
			ids := []string{"slow list", "2", "3", "4", "5", "6", "7"}
			for _, id := range ids[1:] {
				peers.lists[id] = func(ctx context.Context) (slipwick.FeedBatch, error) {
					if err := sleepUntil(ctx, started.Add(timeout*14/10)); err != nil {
						return slipwick.FeedBatch{}, err
					}
					notifyBegin(ctx)
					return slipwick.FeedBatch{}, errors.New("the list is cut off")
				}
			}
			shared := &SharedFeed{
				Peers: peers,
			}
			if got := shared.listPeers(t.Context(), ids, timeout); !got.isCurrent {
				t.Fatalf("got %+v, want the list that was being received", got)
			}
			synctest.Wait()
		})
	}
}
