package emulation

import (
	"testing"
	"time"
)

// smallSetup is a small fleet whose chats send requests often, so that tests run
// fast.
func smallSetup() Setup {
	setup := todaySetup()
	setup.Routers, setup.Engines, setup.Chats = 6, 10, 300
	setup.ThinkTime, setup.ServiceTime = 4*time.Second, 4*time.Second
	return setup
}

// checkNoLeakedSlots checks that no slot leaked: once the chats have stopped,
// every owner's counts return to zero within the lease time and 5 seconds.
func checkNoLeakedSlots(t *testing.T, w *World) {
	t.Helper()
	time.Sleep(w.Setup.Policy.LeaseTime + 5*time.Second)
	for i := range w.Setup.Routers {
		r := w.Router(i)
		if r.isStopped() {
			continue
		}
		for engine, got := range r.Coordinator.InFlight() {
			if got != 0 {
				t.Errorf("%s counts %d slots in use at %s, want 0", r.Self.ID, got, engine)
			}
		}
		for _, status := range r.Coordinator.Status() {
			if status.Queued != 0 {
				t.Errorf("%s queues %d requests for %s, want 0", r.Self.ID, status.Queued, status.Backend)
			}
		}
	}
	if got := w.Meter.InFlight(); got != 0 {
		t.Errorf("got %d requests in flight, want 0", got)
	}
}
