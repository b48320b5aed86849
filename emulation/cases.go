package emulation

import (
	"fmt"
	"time"

	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/configuration"
)

// Case is a setup and what befalls it.
type Case struct {
	Name  string
	Setup Setup
	// Run lasts as long as the measurement.
	Run func(w *World)
}

// length is how long cases without another need last.
const length = time.Minute

// today is the size of one of the first users: about 20 requests a second and
// 10 in flight at each of 20 engines.
func today() Setup {
	return Setup{
		Routers:     8,
		Engines:     20,
		DataCentres: 4,
		Chats:       1300,
		Think:       20 * time.Second,
		Service:     10 * time.Second,
		Hot:         0.5,
		CacheChats:  400,
		Slots:       200,
		Factor:      configuration.DefaultMaxLoadFactor,
		Policy:      admission.DefaultPolicy(),
		Seed:        1,
		WarmUp:      3 * time.Minute,
	}
}

// large is one model at the size of two years: 370 requests a second, 40 in
// flight at each of 93 engines.
func large() Setup {
	setup := today()
	setup.Routers, setup.Engines, setup.DataCentres = 330, 93, 10
	setup.Chats, setup.CacheChats = 20_000, 1000
	setup.WarmUp = time.Minute
	return setup
}

// Cases lists what is measured.
func Cases() []Case {
	churning := large()
	churning.Routers = 32
	return []Case{
		{
			Name:  "today",
			Setup: today(),
			Run:   func(w *World) { w.pause(length) },
		},
		{
			Name:  "burst",
			Setup: today(),
			Run:   burst,
		},
		{
			Name:  "churn",
			Setup: churning,
			Run:   churn,
		},
		{
			Name:  "disagree",
			Setup: today(),
			Run:   disagree,
		},
		{
			Name:  "lag",
			Setup: today(),
			Run: func(w *World) {
				w.Meter.SetReportLag(time.Second)
				w.pause(length)
			},
		},
		{
			Name:  "late-totals",
			Setup: today(),
			Run: func(w *World) {
				w.Network.SetFaults(Faults{
					LoadDelay: time.Second,
					LoadLose:  1.0 / 3,
				})
				w.pause(length)
			},
		},
		{
			Name:  "large",
			Setup: large(),
			Run: func(w *World) {
				const extra = 4000
				w.pause(length / 2)
				w.Surge(workspaces[0], extra, w.Setup.Chats)
				w.pause(length / 2)
			},
		},
	}
}

// burst calls all chats back within one second, twice, and has a workspace
// surge to 20 times its share.
func burst(w *World) {
	const quiet = 20 * time.Second
	surge := 20 * w.Setup.Chats / len(workspaces) / 5
	for i := range 2 {
		w.pause(quiet)
		w.CallBack()
		w.Surge(workspaces[len(workspaces)-1], surge, w.Setup.Chats*(i+1))
	}
	w.pause(quiet)
}

// churn replaces an engine every 10 seconds, in turn by a planned stop and
// after a loss, while another flaps.
func churn(w *World) {
	const every, notice, flap = 10 * time.Second, 3 * time.Second, 3 * time.Second
	flapping := w.Engines()[0]
	w.parts.Go(func() {
		for leaving := true; w.pause(flap); leaving = !leaving {
			w.SetLeaving(flapping, leaving)
		}
	})
	for i := 1; w.pause(every - notice); i++ {
		id := w.Engines()[i]
		if i%2 == 0 {
			w.SetLeaving(id, true)
		} else {
			w.Lose(id)
		}
		w.pause(notice)
		w.Replace(id, fmt.Sprintf("new-%03d", i))
		if i == int(length/every) {
			return
		}
	}
}

// disagree cuts half of the routers off from the other half for 5 seconds,
// long enough for each half to bury the other, and again.
func disagree(w *World) {
	const quiet, apart = 15 * time.Second, 5 * time.Second
	half := make(map[string]bool)
	for i := range w.Setup.Routers / 2 {
		half[w.Router(i).Self.ID] = true
	}
	for range 2 {
		w.pause(quiet)
		w.Network.SetFaults(Faults{
			Cut: func(from, to string) bool { return half[from] != half[to] },
		})
		w.pause(apart)
		w.Network.SetFaults(Faults{})
	}
	w.pause(quiet)
}
