package emulation

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
)

// followed is a fleet that follows the configuration in a store.
type followed struct {
	*World

	store  *Store
	keeper *configuration.Repository
	stop   context.CancelFunc
	ctx    context.Context
}

func newFollowed(routers int) *followed {
	setup := small()
	setup.Routers, setup.Chats, setup.DataCentres = routers, 0, 10
	f := &followed{
		World: NewWorld(setup),
		store: &Store{},
	}
	f.keeper = &configuration.Repository{
		Store: f.store,
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i := range routers {
		f.Router(i).Follow(f.ctx, f.Network, f.store)
	}
	return f
}

func (f *followed) close() {
	f.stop()
	f.Close()
}

// apply puts the n-th state in force.
func (f *followed) apply(t *testing.T, n int) slipwick.Version {
	t.Helper()
	_, version, err := f.keeper.Current(f.ctx)
	if err != nil {
		t.Fatal(err)
	}
	version, err = f.keeper.Apply(f.ctx, stateOf(n), version)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func stateOf(n int) *configuration.State {
	return &configuration.State{
		Workspaces: []configuration.Workspace{
			{
				Name: fmt.Sprintf("w%d", n),
			},
		},
	}
}

// until waits until every router has the version, and gives how long that took.
func (f *followed) until(t *testing.T, version slipwick.Version, most time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for i := range f.Setup.Routers {
		r := f.Router(i)
		for {
			versions := r.Versions()
			if len(versions) > 0 && versions[len(versions)-1] >= version {
				break
			}
			if time.Since(began) > most {
				t.Fatalf("%s has versions %v after %s, want %d", r.Self.ID, versions, most, version)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// neverBack checks that no router stepped back.
func (f *followed) neverBack(t *testing.T) {
	t.Helper()
	for i := range f.Setup.Routers {
		versions := f.Router(i).Versions()
		for j := 1; j < len(versions); j++ {
			if versions[j] <= versions[j-1] {
				t.Errorf("router %d had versions %v, want them to rise", i, versions)
			}
		}
	}
}

// TestVersionsSpread checks how fast a version is in force everywhere, what it
// costs in calls to the platform, and that a version is known with a third of
// all messages lost.
func TestVersionsSpread(t *testing.T) {
	sizes := []int{8, 60}
	if *measure {
		sizes = append(sizes, 330)
	}
	for _, routers := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := newFollowed(routers)
			version := f.apply(t, 0)
			time.Sleep(40 * time.Second)
			f.until(t, version, time.Second)
			calls := f.store.Calls()
			time.Sleep(time.Minute)
			rest := float64(f.store.Calls()-calls) / time.Minute.Seconds()
			quick := f.until(t, f.apply(t, 1), 5*time.Second)
			f.Network.SetFaults(Faults{
				Lose: 1.0 / 3,
			})
			lossy := f.until(t, f.apply(t, 2), 9*time.Second)
			f.neverBack(t)
			f.close()
			t.Logf("%d routers: in force after %s, with a third of messages lost %s; %.2f calls/s at rest",
				routers, quick, lossy, rest)
		})
	}
}

// TestOutageWithReplacement takes the platform away for an hour while routers
// are replaced: the new ones take the version of their peers, and none steps
// back, then or afterwards.
func TestOutageWithReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowed(8)
		f.apply(t, 0)
		version := f.apply(t, 1)
		f.until(t, version, 30*time.Second)
		f.store.SetOutage(true)
		calls := f.store.Calls()
		for i := range 6 {
			time.Sleep(10 * time.Minute)
			f.Router(i).Kill()
			f.StartRouter(i).Follow(f.ctx, f.Network, f.store)
		}
		rate := float64(f.store.Calls()-calls) / time.Hour.Seconds()
		f.until(t, version, 30*time.Second)
		f.store.SetOutage(false)
		f.until(t, f.apply(t, 2), 90*time.Second)
		f.neverBack(t)
		f.close()
		t.Logf("%.2f calls/s in the outage", rate)
		if rate > 2 {
			t.Errorf("got %.2f calls/s in the outage, want at most 2", rate)
		}
	})
}

// TestRouterCutOff cuts a router off from the others and the platform while
// versions are applied, and joins it again: it goes on with what it has.
func TestRouterCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowed(8)
		before := f.apply(t, 0)
		f.until(t, before, 30*time.Second)
		out := f.Router(3)
		id := out.Self.ID
		f.Network.SetFaults(Faults{
			Cut: func(from, to string) bool { return (from == id) != (to == id) },
		})
		// Its calls to the platform fail as well.
		away := &Store{}
		away.SetOutage(true)
		alone, cancel := context.WithCancel(f.ctx)
		out.Kill()
		out = f.StartRouter(3)
		out.Follow(alone, f.Network, away)
		time.Sleep(time.Minute)
		if got := out.Versions(); len(got) > 0 {
			t.Errorf("got versions %v from nowhere, want none: the router is not ready", got)
		}
		version := f.apply(t, 1)
		f.Network.SetFaults(Faults{})
		f.until(t, version, 30*time.Second)
		f.neverBack(t)
		cancel()
		f.close()
	})
}

// TestTwoOperators has two operators apply at once: one wins, the other is told
// of the conflict, and a lost answer is not taken for a failure.
func TestTwoOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &Store{}
		keeper := &configuration.Repository{
			Store: store,
		}
		ctx := t.Context()
		version, err := keeper.Apply(ctx, stateOf(0), 0)
		if err != nil {
			t.Fatal(err)
		}
		results := make(chan error, 2)
		for n := range 2 {
			go func() {
				_, err := keeper.Apply(ctx, stateOf(n+1), version)
				results <- err
			}()
		}
		first, second := <-results, <-results
		if (first == nil) == (second == nil) {
			t.Errorf("got %v and %v, want one winner", first, second)
		}
		loser := first
		if first == nil {
			loser = second
		}
		if !slipwick.IsKind(loser, slipwick.KindConflict) {
			t.Errorf("got %v, want a conflict", loser)
		}
		store.LoseAnswers(1)
		_, version, _ = keeper.Current(ctx)
		if _, err := keeper.Apply(ctx, stateOf(7), version); err != nil {
			t.Errorf("got %v for a write that took effect, want none", err)
		}
	})
}
