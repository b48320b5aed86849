package directory

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fleet"
)

// TestLargeListsAreReadByFewRouters starts fleets whose routers take a second to discover each
// other. A list from the store takes fifty calls of 20 ms, one from another router 200 ms. The
// calls to the store must not grow with the fleet.
//
// It guards against a failure found with 986 routers: each one that knew only a few others took
// itself for a watcher and listed from the store. A list that took longer than half a second was
// requested once more in parallel, and routers that had waited for it for half a second listed
// from the store, too.
func TestLargeListsAreReadByFewRouters(t *testing.T) {
	const pages = 50
	for _, size := range []int{62, 125, 250} {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(size)
			f.discoveryTime, f.pages, f.pageTime, f.transferTime = time.Second, pages, 20*time.Millisecond, 200*time.Millisecond
			stop := f.start(t)
			time.Sleep(5 * time.Second)
			if got := f.countLagging("0"); got > 0 {
				t.Errorf("%d routers: got %d without a copy after 5 s, want none", size, got)
			}
			// There are three watchers; each lists once and watches from then on.
			if got := f.calls.Load(); got > 3*(pages+10) {
				t.Errorf("%d routers: got %d calls at the start, want at most %d", size, got, 3*(pages+10))
			}
			stop()
		})
	}
}

// TestLargeListIsFoundThoughStoreFailsForWatchers has the store refuse the routers that should
// list at a start, or not respond to them. Others take over from them.
func TestLargeListIsFoundThoughStoreFailsForWatchers(t *testing.T) {
	for name, fail := range map[string]func(*simRouter){
		"refused":     func(r *simRouter) { r.storeRefuses = true },
		"no response": func(r *simRouter) { r.storeHangs = true },
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(125)
			f.discoveryTime, f.pages, f.pageTime, f.transferTime = time.Second, 50, 20*time.Millisecond, 200*time.Millisecond
			for _, r := range f.routers {
				if fleet.FindRelayPosition(r.self, f.members).IsWatcher {
					r.set(fail)
				}
			}
			stop := f.start(t)
			time.Sleep(2*fleetPropagationTime + time.Second)
			if got := f.countLagging("0"); got > 0 {
				t.Errorf("%s: got %d without a copy 1 s after twice the propagation time, want none", name, got)
			}
			stop()
		})
	}
}

// TestLoadingRoutersDoNotKeepEachOtherWaiting has routers without a copy report to each other that
// a list is under way. It has to stop counting as under way storeRetryInterval after it was first
// noted.
func TestLoadingRoutersDoNotKeepEachOtherWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirrors := []*Mirror{NewMirror(), NewMirror()}
		mirrors[0].SetLoading(storeRetryInterval)
		started := time.Now()
		for i := 0; ; i++ {
			_, err := mirrors[i%2].AwaitList(t.Context(), 10*time.Millisecond)
			if !slipwick.IsKind(err, slipwick.KindOverloaded) {
				break
			}
			var overloaded *slipwick.Error
			if errors.As(err, &overloaded) {
				mirrors[(i+1)%2].SetLoading(overloaded.RetryAfter)
			}
		}
		if took := time.Since(started); took > storeRetryInterval+20*time.Millisecond {
			t.Errorf("got routers that wait for each other for %v, want at most %v", took, storeRetryInterval)
		}
	})
}

// TestRestartedHalfOfFleetListsFromOthers has more than half of the routers, with or without
// watchers among them, lose power and start again at once. They get their lists from the routers
// that kept running, within a part of the propagation time.
func TestRestartedHalfOfFleetListsFromOthers(t *testing.T) {
	const pages = 50
	for _, size := range []int{62, 125, 250} {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(size)
			f.discoveryTime, f.pages, f.pageTime, f.transferTime = time.Second, pages, 20*time.Millisecond, 200*time.Millisecond
			for i, r := range f.routers {
				if i%9 < 5 {
					f.poweredOff = append(f.poweredOff, r)
				}
			}
			stop := f.start(t)
			time.Sleep(8 * time.Second)
			if got, want := f.countLagging("0"), len(f.poweredOff); got != want {
				t.Errorf("%d routers: got %d without a copy before the restart, want the %d without power", size, got, want)
			}
			f.calls.Store(0)
			f.powerOn()
			time.Sleep(1500 * time.Millisecond)
			if got := f.countLagging("0"); got > 0 {
				t.Errorf("%d routers: got %d without a copy 1.5 s after the restart, want none", size, got)
			}
			// Routers that take over from the watchers list from the store once more at most.
			if got := f.calls.Load(); got > 3*(pages+10) {
				t.Errorf("%d routers: got %d calls at the restart, want at most %d", size, got, 3*(pages+10))
			}
			stop()
		})
	}
}
