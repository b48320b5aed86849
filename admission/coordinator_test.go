package admission

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// discardTransport drops all envelopes.
type discardTransport struct{}

func (discardTransport) Send(string, *peerpb.Envelope) {}

// newSoleCoordinator returns the coordinator of the only router, which owns a pool of two backend
// servers.
func newSoleCoordinator(t *testing.T) *Coordinator {
	t.Helper()
	c := NewCoordinator("self", discardTransport{}, DefaultPolicy())
	pool := newPool(2, 1.25, func(int) uint32 { return 1 })
	c.SetView(placement.NewView([]placement.Pool{*pool}, []slipwick.Router{
		{
			ID: "self",
		},
	}))
	return c
}

// TestWorkspaceLimit has a workspace ask for more slots than its max_in_flight. It must get that
// many, or slightly more because of the load factor, and its other requests must be refused because
// of its limit or the load.
func TestWorkspaceLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSoleCoordinator(t)
		c.Share = func(string) Share {
			return Share{
				MaxInFlight: 4,
			}
		}
		var mu sync.Mutex
		var requests sync.WaitGroup
		granted, limited := 0, 0
		for i := range 20 {
			requests.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := c.Acquire(ctx, slipwick.AcquireRequest{
					Pool:      "p",
					Workspace: "w",
					Chat:      uint64(i),
				})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					granted++
				case slipwick.IsKind(err, slipwick.KindWorkspaceLimit), slipwick.IsKind(err, slipwick.KindOverloaded):
					limited++
				default:
					t.Errorf("got %v, want a refusal because of load", err)
				}
			})
		}
		requests.Wait()
		// 4 slots, times 1.25, over 2 backend servers, rounded up at each.
		if granted < 4 || granted > 6 || granted+limited != 20 {
			t.Errorf("got %d granted and %d refused, want 4 to 6 granted", granted, limited)
		}
		time.Sleep(time.Minute)
	})
}

// TestUnreachableOwner checks that a router whose owners do not answer grants itself one slot for
// each backend server and refuses further requests as not run.
func TestUnreachableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCoordinator("self", discardTransport{}, DefaultPolicy())
		pool := newPool(2, 1.25, func(int) uint32 { return 1 })
		c.SetView(placement.NewView([]placement.Pool{*pool}, []slipwick.Router{
			{
				ID: "silent",
			},
		}))
		request := slipwick.AcquireRequest{
			Pool: "p",
		}
		var grants []slipwick.Grant
		for range 2 {
			grant, err := c.Acquire(t.Context(), request)
			if err != nil {
				t.Fatal(err)
			}
			grants = append(grants, grant)
		}
		if grants[0].Backend.ID == grants[1].Backend.ID {
			t.Errorf("got %s twice, want one slot for each backend server", grants[0].Backend.ID)
		}
		_, err := c.Acquire(t.Context(), request)
		failure, ok := slipwick.AsError(err)
		if !ok || failure.Outcome != slipwick.OutcomeNotRun || failure.RetryAfter == 0 {
			t.Errorf("got %v, want a refusal as not run with a time to retry", err)
		}
		c.Release(grants[0], slipwick.EvidenceGood)
		if _, err := c.Acquire(t.Context(), request); err != nil {
			t.Errorf("got %v after a release, want a slot", err)
		}
	})
}

// TestServerThatStaysIsRestoredAfterItsEjectionOrPause guards against a backend server that gets requests while
// it is ejected, or in a pause that it asked for, because it announced meanwhile that it leaves, and then
// that it doesn't.
func TestServerThatStaysIsRestoredAfterItsEjectionOrPause(t *testing.T) {
	const wait = 20 * time.Second
	for name, begin := range map[string]func(*Coordinator, *ownedBackend){
		"ejection": func(c *Coordinator, o *ownedBackend) {
			c.Policy.EjectTime = wait
			c.eject(o)
		},
		"pause": func(c *Coordinator, o *ownedBackend) { c.setPause(o, wait) },
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newSoleCoordinator(t)
			var mu sync.Mutex
			var reported []Health
			c.OnHealth = func(_ string, health Health) {
				mu.Lock()
				defer mu.Unlock()
				reported = append(reported, health)
			}
			soFar := func() []Health {
				mu.Lock()
				defer mu.Unlock()
				return slices.Clone(reported)
			}
			var o *ownedBackend
			c.withLock(func() {
				for _, o = range c.owned {
					break
				}
				begin(c, o)
				c.markLeaving(o)
			})
			time.Sleep(wait / 2)
			c.ClearLeaving(o.backend.ID)
			time.Sleep(wait / 4)
			got, want := soFar(), []Health{HealthEjected, HealthLeaving, HealthEjected}
			if !slices.Equal(got, want) {
				t.Errorf("%s: got health %v after three quarters of it, want %v", name, got, want)
			}
			time.Sleep(wait)
			if got, want = soFar(), append(want, HealthGood); !slices.Equal(got, want) {
				t.Errorf("%s: got health %v after its end, want %v", name, got, want)
			}
			time.Sleep(time.Minute)
		})
	}
}

// TestOwnerLearnsWhereAChatWentAfterAFailedRedirection guards against an owner that redirects a chat to the same
// full backend server again and again, while another one has its prefix.
func TestOwnerLearnsWhereAChatWentAfterAFailedRedirection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const chat = 7
		c := NewCoordinator("self", discardTransport{}, DefaultPolicy())
		c.Policy.MaxAttempts = 4
		pool := newPool(3, 1.25, func(int) uint32 { return 1 })
		c.SetView(placement.NewView([]placement.Pool{*pool}, []slipwick.Router{
			{
				ID: "self",
			},
		}))
		ranked := c.view.Pools["p"]
		ranking := ranked.Rank(nil, chat)
		engine := func(position int) uint64 { return hashOf(&ranked.Backends[ranking[position]]) }
		// The chat was served by its third choice, and has to go to the second one now.
		key := displacedKey{
			engine: engine(0),
			chat:   chat,
		}
		c.displaced.Add(key, engine(2))
		c.withLock(func() {
			for _, position := range []int{0, 2} {
				c.setPause(c.owned[engine(position)], time.Minute)
			}
		})
		grant, err := c.Acquire(t.Context(), slipwick.AcquireRequest{
			Pool: "p",
			Chat: chat,
		})
		if err != nil {
			t.Fatal(err)
		}
		if want := ranked.Backends[ranking[1]].ID; grant.Backend.ID != want {
			t.Fatalf("got a slot at %s, want the second choice, %s", grant.Backend.ID, want)
		}
		if got, _ := c.displaced.Get(key); got != engine(1) {
			t.Errorf("got %d as the server of the chat, want the one that serves it, %d", got, engine(1))
		}
		time.Sleep(2 * time.Minute)
	})
}
