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

// disturbance is one thing that befalls a fleet, and how long it lasts.
type disturbance struct {
	kind   string
	length time.Duration
	target int
}

func drawDisturbance(r *rapid.T) disturbance {
	kinds := []string{"kill", "pause", "cut", "messages", "leave engine", "lose engine", "hang", "call back"}
	return disturbance{
		kind:   rapid.SampledFrom(kinds).Draw(r, "kind"),
		length: time.Duration(rapid.IntRange(1, 10).Draw(r, "seconds")) * time.Second,
		target: rapid.IntRange(0, 3).Draw(r, "target"),
	}
}

func (d disturbance) befall(w *World) {
	engine := w.Engines()[d.target]
	switch d.kind {
	case "kill":
		w.Router(d.target).Kill()
		w.pause(d.length)
		w.StartRouter(d.target)
	case "pause":
		w.Router(d.target).Pause()
		w.pause(d.length)
		w.Router(d.target).Resume()
	case "cut":
		border := w.Router(d.target).Self.ID
		w.Network.SetFaults(Faults{
			Cut: func(from, to string) bool { return (from <= border) != (to <= border) },
		})
		w.pause(d.length)
		w.Network.SetFaults(Faults{})
	case "messages":
		w.Network.SetFaults(Faults{
			Lose:    0.2,
			Double:  0.2,
			Reorder: 0.5,
		})
		w.pause(d.length)
		w.Network.SetFaults(Faults{})
	case "leave engine":
		w.SetLeaving(engine, true)
		w.pause(d.length)
		w.SetLeaving(engine, false)
	case "lose engine":
		w.Replace(engine, engine+"'")
	case "hang":
		w.SetHanging(engine, true)
		w.pause(d.length)
		w.SetHanging(engine, false)
	default:
		w.CallBack()
		w.pause(d.length)
	}
}

// TestRandomSchedules checks, whatever befalls a fleet, that the limit is kept
// up to what two owners may grant, that every request ends, and that no slot
// leaks.
func TestRandomSchedules(t *testing.T) {
	schedules, requests, worst := 0, 0, 0.0
	rapid.Check(t, func(r *rapid.T) {
		setup := small()
		setup.Routers, setup.Engines, setup.Chats, setup.WarmUp = 4, 6, 100, 15*time.Second
		setup.Seed = rapid.Uint64().Draw(r, "seed")
		troubles := rapid.SliceOfN(rapid.Custom(drawDisturbance), 1, 4).Draw(r, "disturbances")
		var report Report
		synctest.Test(t, func(t *testing.T) {
			w := NewWorld(setup)
			w.StartChats()
			w.WarmUp()
			for _, trouble := range troubles {
				trouble.befall(w)
			}
			w.pause(5 * time.Second)
			report = w.Report()
			w.StopChats()
			settled(t, w)
			w.Close()
		})
		schedules++
		requests += report.Requests
		worst = max(worst, report.Excess)
		// Chats times a half over engines is the most headroom that a second
		// owner sees; see docs/design/admission.md.
		if most := 1 + float64(setup.Chats)*setup.Factor/2/float64(setup.Engines); report.Excess > most {
			r.Fatalf("got %.2f requests above the limit, want at most %.2f: %+v", report.Excess, most, troubles)
		}
		if t.Failed() {
			r.Fatalf("a slot leaked: %+v", troubles)
		}
	})
	t.Logf("%d schedules, %d requests, at most %.2f above the limit", schedules, requests, worst)
}
