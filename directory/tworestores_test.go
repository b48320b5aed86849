package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/balance"
)

// TestDepartedIncarnationGetsNothingAfterTwoRestores runs a history in which a router sent again to
// an incarnation that it knew to have left, in a quarter of the rounds. A server crashes and starts
// again; then the store is restored twice within seconds, from backups that are older than the
// crash. A router whose first list after the first restore had the later incarnation already did
// not record that the earlier one had ended, and trusted it when the second restore brought it back.
func TestDepartedIncarnationGetsNothingAfterTwoRestores(t *testing.T) {
	const ms = time.Millisecond
	const rounds = 40
	failed := 0
	for range rounds {
		violations, _ := runHistory(t, 2, []event{
			{
				Kind:   "leave",
				Target: 7,
				Manner: "crash",
				Delay:  2300 * ms,
			},
			{
				Kind:   "start",
				Target: 7,
				Delay:  2700 * ms,
			},
			{
				Kind:      "restore",
				Target:    4,
				Duration:  2000 * ms,
				BackupAge: 5700 * ms,
				Delay:     100 * ms,
				Expires:   true,
			},
			{
				Kind:   "leave",
				Target: 1,
				Manner: "crash",
				Delay:  200 * ms,
			},
			{
				Kind:      "restore",
				Target:    11,
				Duration:  1800 * ms,
				BackupAge: 1000 * ms,
				Delay:     100 * ms,
				Expires:   true,
			},
			{
				Kind:     "outage",
				Target:   1,
				Duration: 800 * ms,
				Delay:    1300 * ms,
				Expires:  true,
			},
		})
		if len(violations) > 0 {
			failed++
			t.Logf("got %q", violations)
		}
	}
	if failed > 0 {
		t.Errorf("got violations in %d of %d rounds, want none", failed, rounds)
	}
}

// TestIncarnationReplacedInRestoredListIsSuspect guards against the same failure with one list: a
// restored store lists a later incarnation, which is then removed, and a second restore brings the
// earlier one back. The list has no entry of the server by then to compare the start times with.
func TestIncarnationReplacedInRestoredListIsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &modelRouter{
			listed: make(map[string]string),
		}
		b := NewBackends(r.applyBackends)
		write := func(incarnation int64) {
			change := backendChange("a", false)
			change.Value.StartTime = incarnation
			b.Apply([]Change[balance.Entry]{change})
		}
		b.RecordResponse(0, 0)
		write(1)
		b.StoreRestored(0, 0)
		write(2)
		time.Sleep(reregisterTime)
		b.Apply([]Change[balance.Entry]{backendChange("a", true)})
		b.StoreRestored(0, 0)
		write(1)
		if r.wouldSendTo("a", 1) {
			t.Error("got requests sent to an incarnation that a later one had replaced, want none")
		}
		time.Sleep(expiryHeartbeats * modelHeartbeat)
	})
}

// TestDepartedServerGetsNothingAfterHangAndOutage runs a history in which routers sent again to a server
// that they knew to have left. The second restore lists it again; the store then stops responding twice, and
// so restarts the time after which it removes the entry. Routers that took the store to have responded
// throughout trusted the entry just before its removal.
func TestDepartedServerGetsNothingAfterHangAndOutage(t *testing.T) {
	const ms = time.Millisecond
	for round := range 20 {
		violations, _ := runHistory(t, 4, []event{
			{
				Kind:   "leave",
				Target: 4,
				Manner: "crash",
				Delay:  2100 * ms,
			},
			{
				Kind:      "restore",
				BackupAge: 1100 * ms,
				Delay:     900 * ms,
				Expires:   true,
			},
			{
				Kind:   "leave",
				Target: 2,
				Manner: "announced",
				Delay:  500 * ms,
			},
			{
				Kind:     "cut",
				Target:   7,
				Duration: 1100 * ms,
				Delay:    800 * ms,
			},
			{
				Kind:      "restore",
				BackupAge: 7100 * ms,
				Delay:     2500 * ms,
			},
			{
				Kind:     "hang",
				Duration: 4900 * ms,
				Delay:    3700 * ms,
			},
			{
				Kind:     "outage",
				Duration: 5300 * ms,
				Delay:    3400 * ms,
				Expires:  true,
			},
		})
		if len(violations) > 0 {
			t.Errorf("round %d: %q", round, violations)
		}
	}
}
