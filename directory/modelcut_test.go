package directory

import (
	"testing"
	"time"
)

// TestLiveServersAreInUseThoughRoutersAreCutAfterTheReturn plays a history in which all routers
// sent nothing to live servers 11.7 s after the store listed them for good. Leases ran out in an
// interruption, so that each server counts as gone; a copy lists all of them, and what they write
// again changes nothing, so that no event tells that they live. They are doubted for eight
// heartbeats. Half of the routers are cut off from the store meanwhile, those that follow it for
// others among them: nobody can tell that the store did not stop then, and the time begins anew.
func TestLiveServersAreInUseThoughRoutersAreCutAfterTheReturn(t *testing.T) {
	const ms = time.Millisecond
	for round := range 5 {
		violations, _ := play(t, 10, []event{
			{
				Kind:  "configure",
				Which: 4,
				After: 4000 * ms,
			},
			{
				Kind:  "hang",
				Which: 1,
				For:   4200 * ms,
				After: 200 * ms,
				Lapse: true,
			},
			{
				Kind:  "leave",
				Which: 7,
				How:   "silent",
				After: 100 * ms,
			},
			{
				Kind:  "fall back",
				Which: 5,
				For:   2000 * ms,
				Age:   6500 * ms,
				After: 100 * ms,
			},
			{
				Kind:  "slow",
				Which: 8,
				For:   3200 * ms,
				Lapse: true,
			},
			{
				Kind:  "fall back",
				Which: 11,
				For:   600 * ms,
				Age:   1000 * ms,
				After: 500 * ms,
				Lapse: true,
			},
			{
				Kind:  "leave",
				Which: 10,
				How:   "end",
				After: 3100 * ms,
			},
			{
				Kind:  "cut",
				Which: 2,
				For:   400 * ms,
				After: 100 * ms,
				Lapse: true,
			},
			{
				Kind:  "configure",
				After: 3300 * ms,
			},
			{
				Kind:  "leave",
				Which: 5,
				How:   "word",
				After: 1500 * ms,
			},
		})
		if len(violations) > 0 {
			t.Errorf("round %d: %q", round, violations)
		}
	}
}
