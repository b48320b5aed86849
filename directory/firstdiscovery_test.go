package directory

import (
	"testing"
	"testing/synctest"
	"time"
)

// timeToCopy returns how long after its start a router has a copy.
func timeToCopy(r *simRouter) time.Duration {
	for {
		r.mu.Lock()
		_, ok := r.values["a"]
		r.mu.Unlock()
		if ok {
			return time.Since(r.started)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestStartingRouterAsksForCopyEarly restarts one router of a fleet whose other routers have a copy. It
// takes a second to know them all.
//
// It guards against a wait until a starting router asks any of those that it knows already, during which
// its callers wait: with 84 routers that start at once, it was most of the time until they served requests.
func TestStartingRouterAsksForCopyEarly(t *testing.T) {
	const maxWait = 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(40)
		f.discoveryTime = time.Second
		restarted := f.routers[len(f.routers)-1]
		f.poweredOff = []*simRouter{restarted}
		stop := f.start(t)
		time.Sleep(3 * time.Second)
		f.powerOn()
		time.Sleep(time.Until(restarted.started))
		if got := timeToCopy(restarted); got > maxWait {
			t.Errorf("got a copy %v after the start, want it within %v", got, maxWait)
		}
		stop()
	})
}

// TestStartingWatcherAsksStoreOnceItKnowsFleet has a watcher discover the others while it asks two of them,
// which give no response.
//
// It guards against a watcher that waits for routers which wait for its copy themselves: a router that has
// none responds after 150 ms.
func TestStartingWatcherAsksStoreOnceItKnowsFleet(t *testing.T) {
	const discoveryTime, maxListTime = firstDiscoveryInterval + peerTimeout/4, 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		shared, store, peers := newSharedFeed()
		peers.isWatcher = true
		peers.fleetKnown = make(chan struct{})
		for _, r := range peers.relays {
			r.setHangs(true)
		}
		started := time.Now()
		time.AfterFunc(discoveryTime, func() { close(peers.fleetKnown) })
		if _, err := shared.List(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took, lists := time.Since(started)-discoveryTime, store.listCount(); took > maxListTime || lists != 1 {
			t.Errorf("got the copy %v after the fleet was known with %d lists from the store, want it within %v with 1",
				took, lists, maxListTime)
		}
	})
}
