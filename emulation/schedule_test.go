package emulation

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick/internal/fixedseed"
)

func TestMain(m *testing.M) {
	const schedules = 60
	fixedseed.Main(m, schedules)
}

// disturbance is a fault or a burst, how long it lasts, and the index of the
// router or engine it affects.
type disturbance struct {
	kind     string
	duration time.Duration
	target   int
}

func drawDisturbance(r *rapid.T) disturbance {
	kinds := []string{"kill", "pause", "cut", "messages", "leave engine", "lose engine", "hang", "call back"}
	return disturbance{
		kind:     rapid.SampledFrom(kinds).Draw(r, "kind"),
		duration: time.Duration(rapid.IntRange(1, 10).Draw(r, "seconds")) * time.Second,
		target:   rapid.IntRange(0, 3).Draw(r, "target"),
	}
}

// apply causes the disturbance and waits until it is over.
func (d disturbance) apply(w *World) {
	engine := w.Engines()[d.target]
	switch d.kind {
	case "kill":
		w.Router(d.target).Kill()
		w.sleep(d.duration)
		w.StartRouter(d.target)
	case "pause":
		w.Router(d.target).Pause()
		w.sleep(d.duration)
		w.Router(d.target).Resume()
	case "cut":
		boundary := w.Router(d.target).Self.ID
		w.Network.SetFaults(Faults{
			Cut: func(from, to string) bool { return (from <= boundary) != (to <= boundary) },
		})
		w.sleep(d.duration)
		w.Network.SetFaults(Faults{})
	case "messages":
		w.Network.SetFaults(Faults{
			LossRate:      0.2,
			DuplicateRate: 0.2,
			ReorderRate:   0.5,
		})
		w.sleep(d.duration)
		w.Network.SetFaults(Faults{})
	case "leave engine":
		w.SetLeaving(engine, true)
		w.sleep(d.duration)
		w.SetLeaving(engine, false)
	case "lose engine":
		w.ReplaceEngine(engine, engine+"'")
	case "hang":
		w.SetHanging(engine, true)
		w.sleep(d.duration)
		w.SetHanging(engine, false)
	default: // call back
		w.ReturnChats()
		w.sleep(d.duration)
	}
}

// TestRandomSchedules runs random schedules, which are sequences of disturbances.
// The load limit must hold up to what two owners of an engine can grant, every
// request must end, and no slot may leak.
func TestRandomSchedules(t *testing.T) {
	schedules, requests, worst := 0, 0, 0.0
	rapid.Check(t, func(r *rapid.T) {
		setup := smallSetup()
		setup.Routers, setup.Engines, setup.Chats, setup.WarmUp = 4, 6, 100, 15*time.Second
		setup.Seed = rapid.Uint64().Draw(r, "seed")
		disturbances := rapid.SliceOfN(rapid.Custom(drawDisturbance), 1, 4).Draw(r, "disturbances")
		var report Report
		synctest.Test(t, func(t *testing.T) {
			w := NewWorld(setup)
			w.StartChats()
			w.WarmUp()
			for _, d := range disturbances {
				d.apply(w)
			}
			w.sleep(5 * time.Second)
			report = w.Report()
			w.StopChats()
			checkNoLeakedSlots(t, w)
			w.Close()
		})
		schedules++
		requests += report.Requests
		worst = max(worst, report.Excess)
		// While an engine has two owners, the second one grants slots on top of the
		// first one's: in Policy.TakeoverWindow at most half of the headroom, which
		// is at most the load limit with a request of each chat in flight. See
		// docs/design/admission.md.
		if limit := 1 + float64(setup.Chats)*setup.LoadFactor/2/float64(setup.Engines); report.Excess > limit {
			r.Fatalf("got %.2f requests above the limit, want at most %.2f: %+v", report.Excess, limit, disturbances)
		}
		if t.Failed() {
			r.Fatalf("a slot leaked: %+v", disturbances)
		}
	})
	t.Logf("%d schedules, %d requests, at most %.2f above the limit", schedules, requests, worst)
}
