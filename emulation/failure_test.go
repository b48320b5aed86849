package emulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// small is a fleet that runs fast; its chats are busy.
func small() Setup {
	setup := todaySetup()
	setup.Routers, setup.Engines, setup.Chats = 6, 10, 300
	setup.Think, setup.Service = 4*time.Second, 4*time.Second
	return setup
}

// settled checks, once all callers are gone, that no slot leaked: every owner's
// count returns to zero, within the time of a lease.
func settled(t *testing.T, w *World) {
	t.Helper()
	time.Sleep(w.Setup.Policy.LeaseTime + 5*time.Second)
	for i := range w.Setup.Routers {
		r := w.Router(i)
		if r.isStopped() {
			continue
		}
		for engine, got := range r.Coordinator.InFlight() {
			if got != 0 {
				t.Errorf("%s counts %d slots of %s, want 0", r.Self.ID, got, engine)
			}
		}
		for _, status := range r.Coordinator.Status() {
			if status.Held != 0 {
				t.Errorf("%s holds %d requests for %s, want 0", r.Self.ID, status.Held, status.Backend)
			}
		}
	}
	if got := w.Meter.Total(); got != 0 {
		t.Errorf("got %d requests in flight, want 0", got)
	}
}

// TestFailures brings about one failure each under load, and checks that every
// request ends, that the limit is kept as far as the failure allows, that few
// are refused, and that no slot leaks.
func TestFailures(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(t *testing.T, w *World)
		// excess bounds how far a grant may put an engine above the limit.
		excess  float64
		refused float64
	}{
		{
			name:    "none",
			fail:    func(*testing.T, *World) {},
			excess:  1,
			refused: 0,
		},
		{
			name: "owner killed mid-grant",
			fail: func(_ *testing.T, w *World) {
				w.CallBack()
				w.pause(300 * time.Millisecond)
				w.Router(0).Kill()
			},
			excess:  8,
			refused: 0.05,
		},
		{
			name: "two owners at once",
			fail: func(_ *testing.T, w *World) {
				w.Network.SetFaults(Faults{
					Cut: func(from, to string) bool { return (from < "router-003") != (to < "router-003") },
				})
				w.pause(5 * time.Second)
				w.Network.SetFaults(Faults{})
			},
			excess:  8,
			refused: 0.05,
		},
		{
			name: "router paused",
			fail: func(_ *testing.T, w *World) {
				w.Router(0).Pause()
				w.pause(10 * time.Second)
				w.Router(0).Resume()
			},
			excess:  8,
			refused: 0.2,
		},
		{
			name: "messages lost, doubled and reordered",
			fail: func(_ *testing.T, w *World) {
				w.Network.SetFaults(Faults{
					Lose:    0.1,
					Double:  0.1,
					Reorder: 0.3,
				})
				w.pause(20 * time.Second)
				w.Network.SetFaults(Faults{})
			},
			excess:  8,
			refused: 0.05,
		},
		{
			name: "router flapping",
			fail: func(_ *testing.T, w *World) {
				for range 3 {
					w.Router(0).Kill()
					w.pause(4 * time.Second)
					w.StartRouter(0)
					w.pause(4 * time.Second)
				}
			},
			excess:  8,
			refused: 0.05,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWorld(small())
				w.StartChats()
				w.WarmUp()
				tc.fail(t, w)
				w.pause(10 * time.Second)
				report := w.Report()
				w.StopChats()
				settled(t, w)
				w.Close()
				t.Log(report.Benchmark(tc.name))
				if report.Excess > tc.excess {
					t.Errorf("got %.2f requests above the limit, want at most %.2f", report.Excess, tc.excess)
				}
				if report.Refused > tc.refused {
					t.Errorf("got a share of %.3f refused, want at most %.3f", report.Refused, tc.refused)
				}
			})
		})
	}
}

// TestLeavingEngineGetsNoNewWork checks that an engine that begins to leave
// gets nothing after 3 seconds, and that what it has in progress finishes.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(small())
		w.StartChats()
		w.WarmUp()
		id := w.Engines()[3]
		before := w.Meter.Grants(id)
		w.SetLeaving(id, true)
		w.pause(3 * time.Second)
		after := w.Meter.Grants(id)
		w.pause(10 * time.Second)
		if got := w.Meter.Grants(id); got != after {
			t.Errorf("got %d grants after 3 seconds, want 0", got-after)
		}
		if before == 0 {
			t.Error("the engine had no work before it left")
		}
		report := w.Report()
		if report.Refused > 0 || w.Meter.Broken() > 0 {
			t.Errorf("got %.3f refused and %d broken, want none", report.Refused, w.Meter.Broken())
		}
		// It comes back, and is used again.
		w.SetLeaving(id, false)
		w.pause(20 * time.Second)
		if got := w.Meter.Grants(id); got == after {
			t.Error("got no grants after the engine came back")
		}
		w.StopChats()
		settled(t, w)
		w.Close()
	})
}

// TestHangingEngineIsEjected checks that an engine that accepts requests and
// does not answer soon gets almost none, and comes back when it answers.
func TestHangingEngineIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(small())
		w.StartChats()
		w.WarmUp()
		id := w.Engines()[3]
		w.SetHanging(id, true)
		w.pause(10 * time.Second)
		before := w.Meter.Grants(id)
		w.pause(20 * time.Second)
		// Ejections double from 5 seconds; each return costs a few requests.
		if got := w.Meter.Grants(id) - before; got > 30 {
			t.Errorf("got %d grants to a hanging engine in 20 seconds, want at most 30", got)
		}
		w.SetHanging(id, false)
		w.pause(time.Minute)
		before = w.Meter.Grants(id)
		w.pause(20 * time.Second)
		if got := w.Meter.Grants(id) - before; got < 20 {
			t.Errorf("got %d grants after the engine answers again, want at least 20", got)
		}
		w.StopChats()
		settled(t, w)
		w.Close()
	})
}

// TestLastEngineIsNotEjected checks that a pool of hanging engines is not
// emptied.
func TestLastEngineIsNotEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		setup := small()
		setup.Engines, setup.Chats = 2, 20
		w := NewWorld(setup)
		w.StartChats()
		w.WarmUp()
		for _, id := range w.Engines() {
			w.SetHanging(id, true)
		}
		w.pause(30 * time.Second)
		grants := func() int { return w.Meter.Grants(w.Engines()[0]) + w.Meter.Grants(w.Engines()[1]) }
		before := grants()
		w.pause(5 * time.Second)
		if grants() == before {
			t.Error("got no grants, want some engine to stay in use")
		}
		w.StopChats()
		w.Close()
	})
}

// TestMembershipConverges checks how fast news reaches every router, and that
// a router's traffic does not grow with the fleet.
func TestMembershipConverges(t *testing.T) {
	traffic := make(map[int]float64)
	for _, routers := range []int{20, 80} {
		synctest.Test(t, func(t *testing.T) {
			setup := small()
			setup.Routers, setup.Chats = routers, 0
			w := NewWorld(setup)
			w.WarmUp()
			w.pause(20 * time.Second)
			traffic[routers] = w.Report().Control
			w.Router(1).Node.Leave()
			w.pause(time.Second)
			owners(t, w, 1, 1)
			w.Router(2).Kill()
			w.pause(6 * time.Second)
			owners(t, w, 2, 2)
			w.Router(3).SetBackend(w.Engines()[0], memberpb.State_STATE_LEAVING)
			w.pause(time.Second)
			for i := 4; i < routers; i++ {
				if got := w.Router(i).Usable(poolName); got != setup.Engines-1 {
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

// owners checks that no router counts the i-th among those that may own.
func owners(t *testing.T, w *World, i, from int) {
	t.Helper()
	out := w.Router(i).Self.ID
	for j := from + 1; j < w.Setup.Routers; j++ {
		for _, id := range w.Router(j).Owners() {
			if id == out {
				t.Errorf("router %d still counts %s as an owner", j, out)
			}
		}
	}
}
