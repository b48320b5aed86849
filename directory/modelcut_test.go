package directory

import (
	"testing"
	"time"
)

// TestLiveServersAreInUseThoughRoutersAreCutOffAfterRestore runs a history in which all routers
// sent nothing to live servers 11.7 s after the store had last begun to list them. All entries
// expire in an outage, so every server counts as departed. The store is then restored from a backup
// that lists all of them. What the servers write again changes nothing, so that no event shows that
// they are alive, and their entries are suspect for eight heartbeats. Meanwhile half of the routers
// are cut off from the store, the watchers among them: no router can tell that the store did not
// stop during that time, and the eight heartbeats start again.
func TestLiveServersAreInUseThoughRoutersAreCutOffAfterRestore(t *testing.T) {
	const ms = time.Millisecond
	for round := range 5 {
		violations, _ := runHistory(t, 10, []event{
			{
				Kind:   "configure",
				Target: 4,
				Delay:  4000 * ms,
			},
			{
				Kind:     "hang",
				Target:   1,
				Duration: 4200 * ms,
				Delay:    200 * ms,
				Expires:  true,
			},
			{
				Kind:   "leave",
				Target: 7,
				Manner: "removed",
				Delay:  100 * ms,
			},
			{
				Kind:      "restore",
				Target:    5,
				Duration:  2000 * ms,
				BackupAge: 6500 * ms,
				Delay:     100 * ms,
			},
			{
				Kind:     "slow",
				Target:   8,
				Duration: 3200 * ms,
				Expires:  true,
			},
			{
				Kind:      "restore",
				Target:    11,
				Duration:  600 * ms,
				BackupAge: 1000 * ms,
				Delay:     500 * ms,
				Expires:   true,
			},
			{
				Kind:   "leave",
				Target: 10,
				Manner: "crash",
				Delay:  3100 * ms,
			},
			{
				Kind:     "cut",
				Target:   2,
				Duration: 400 * ms,
				Delay:    100 * ms,
				Expires:  true,
			},
			{
				Kind:  "configure",
				Delay: 3300 * ms,
			},
			{
				Kind:   "leave",
				Target: 5,
				Manner: "announced",
				Delay:  1500 * ms,
			},
		})
		if len(violations) > 0 {
			t.Errorf("round %d: %q", round, violations)
		}
	}
}
