package gatewayd

import (
	"bytes"
	"context"
	"fmt"
	"strings"
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

// rolloutFleet has routers that follow one order, exchange outcomes, and write its state.
type rolloutFleet struct {
	routers []*rollouts

	mu sync.Mutex
	// order is the order in the store, writes counts the writes that the store accepted,
	// rejectsWrites makes it reject all writes.
	order         rollout.Order
	writes        int
	rejectsWrites bool
	// newVersionRequests counts the requests sent to the new version.
	newVersionRequests int
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
			// With a private store, each router writes.
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
	case f.rejectsWrites:
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

// publishOrder gives all routers the current order.
func (f *rolloutFleet) publishOrder() {
	f.mu.Lock()
	order := f.order
	f.mu.Unlock()
	for _, r := range f.routers {
		r.applyChanges([]directory.Change[rollout.Order]{
			{
				Name:  "o",
				Value: order,
			},
		})
	}
}

// sendLoad sends requests for the period. Request i, counted from 0, fails if it is sent to the
// new version and failing returns true for i.
func (f *rolloutFleet) sendLoad(t *testing.T, period time.Duration, failing func(i int) bool) {
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
				f.newVersionRequests++
				if failing(i) {
					evidence = slipwick.EvidenceError
				}
			}
			b.Release(lease, evidence)
			i++
		}
		time.Sleep(rolloutCheckInterval)
		for _, r := range f.routers {
			update := r.process.balancer.TakeUpdate()
			for _, other := range f.routers {
				if other != r {
					other.process.balancer.ReceiveOutcomes(update.Outcomes)
				}
			}
		}
		f.publishOrder()
	}
}

func (f *rolloutFleet) state() rollout.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.order.State
}

// TestRolloutIsDecidedByTheFleet rolls out a good and a bad version with eight routers, none
// of which sees enough outcomes for a verdict by itself. The store rejects writes for a while.
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
			f.publishOrder()
			for _, r := range f.routers {
				runs.Go(func() { r.run(ctx) })
			}
			// Fewer outcomes than a verdict needs.
			f.sendLoad(t, 2*rolloutCheckInterval, test.failing)
			if got := f.state(); got != rollout.StateRunning {
				t.Errorf("%s: got state %q after the first outcomes, want running", test.name, got)
			}
			f.mu.Lock()
			f.rejectsWrites = true
			f.mu.Unlock()
			f.sendLoad(t, 7*time.Second, test.failing)
			f.mu.Lock()
			f.rejectsWrites = false
			f.mu.Unlock()
			f.sendLoad(t, 5*time.Second, test.failing)
			if got := f.state(); got != test.want {
				t.Errorf("%s: got state %q at the deadline, want %q", test.name, got, test.want)
			}
			if f.writes != 2 {
				t.Errorf("%s: got %d writes accepted, want 2, one for each state", test.name, f.writes)
			}
			before := f.newVersionRequests
			f.sendLoad(t, time.Second, test.failing)
			if got := f.newVersionRequests - before; (got > 0) != (test.want == rollout.StateCompleted) {
				t.Errorf("%s: got %d requests at the new version after the verdict", test.name, got)
			}
			cancel()
			runs.Wait()
		})
	}
}

// TestStartWithoutRolloutOrdersIsLogged guards against a router that starts without the rollout orders, and
// sends to a rolled back version, without a word to its operators. One that gets them in time logs nothing.
func TestStartWithoutRolloutOrdersIsLogged(t *testing.T) {
	for _, known := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var lines bytes.Buffer
			p := New(&Settings{
				Bounds: Bounds{
					Exposure: 0.1,
				},
			}, Feeds{
				Rollouts: unavailableFeed{},
			})
			p.Log = zerolog.New(&lines)
			if known {
				close(p.rolloutsKnown)
			}
			p.awaitRollouts(t.Context())
			if got := strings.Contains(lines.String(), `"rollouts-unknown"`); got == known {
				t.Errorf("orders known %v: got log lines %q", known, lines.String())
			}
		})
	}
}
