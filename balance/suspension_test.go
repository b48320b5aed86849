package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// TestAgesCountSuspensions suspends a router's box between two decisions. The counts that it
// received and the ejections that it decided on must age by the time of the suspension.
func TestAgesCountSuspensions(t *testing.T) {
	for _, sleep := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			suspended := time.Duration(0)
			defer clock.SetSuspensionOffset(func() time.Duration { return suspended })()
			b := newTestBalancer(3)
			b.SetPeers([]string{"r"}, 1)
			lease := acquire(t, b, &Request{Pool: "p"})
			b.Release(lease, slipwick.EvidenceRefused)
			b.ReceiveCounts("r", 1, []InFlight{{Server: b.servers[lease.Backend.ID].hash, Count: 9}})
			if !b.hasAllUpdatesLocked(clock.Now()) || !b.isUnavailableLocked(b.servers[lease.Backend.ID], clock.Now()) {
				t.Fatal("got new counts or a new ejection ignored, want both in effect")
			}
			time.Sleep(100 * time.Millisecond)
			suspended += sleep
			clock.DetectSuspension()
			if b.hasAllUpdatesLocked(clock.Now()) {
				t.Errorf("after %v: got counts in use that are older than a second", sleep)
			}
			for _, s := range b.States() {
				if s.Ejected {
					t.Errorf("after %v: got %s ejected for %d ms more, want the ejection over", sleep, s.ID, s.EjectedMS)
				}
			}
		})
	}
}
