package directory

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestFleetStartsAndIdlesWithFewCalls counts the calls to the store of fleets that start at once,
// and of idle ones. They must not grow with the fleet.
func TestFleetStartsAndIdlesWithFewCalls(t *testing.T) {
	for _, size := range []int{1, 8, 62, 295} {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(size)
			stop := f.start(t)
			time.Sleep(time.Second)
			if got := f.countLagging("0"); got > 0 {
				t.Errorf("%d routers: got %d without a copy after a second, want none", size, got)
			}
			if got := f.calls.Load(); got > 9 {
				t.Errorf("%d routers: got %d calls at the start, want at most 9", size, got)
			}
			f.calls.Store(0)
			time.Sleep(20 * time.Second)
			if got := f.calls.Load(); got > 60 {
				t.Errorf("%d routers: got %d calls in 20 idle seconds, want at most 60", size, got)
			}
			stop()
		})
	}
}

// TestChangesReachTheFleetThoughRoutersFail has the store change while some routers of the relay
// tree are unresponsive or cut off from the store. All others have to know the change within the
// propagation time.
func TestChangesReachTheFleetThoughRoutersFail(t *testing.T) {
	for name, fail := range map[string]func(f *simFleet){
		"none": func(*simFleet) {},
		"a watcher is unresponsive": func(f *simFleet) {
			f.watchers()[0].set(func(r *simRouter) { r.unresponsive = true })
		},
		"two watchers are unresponsive": func(f *simFleet) {
			for _, w := range f.watchers()[:min(2, len(f.watchers()))] {
				w.set(func(r *simRouter) { r.unresponsive = true })
			}
		},
		"a watcher gets no response from the store": func(f *simFleet) {
			f.watchers()[0].set(func(r *simRouter) { r.storeHangs = true })
		},
		"all watchers get no response from the store": func(f *simFleet) {
			for _, w := range f.watchers() {
				w.set(func(r *simRouter) { r.storeHangs = true })
			}
		},
		"a seventh of the routers is unresponsive": func(f *simFleet) {
			for i, r := range f.routers {
				if i%7 == 3 {
					r.set(func(r *simRouter) { r.unresponsive = true })
				}
			}
		},
	} {
		for _, size := range []int{8, 62, 295} {
			for variant := range 5 {
				synctest.Test(t, func(t *testing.T) {
					f := newSimFleet(size)
					stop := f.start(t)
					// The variants differ in the time since the latest confirmation of the copies.
					time.Sleep(5*time.Second + time.Duration(variant)*371*time.Millisecond)
					fail(f)
					time.Sleep(time.Duration(variant%2) * 50 * time.Millisecond)
					f.setValue("1")
					time.Sleep(fleetPropagationTime - 100*time.Millisecond)
					if got := f.countLagging("1"); got > 0 {
						t.Errorf("%d routers, %s, variant %d: got %d without the change in time, want none", size, name, variant, got)
					}
					stop()
				})
			}
		}
	}
}

// TestChangeIsKnownInHalfOfTheTimeThoughAThirdIsCutOff has the store refuse a third of the
// routers, with or without watchers among them, and then change, as when keys are revoked. The
// change has to be in force everywhere in half of the propagation time, because revoked keys have to
// stop working.
func TestChangeIsKnownInHalfOfTheTimeThoughAThirdIsCutOff(t *testing.T) {
	for _, size := range []int{62, 125, 250} {
		for variant := range 4 {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(size)
				stop := f.start(t)
				time.Sleep(5*time.Second + time.Duration(variant)*371*time.Millisecond)
				for i, r := range f.routers {
					if i%3 == variant%3 {
						r.set(func(r *simRouter) { r.storeRefuses = true })
					}
				}
				time.Sleep(time.Duration(variant) * 500 * time.Millisecond)
				f.setValue("1")
				time.Sleep(fleetPropagationTime / 2)
				if got := f.countLagging("1"); got > 0 {
					t.Errorf("%d routers, variant %d: got %d without the change in half of the propagation time, want none",
						size, variant, got)
				}
				stop()
			})
		}
	}
}

// TestOutageCostsFewCalls has the store refuse all routers for a while, then a third of them and
// all watchers.
func TestOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(295)
		stop := f.start(t)
		time.Sleep(5 * time.Second)
		refuse := func(refused func(i int, r *simRouter) bool) {
			for i, r := range f.routers {
				isRefused := refused(i, r)
				r.set(func(r *simRouter) { r.storeRefuses = isRefused })
			}
		}
		refuse(func(int, *simRouter) bool { return true })
		f.calls.Store(0)
		time.Sleep(9 * time.Second)
		if got := f.calls.Load(); got > 250 {
			t.Errorf("got %d calls in 9 s of outage, want at most 250", got)
		}
		refuse(func(int, *simRouter) bool { return false })
		f.setValue("1")
		time.Sleep(2 * time.Second)
		if got := f.countLagging("1"); got > 0 {
			t.Errorf("got %d routers without the change 2 s after the outage, want none", got)
		}
		time.Sleep(5 * time.Second)
		refuse(func(i int, r *simRouter) bool { return i%3 == 0 || r.RelayPosition().IsWatcher })
		f.calls.Store(0)
		time.Sleep(time.Second)
		f.setValue("2")
		time.Sleep(fleetPropagationTime)
		if got := f.countLagging("2"); got > 0 {
			t.Errorf("watchers refused: got %d routers without the change in time, want none", got)
		}
		for i := range 5 {
			value := strings.Repeat("3", i+1)
			f.setValue(value)
			time.Sleep(fleetPropagationTime)
			if got := f.countLagging(value); got > 0 {
				t.Errorf("watchers refused, change %d: got %d routers without it in time, want none", i, got)
			}
		}
		if got := f.calls.Load(); got > 400 {
			t.Errorf("watchers refused: got %d calls in 25 s, want at most 400", got)
		}
		stop()
	})
}

// TestRouterEndsTakeoverOnceReconnected isolates a router of the lowest level from the other
// routers for a while. It follows the store itself in the meantime, and other routers again
// afterwards.
func TestRouterEndsTakeoverOnceReconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(295)
		stop := f.start(t)
		time.Sleep(5 * time.Second)
		var lowest *simRouter
		for _, r := range f.routers {
			if r.RelayPosition().TakeoverTurn < 0 {
				lowest = r
			}
		}
		calls := func() int {
			lowest.mu.Lock()
			defer lowest.mu.Unlock()
			return lowest.calls
		}
		lowest.set(func(r *simRouter) { r.isolated = true })
		before := calls()
		time.Sleep(10 * time.Second)
		if got := calls() - before; got == 0 {
			t.Error("isolated: got no call to the store, want some")
		}
		lowest.set(func(r *simRouter) { r.isolated = false })
		// It checks every few seconds whether the watchers have a current copy again.
		time.Sleep(15 * time.Second)
		before = calls()
		time.Sleep(10 * time.Second)
		if got := calls() - before; got > 0 {
			t.Errorf("reconnected: got %d calls to the store in 10 s, want none", got)
		}
		stop()
	})
}
