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

// configFleet is a fleet whose routers follow the configuration in a store.
type configFleet struct {
	*World

	store      *Store
	repository *configuration.Repository
	stop       context.CancelFunc
	ctx        context.Context
}

func newConfigFleet(routers int) *configFleet {
	setup := smallSetup()
	setup.Routers, setup.Chats, setup.DataCentres = routers, 0, 10
	f := &configFleet{
		World: NewWorld(setup),
		store: &Store{},
	}
	f.repository = &configuration.Repository{
		Store: f.store,
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i := range routers {
		f.Router(i).Follow(f.ctx, f.Network, f.store)
	}
	return f
}

func (f *configFleet) close() {
	f.stop()
	f.Close()
}

// apply applies stateOf(n) and returns its version.
func (f *configFleet) apply(t *testing.T, n int) slipwick.Version {
	t.Helper()
	_, version, err := f.repository.Current(f.ctx)
	if err != nil {
		t.Fatal(err)
	}
	version, err = f.repository.Apply(f.ctx, stateOf(n), version)
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

// waitForVersion waits until every router has the version or a newer one and
// returns how long that took. The test fails if it takes longer than limit.
func (f *configFleet) waitForVersion(t *testing.T, version slipwick.Version, limit time.Duration) time.Duration {
	t.Helper()
	started := time.Now()
	for i := range f.Setup.Routers {
		r := f.Router(i)
		for {
			versions := r.Versions()
			if len(versions) > 0 && versions[len(versions)-1] >= version {
				break
			}
			if time.Since(started) > limit {
				t.Fatalf("%s has versions %v after %s, want %d", r.Self.ID, versions, limit, version)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(started)
}

// checkVersionsRise checks that no router went back to an older version.
func (f *configFleet) checkVersionsRise(t *testing.T) {
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

// TestConfigurationReachesAllRouters checks that a new version is in force at
// all routers within 5 seconds, and within 9 seconds while a third of all
// messages is lost. It logs the times and the rate of calls to the platform
// without changes.
func TestConfigurationReachesAllRouters(t *testing.T) {
	sizes := []int{8, 60}
	if *measure {
		sizes = append(sizes, 330)
	}
	for _, routers := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := newConfigFleet(routers)
			version := f.apply(t, 0)
			time.Sleep(40 * time.Second)
			f.waitForVersion(t, version, time.Second)
			calls := f.store.Calls()
			time.Sleep(time.Minute)
			idleRate := float64(f.store.Calls()-calls) / time.Minute.Seconds()
			quick := f.waitForVersion(t, f.apply(t, 1), 5*time.Second)
			f.Network.SetFaults(Faults{
				LossRate: 1.0 / 3,
			})
			lossy := f.waitForVersion(t, f.apply(t, 2), 9*time.Second)
			f.checkVersionsRise(t)
			f.close()
			t.Logf("%d routers: in force after %s, with a third of messages lost %s; %.2f calls/s without changes",
				routers, quick, lossy, idleRate)
		})
	}
}

// TestRoutersReplacedDuringOutage restarts six routers during a platform outage
// of an hour. The new ones must get the version from their peers, and no router
// may go back to an older version, during the outage or afterwards. The calls to
// the platform must stay at 2 per second or less.
func TestRoutersReplacedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigFleet(8)
		f.apply(t, 0)
		version := f.apply(t, 1)
		f.waitForVersion(t, version, 30*time.Second)
		f.store.SetOutage(true)
		calls := f.store.Calls()
		for i := range 6 {
			time.Sleep(10 * time.Minute)
			f.Router(i).Kill()
			f.StartRouter(i).Follow(f.ctx, f.Network, f.store)
		}
		rate := float64(f.store.Calls()-calls) / time.Hour.Seconds()
		f.waitForVersion(t, version, 30*time.Second)
		f.store.SetOutage(false)
		f.waitForVersion(t, f.apply(t, 2), 90*time.Second)
		f.checkVersionsRise(t)
		f.close()
		t.Logf("%.2f calls/s during the outage", rate)
		if rate > 2 {
			t.Errorf("got %.2f calls/s during the outage, want at most 2", rate)
		}
	})
}

// TestRestartOfIsolatedRouter restarts a router that reaches neither its peers
// nor the platform. It must not have a version until it reaches its peers again,
// and then get the current one, though its calls to the platform still fail.
func TestRestartOfIsolatedRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigFleet(8)
		before := f.apply(t, 0)
		f.waitForVersion(t, before, 30*time.Second)
		isolated := f.Router(3)
		id := isolated.Self.ID
		f.Network.SetFaults(Faults{
			Cut: func(from, to string) bool { return (from == id) != (to == id) },
		})
		// Its calls to the platform fail as well.
		failing := &Store{}
		failing.SetOutage(true)
		ctx, cancel := context.WithCancel(f.ctx)
		isolated.Kill()
		isolated = f.StartRouter(3)
		isolated.Follow(ctx, f.Network, failing)
		time.Sleep(time.Minute)
		if got := isolated.Versions(); len(got) > 0 {
			t.Errorf("got versions %v of an isolated router, want none", got)
		}
		version := f.apply(t, 1)
		f.Network.SetFaults(Faults{})
		f.waitForVersion(t, version, 30*time.Second)
		f.checkVersionsRise(t)
		cancel()
		f.close()
	})
}

// TestConcurrentApply has two operators apply at the same time. One must succeed
// and the other get a conflict. An apply whose response is lost must succeed if
// the write took effect.
func TestConcurrentApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &Store{}
		repository := &configuration.Repository{
			Store: store,
		}
		ctx := t.Context()
		version, err := repository.Apply(ctx, stateOf(0), 0)
		if err != nil {
			t.Fatal(err)
		}
		results := make(chan error, 2)
		for n := range 2 {
			go func() {
				_, err := repository.Apply(ctx, stateOf(n+1), version)
				results <- err
			}()
		}
		first, second := <-results, <-results
		if (first == nil) == (second == nil) {
			t.Errorf("got %v and %v, want one error", first, second)
		}
		failed := first
		if first == nil {
			failed = second
		}
		if !slipwick.IsKind(failed, slipwick.KindConflict) {
			t.Errorf("got %v, want a conflict", failed)
		}
		store.LoseResponses(1)
		_, version, _ = repository.Current(ctx)
		if _, err := repository.Apply(ctx, stateOf(7), version); err != nil {
			t.Errorf("got %v for a write that took effect, want none", err)
		}
	})
}
