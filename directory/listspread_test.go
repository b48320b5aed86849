package directory

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"
)

var measureSpread = flag.Bool("measure-spread", false, "measure the spread of lists at larger sizes")

// spreadTimes returns how long a fleet that starts at once takes, in virtual time, until nine
// tenths and all of its routers have a list, and the number of calls to the store. The list takes
// 0.8 s to read from the store and 85 ms to send over a slow link.
func spreadTimes(t *testing.T, size, maxSends int) (nineTenths, all time.Duration, calls int64) {
	t.Helper()
	f := newSimFleet(size)
	f.discoveryTime, f.pages, f.pageTime = 500*time.Millisecond, 50, 16*time.Millisecond
	f.transferTime, f.maxSends = 85*time.Millisecond, maxSends
	started := time.Now()
	stop := f.start(t)
	defer stop()
	for f.countLagging("0") > size/10 && time.Since(started) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	nineTenths = time.Since(started)
	for f.countLagging("0") > 0 && time.Since(started) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return nineTenths, time.Since(started), f.calls.Load()
}

// TestListSpreadsInTime has all routers of a fleet start at once, as after a loss of power. With
// -measure-spread it logs the times for up to 1,000 routers and several numbers of lists that a
// router sends at a time.
func TestListSpreadsInTime(t *testing.T) {
	sizes, sends := []int{62, 125}, []int{maxLargeSends}
	if *measureSpread {
		sizes, sends = []int{125, 250, 500, 1000}, []int{1, maxLargeSends, 4, 8}
	}
	for _, size := range sizes {
		for _, sends := range sends {
			synctest.Test(t, func(t *testing.T) {
				nineTenths, all, calls := spreadTimes(t, size, sends)
				t.Logf("%d routers, %d sends at once: nine tenths after %v, all after %v, %d calls",
					size, sends, nineTenths, all, calls)
				if sends == maxLargeSends && all > fleetPropagationTime {
					t.Errorf("%d routers: got the list at every router after %v, want it within %v", size, all, fleetPropagationTime)
				}
			})
		}
	}
}
