package emulation

import (
	"fmt"
	"time"

	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/configuration"
)

// Case is a setup and the events that happen during the measurement.
type Case struct {
	Name  string
	Setup Setup
	// Run causes the events; the measurement ends when it returns.
	Run func(w *World)
}

// caseDuration is how long a case is measured unless its events take longer.
const caseDuration = time.Minute

// todaySetup is a fleet of the size that one of the first users has: about 20
// requests a second and 10 in flight at each of 20 engines.
func todaySetup() Setup {
	return Setup{
		Routers:     8,
		Engines:     20,
		DataCentres: 4,
		Chats:       1300,
		ThinkTime:   20 * time.Second,
		ServiceTime: 10 * time.Second,
		HotShare:    0.5,
		CachedChats: 400,
		Slots:       200,
		LoadFactor:  configuration.DefaultMaxLoadFactor,
		Policy:      admission.DefaultPolicy(),
		Seed:        1,
		WarmUp:      3 * time.Minute,
	}
}

// largeSetup is a fleet of the size that is expected for one model in two years:
// 370 requests a second and 40 in flight at each of 93 engines.
func largeSetup() Setup {
	setup := todaySetup()
	setup.Routers, setup.Engines, setup.DataCentres = 330, 93, 10
	setup.Chats, setup.CachedChats = 20_000, 1000
	setup.WarmUp = time.Minute
	return setup
}

// Cases returns the cases that TestMeasure runs.
func Cases() []Case {
	churning := largeSetup()
	churning.Routers = 32
	return []Case{
		{
			Name:  "today",
			Setup: todaySetup(),
			Run:   func(w *World) { w.sleep(caseDuration) },
		},
		{
			Name:  "burst",
			Setup: todaySetup(),
			Run:   burst,
		},
		{
			Name:  "churn",
			Setup: churning,
			Run:   churn,
		},
		{
			Name:  "disagree",
			Setup: todaySetup(),
			Run:   partition,
		},
		{
			Name:  "lag",
			Setup: todaySetup(),
			// The engines' own load reports, which the baseline TwoChoices uses, arrive
			// a second late.
			Run: func(w *World) {
				w.Meter.SetReportDelay(time.Second)
				w.sleep(caseDuration)
			},
		},
		{
			Name:  "late-totals",
			Setup: todaySetup(),
			// The routers' load reports and totals arrive a second late, and a third of
			// them are lost.
			Run: func(w *World) {
				w.Network.SetFaults(Faults{
					LoadDelay:    time.Second,
					LoadLossRate: 1.0 / 3,
				})
				w.sleep(caseDuration)
			},
		},
		{
			Name:  "large",
			Setup: largeSetup(),
			// Halfway through, new chats of one workspace send a request each.
			Run: func(w *World) {
				const extra = 4000
				w.sleep(caseDuration / 2)
				w.Surge(workspaces[0], extra, w.Setup.Chats)
				w.sleep(caseDuration / 2)
			},
		},
	}
}

// burst makes all chats return within one second, twice, while one workspace
// sends a surge of 20 times its share.
func burst(w *World) {
	const quiet = 20 * time.Second
	surge := 20 * w.Setup.Chats / len(workspaces) / 5
	for i := range 2 {
		w.sleep(quiet)
		w.ReturnChats()
		w.Surge(workspaces[len(workspaces)-1], surge, w.Setup.Chats*(i+1))
	}
	w.sleep(quiet)
}

// churn replaces an engine every 10 seconds, alternately after a planned stop
// and after a crash. Meanwhile another engine starts a planned stop and
// cancels it again, in turn, at intervals of 3 seconds.
func churn(w *World) {
	const interval, replacementDelay, flapInterval = 10 * time.Second, 3 * time.Second, 3 * time.Second
	flapping := w.Engines()[0]
	w.goroutines.Go(func() {
		for leaving := true; w.sleep(flapInterval); leaving = !leaving {
			w.SetLeaving(flapping, leaving)
		}
	})
	for i := 1; w.sleep(interval - replacementDelay); i++ {
		id := w.Engines()[i]
		if i%2 == 0 {
			w.SetLeaving(id, true)
		} else {
			w.CrashEngine(id)
		}
		w.sleep(replacementDelay)
		w.ReplaceEngine(id, fmt.Sprintf("new-%03d", i))
		if i == int(caseDuration/interval) {
			return
		}
	}
}

// partition separates one half of the routers from the other for 5 seconds,
// twice. That is long enough for each half to declare the other dead.
func partition(w *World) {
	const quiet, partitionTime = 15 * time.Second, 5 * time.Second
	half := make(map[string]bool)
	for i := range w.Setup.Routers / 2 {
		half[w.Router(i).Self.ID] = true
	}
	for range 2 {
		w.sleep(quiet)
		w.Network.SetFaults(Faults{
			Cut: func(from, to string) bool { return half[from] != half[to] },
		})
		w.sleep(partitionTime)
		w.Network.SetFaults(Faults{})
	}
	w.sleep(quiet)
}
