package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fairqueue"
)

// planReturns returns what the refused callers of a number of requests are told by a router with 4 slots, in
// order.
func planReturns(p *pool, count int, workspace string, work, deadline time.Duration) []time.Duration {
	var told []time.Duration
	for range count {
		request := &slipwick.PermitRequest{
			Workspace: workspace,
			Work:      work,
			Arrived:   epoch,
			Deadline:  epoch.Add(deadline),
		}
		told = append(told, p.planReturn(p.recordOf(request, epoch), request, 0, epoch))
	}
	slices.Sort(told)
	return told
}

func newTestPool() *pool {
	p := newPool("pool", "router", fairqueue.Limits{}, rand.New(rand.NewPCG(1, 2)).Float64)
	p.refresh(&slipwick.PoolCapacity{
		Complete: true,
		Servers: []slipwick.ServerCapacity{
			{
				Slots: 4,
			},
		},
	}, &fleetSize{
		live: 1,
		most: 1,
	}, epoch)
	return p
}

// TestRetryAfterKeepsToTheDeadline guards against values beyond the time that a caller waits, against one
// value for many callers, and against no value, for requests with short and long deadlines, and without an
// estimate of their work.
func TestRetryAfterKeepsToTheDeadline(t *testing.T) {
	for _, deadline := range []time.Duration{50 * time.Millisecond, 2 * time.Second, 12 * time.Second} {
		for _, work := range []time.Duration{0, 100 * time.Millisecond, deadline} {
			const count = 200
			told := planReturns(newTestPool(), count, "a", work, deadline)
			if told[0] <= 0 || told[count-1] > deadline {
				t.Errorf("work %v: got values from %v to %v, want at most %v", work, told[0], told[count-1], deadline)
			}
			if got := len(slices.Compact(told)); got < count*9/10 {
				t.Errorf("work %v by %v: got %d different values for %d callers, want them spread", work, deadline, got, count)
			}
		}
	}
}

// TestPlansOfWorkspacesAreSeparate guards against a workspace with many refused callers whose plan delays
// those of others.
func TestPlansOfWorkspacesAreSeparate(t *testing.T) {
	p := newTestPool()
	planReturns(p, 500, "heavy", time.Second, 10*time.Second)
	if got, want := planReturns(p, 1, "light", time.Second, 10*time.Second)[0], time.Second; got > want {
		t.Errorf("got a Retry-After of %v for the first refused caller of a workspace, want at most %v", got, want)
	}
}
