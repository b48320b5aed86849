package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// TestEjectionLeavesRoomForRequests guards against an ejection that costs more than it saves: at 0.65 of
// the slots of two servers, one that fails a third of its requests is still needed, since the other has
// no room for them. With less load it is ejected.
func TestEjectionLeavesRoomForRequests(t *testing.T) {
	for _, c := range []struct {
		inFlight    int
		failureRate float64
		want        bool
	}{
		{inFlight: 4, failureRate: 0.35, want: true},
		{inFlight: 8, failureRate: 0.35, want: false},
		{inFlight: 8, failureRate: 1, want: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBalancer(2)
			b.SetSpeedAware(true)
			for _, s := range b.servers {
				s.Slots = 6
				s.inFlight = c.inFlight / 2
				s.busySince = time.Now()
			}
			s := b.servers["p-0"]
			for i := range 60 {
				evidence := slipwick.EvidenceGood
				if int(float64(i+1)*c.failureRate) > int(float64(i)*c.failureRate) {
					evidence = slipwick.EvidenceError
				}
				s.inFlight++
				b.Release(newLease(s), evidence)
			}
			if got := unavailableCount(b) > 0; got != c.want {
				t.Errorf("%d requests in flight, failure rate %v: got ejected %t, want %t",
					c.inFlight, c.failureRate, got, c.want)
			}
		})
	}
}
