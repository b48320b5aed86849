package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// dayFactor raises the load to as many requests as arrived in the bursts of the day of
	// docs/findings/bound-in-bursts.txt, 4,390 in 5 s, tripled to 1,500 a second.
	dayFactor, tripled = 1.76, 3.0
	// allowedAbove is the share of the arrivals within 5 s that may come to engines above the bound.
	allowedAbove = 0.03
)

// burstFleetSizes and largeBurstFleetSizes are the numbers of routers.
var (
	burstFleetSizes      = []int{8, 31, 84}
	largeBurstFleetSizes = []int{330}
)

// runBursts runs two bursts, the second with another hot prompt, and returns the largest share of requests
// above the bound. fail, which may be nil, is called at the start of the first burst.
func runBursts(t *testing.T, routers int, factor float64, fail func(*burstFleet)) (worst float64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := newBurstFleet(routers)
		f.runLoad(4*time.Second, 1, -1)
		if fail != nil {
			fail(f)
		}
		f.runLoad(6400*time.Millisecond, factor, 2)
		f.runLoad(9400*time.Millisecond, factor, 1)
		f.runLoad(10*time.Second, 1, -1)
		worst = f.worstWindow()
		f.runUntil(f.now() + 2*time.Second)
	})
	return worst
}

// TestBurstsKeepTheLoadBound guards against routers that send a prompt with many requests to one of its
// engines after the other, each of which is then above the load bound until the next updates.
func TestBurstsKeepTheLoadBound(t *testing.T) {
	checkBursts(t, burstFleetSizes)
}

// TestBurstsOfALargeFleetKeepTheLoadBound guards against the same where updates take longer.
func TestBurstsOfALargeFleetKeepTheLoadBound(t *testing.T) {
	checkBursts(t, largeBurstFleetSizes)
}

func checkBursts(t *testing.T, sizes []int) {
	t.Helper()
	for _, routers := range sizes {
		for _, factor := range []float64{dayFactor, tripled} {
			t.Run(fmt.Sprintf("%d routers, load times %v", routers, factor), func(t *testing.T) {
				got := runBursts(t, routers, factor, nil)
				t.Logf("%.4f of the requests above the bound", got)
				if got > allowedAbove {
					t.Errorf("got %.4f of the requests within 5 s at engines above the bound, want at most %v", got, allowedAbove)
				}
			})
		}
	}
}

// TestQuietLoadKeepsPrompts guards against prompts that are prefilled at further engines while there is no
// burst.
func TestQuietLoadKeepsPrompts(t *testing.T) {
	for _, routers := range []int{8, 84} {
		synctest.Test(t, func(t *testing.T) {
			f := newBurstFleet(routers)
			f.runLoad(5*time.Second, 1, -1)
			f.shared, f.again = 0, 0
			f.runLoad(20*time.Second, 1, -1)
			t.Logf("%d routers: %d of %d shared tokens were prefilled again", routers, f.again, f.shared)
			if got := float64(f.again) / float64(f.shared); got > 0.02 {
				t.Errorf("%d routers: got %.4f of the shared tokens prefilled again, want at most 0.02", routers, got)
			}
			f.runUntil(f.now() + 2*time.Second)
		})
	}
}
