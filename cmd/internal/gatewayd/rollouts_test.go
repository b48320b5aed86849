package gatewayd

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/rollout"
)

// rolloutFleet are routers that follow one order, tell each other, and write its state.
type rolloutFleet struct {
	routers []*rollouts

	mu sync.Mutex
	// order is as the store has it, writes count what it took, refuses has it take none.
	order   rollout.Order
	writes  int
	refuses bool
	// byNew counts the requests that the new version got.
	byNew int
}

func newRolloutFleet(routers int) *rolloutFleet {
	f := &rolloutFleet{
		order: rollout.Order{
			Pool:     "p",
			Version:  "v2",
			Duration: 12 * time.Second,
			Revision: 1,
		},
	}
	for i := range routers {
		p := New(&Settings{
			ID: fmt.Sprint("r", i),
			Bounds: Bounds{
				Exposure: 0.1,
			},
		}, Feeds{
			// Each of them writes.
			Private:      true,
			WriteRollout: f.write,
		})
		p.Log = zerolog.Nop()
		p.balancer = balance.New("d")
		var list []balance.Entry
		for n := range 20 {
			list = append(list, balance.Entry{
				Backend: slipwick.Backend{
					ID:         fmt.Sprint("s", n),
					DataCentre: "d",
				},
				Pool:    "p",
				Version: fmt.Sprint("v", 1+n%2),
			})
		}
		p.balancer.SetBackends(list)
		f.routers = append(f.routers, newRollouts(p))
	}
	return f
}

func (f *rolloutFleet) write(_ context.Context, _ string, order *rollout.Order, state rollout.State) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.refuses:
		return &slipwick.Error{
			Kind: slipwick.KindUnavailable,
		}
	case order.Revision != f.order.Revision:
		return &slipwick.Error{
			Kind: slipwick.KindConflict,
		}
	}
	f.order.State = state
	f.order.Revision++
	f.writes++
	return nil
}

// follow has all routers know the order as it is.
func (f *rolloutFleet) follow() {
	f.mu.Lock()
	order := f.order
	f.mu.Unlock()
	for _, r := range f.routers {
		r.change([]directory.Change[rollout.Order]{
			{
				Name:  "o",
				Value: order,
			},
		})
	}
}

// play sends requests for so long, of which those at the new version fail at the rate.
func (f *rolloutFleet) play(t *testing.T, period time.Duration, failing func(i int) bool) {
	t.Helper()
	for started, i := time.Now(), 0; time.Since(started) < period; {
		for range 40 {
			b := f.routers[i%len(f.routers)].process.balancer
			lease, err := b.Acquire(&balance.Request{
				Pool: "p",
			})
			if err != nil {
				t.Fatal(err)
			}
			evidence := slipwick.EvidenceGood
			var number int
			if _, err := fmt.Sscanf(lease.Backend.ID, "s%d", &number); err != nil {
				t.Fatal(err)
			}
			if number%2 == 1 {
				f.byNew++
				if failing(i) {
					evidence = slipwick.EvidenceError
				}
			}
			b.Release(lease, evidence)
			i++
		}
		time.Sleep(rolloutCheckInterval)
		for _, r := range f.routers {
			told := r.process.balancer.TakeUpdate()
			for _, other := range f.routers {
				if other != r {
					other.process.balancer.ReceiveOutcomes(told.Outcomes)
				}
			}
		}
		f.follow()
	}
}

func (f *rolloutFleet) state() rollout.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.order.State
}

// TestRolloutIsDecidedByTheFleet plays a good version and a bad one before eight routers, none
// of which sees enough for a verdict by itself, with a store that takes no writes for a while.
func TestRolloutIsDecidedByTheFleet(t *testing.T) {
	for _, test := range []struct {
		name    string
		failing func(int) bool
		want    rollout.State
	}{
		{
			name:    "good",
			failing: func(int) bool { return false },
			want:    rollout.StateCompleted,
		},
		{
			name:    "bad",
			failing: func(i int) bool { return i%2 == 0 },
			want:    rollout.StateRolledBack,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newRolloutFleet(8)
			ctx, cancel := context.WithCancel(t.Context())
			var runs sync.WaitGroup
			f.follow()
			for _, r := range f.routers {
				runs.Go(func() { r.run(ctx) })
			}
			// Fewer answers than a verdict takes.
			f.play(t, 2*rolloutCheckInterval, test.failing)
			if got := f.state(); got != rollout.StateRunning {
				t.Errorf("%s: got state %q at the begin, want it running", test.name, got)
			}
			f.mu.Lock()
			f.refuses = true
			f.mu.Unlock()
			f.play(t, 7*time.Second, test.failing)
			f.mu.Lock()
			f.refuses = false
			f.mu.Unlock()
			f.play(t, 5*time.Second, test.failing)
			if got := f.state(); got != test.want {
				t.Errorf("%s: got state %q at the deadline, want %q", test.name, got, test.want)
			}
			if f.writes != 2 {
				t.Errorf("%s: got %d writes taken, want one of each state", test.name, f.writes)
			}
			before := f.byNew
			f.play(t, time.Second, test.failing)
			if got := f.byNew - before; (got > 0) != (test.want == rollout.StateCompleted) {
				t.Errorf("%s: got %d requests at the new version after the verdict", test.name, got)
			}
			cancel()
			runs.Wait()
		})
	}
}
