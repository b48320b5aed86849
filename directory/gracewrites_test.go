package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/balance"
)

// TestEntryWrittenInGracePeriodIsDroppedAtOnce has an entry written and removed within the grace
// period after an outage or a restore. It guards against the failure that the entry counted as
// expired, so that requests went to a server that had been removed until the end of that period.
func TestEntryWrittenInGracePeriodIsDroppedAtOnce(t *testing.T) {
	for name, interrupt := range map[string]func(*Backends){
		"outage": func(b *Backends) {
			b.RecordFailure()
			time.Sleep(2 * modelHeartbeat)
			b.RecordFailure()
		},
		"restore": func(b *Backends) { b.StoreRestored(0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var list listRecorder
				b := NewBackends(list.apply)
				b.RecordResponse(0, 0)
				b.Apply([]Change[balance.Entry]{backendChange("a", false), backendChange("b", false)})
				interrupt(b)
				b.RecordResponse(0, 0)
				b.Apply([]Change[balance.Entry]{backendChange("c", false)})
				b.RecordResponse(0, 0)
				b.Apply([]Change[balance.Entry]{backendChange("d", false)})
				b.RecordResponse(0, 0)
				b.Apply([]Change[balance.Entry]{
					backendChange("b", true), backendChange("c", true), backendChange("d", true),
				})
				// The first response does not show whether c was written before.
				list.expect(t, "within the grace period", "a", "b", "c")
				time.Sleep(reregisterTime + time.Millisecond)
				list.expect(t, "after it", "a")
				time.Sleep(expiryHeartbeats * modelHeartbeat)
			})
		})
	}
}

// TestServerRemovedSoonAfterRestoreGetsNothing runs a history in which two or more routers of ten sent
// to a server that started and was removed at the same moment, 0.5 s after a restore of the store.
func TestServerRemovedSoonAfterRestoreGetsNothing(t *testing.T) {
	const ms = time.Millisecond
	for round := range 20 {
		violations, _ := runHistory(t, 10, []event{
			{
				Kind:   "leave",
				Target: 4,
				Manner: "crash",
				Delay:  7000 * ms,
			},
			{
				Kind:      "restore",
				Duration:  600 * ms,
				BackupAge: 6200 * ms,
				Delay:     4300 * ms,
			},
			{
				Kind:   "leave",
				Target: 4,
				Delay:  500 * ms,
			},
			{
				Kind:   "leave",
				Target: 4,
				Manner: "removed",
			},
		})
		if len(violations) > 0 {
			t.Errorf("round %d: %q", round, violations)
		}
	}
}
