package quota

import (
	"fmt"
	"testing"
	"time"
)

const (
	burstFrom  = 2 * time.Second
	burstUntil = 6 * time.Second
	// othersFactor is what each of the other workspaces demands of its share.
	othersFactor = 0.95
)

// newBurst returns a fleet with 23 workspaces that demand most of their share, and one that demands 12
// times its share for 4 s, and 0.5 of it before and after.
func newBurst(routers int, until, deadline time.Duration, returns bool) *fleet {
	f := newFleet(routers)
	f.returns, f.maxReturns, f.follow = returns, 8, "heavy"
	share := testSlots / 24
	f.offerEvenly("w", 23, 0, othersFactor*23/24, allRouters(routers))
	for _, d := range []demand{
		{
			load: 0.5 * share,
		},
		{
			load:  11.5 * share,
			from:  burstFrom,
			until: until,
		},
	} {
		d.workspace, d.routers, d.deadline = "heavy", allRouters(routers), deadline
		f.offer(d)
	}
	return f
}

// TestReturnsAfterABurst has one workspace at 12 times its share for 4 s, whose callers follow each
// Retry-After. It guards against values beyond the time that callers wait, against values that bring
// the callers back at one time, and against callers who return in vain once the workspace demands no more
// than its share.
func TestReturnsAfterABurst(t *testing.T) {
	share := testSlots / 24
	for _, routers := range fleetSizes {
		for _, deadline := range []time.Duration{4 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprint(routers, "by", deadline), func(t *testing.T) {
				t.Parallel()
				f := newBurst(routers, burstUntil, deadline, true)
				f.run(40 * time.Second)
				told := f.retryAfters(0, f.now)
				longest := quantile(told, 1)
				fullest := f.fullestReturn(burstFrom, burstUntil, 250*time.Millisecond)
				returned, inTime := f.returnsWithinShare(share, burstUntil)
				first := f.permitShare(false, burstFrom+2*time.Second, burstUntil)
				again := f.permitShare(true, burstFrom+2*time.Second, burstUntil)
				t.Logf("told %d, median %v, longest %v, at most %.3f within 250 ms; %d of %d returned in time later; "+
					"in the burst %.3f of the first attempts and %.3f of the others got a permit",
					len(told), quantile(told, 0.5), longest, fullest, inTime, returned, first, again)
				if longest > deadline {
					t.Errorf("got a Retry-After of %v, want at most the %v from arrival to deadline", longest, deadline)
				}
				if fullest > 0.15 {
					t.Errorf("got %.3f of the callers told to return within 250 ms, want at most 0.15", fullest)
				}
				if returned == 0 || float64(inTime) < 0.9*float64(returned) {
					t.Errorf("got %d of %d returned callers a permit within their objective, want at least 0.9", inTime, returned)
				}
				if again < first {
					t.Errorf("got permits for %.3f of the returned callers, want more than the %.3f of first attempts", again, first)
				}
			})
		}
	}
}

// TestPlanForgetsCallersWhoStayAway has one workspace at 12 times its share for twice the time in which its
// callers are told to return, but none of them returns. It guards against a plan that keeps their work, and
// thus delays callers who would return.
func TestPlanForgetsCallersWhoStayAway(t *testing.T) {
	until := burstFrom + 2*testDeadline
	for _, routers := range fleetSizes {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			f := newBurst(routers, until, testDeadline, false)
			f.run(until)
			told := f.retryAfters(until-time.Second, until)
			median := quantile(told, 0.5)
			t.Logf("told %d a median of %v", len(told), median)
			if len(told) == 0 || median > 2*time.Second {
				t.Errorf("got a median Retry-After of %v, want at most 2 s", median)
			}
		})
	}
}
