package emulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// TestMembershipConverges checks how fast updates reach every router. All must know
// within a second that a router has left or that a backend server is leaving, and
// within 6 seconds that a router was killed. The control traffic of a router must
// not grow with the number of routers: with 80 it may be at most 1.5 times that
// with 20.
func TestMembershipConverges(t *testing.T) {
	traffic := make(map[int]float64)
	for _, routers := range []int{20, 80} {
		synctest.Test(t, func(t *testing.T) {
			setup := smallSetup()
			setup.Routers, setup.Chats = routers, 0
			w := NewWorld(setup)
			w.WarmUp()
			w.sleep(20 * time.Second)
			traffic[routers] = w.Report().Control
			w.Router(1).Node.Leave()
			w.sleep(time.Second)
			checkNotOwner(t, w, 1, 1)
			w.Router(2).Kill()
			w.sleep(6 * time.Second)
			checkNotOwner(t, w, 2, 2)
			w.Router(3).SetBackend(w.Engines()[0], memberpb.State_STATE_LEAVING)
			w.sleep(time.Second)
			for i := 4; i < routers; i++ {
				if got := w.Router(i).UsableCount(poolName); got != setup.Engines-1 {
					t.Errorf("router %d has %d usable engines, want %d", i, got, setup.Engines-1)
				}
			}
			w.Close()
		})
	}
	if traffic[80] > 1.5*traffic[20] {
		t.Errorf("got %.0f B/s with 80 routers and %.0f with 20, want about the same", traffic[80], traffic[20])
	}
	t.Logf("control B/s by routers: %v", fmt.Sprint(traffic))
}

// checkNotOwner checks that the i-th router is not an owner in the view of any
// router after the given index.
func checkNotOwner(t *testing.T, w *World, i, after int) {
	t.Helper()
	gone := w.Router(i).Self.ID
	for j := after + 1; j < w.Setup.Routers; j++ {
		for _, id := range w.Router(j).Owners() {
			if id == gone {
				t.Errorf("router %d still counts %s as an owner", j, gone)
			}
		}
	}
}
