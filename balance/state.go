package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// State is the balancer's view of a backend server, for operators.
type State struct {
	ID         string `json:"id"`
	Pool       string `json:"pool"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Evacuated says that the server's data centre is evacuated, ColdMS for how many more
	// milliseconds the server counts as cold.
	Evacuated bool  `json:"evacuated"`
	ColdMS    int64 `json:"cold_ms"`

	// Leaving says that the server's entry in the list marks it as leaving, so that it gets no new
	// requests.
	Leaving bool `json:"leaving"`
	// SaysLeaving says that the server announced in a response that it is leaving, PausedMS how
	// many milliseconds remain of the pause that it asked this router for.
	SaysLeaving bool  `json:"says_leaving"`
	PausedMS    int64 `json:"rest_ms"`

	// Ejected says that the server gets no new requests because it is ejected, EjectedMS for how
	// many milliseconds more, Unresponsive that it has not sent anything for a while.
	Ejected      bool  `json:"out"`
	EjectedMS    int64 `json:"out_ms"`
	Unresponsive bool  `json:"silent"`
	// InFlight counts this router's requests there.
	InFlight int `json:"in_flight"`
	// ErrorRate is the failure rate of the latest requests of all routers.
	ErrorRate float64 `json:"error_rate"`
	// Slots is how many requests the server works on at once, as it reported or as its entry says.
	Slots int `json:"slots"`
	// PaceFast and PaceSlow are the estimates over some hundred milliseconds and some seconds of how
	// long work takes there: 100 is the usual value. PaceReported is what the server last reported to
	// this router, 0 if nothing, PaceReportedMS how many milliseconds ago.
	PaceFast       float64 `json:"pace_fast"`
	PaceSlow       float64 `json:"pace_slow"`
	PaceReported   float64 `json:"pace_reported"`
	PaceReportedMS int64   `json:"pace_reported_ms"`
	// PaceObserved is the part of PaceSlow that the response times say without the reports.
	PaceObserved float64 `json:"pace_observed"`
}

// States returns all backend servers by pool and ID.
func (b *Balancer) States() []State {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	states := make([]State, 0, len(b.servers))
	for _, s := range b.servers {
		state := State{
			ID:         s.ID,
			Pool:       s.Pool,
			Address:    s.Address,
			DataCentre: s.DataCentre,
			Evacuated:  s.evacuated,
			ColdMS:     max(s.coldUntil.Sub(now).Milliseconds(), 0),
			Leaving:    s.Leaving,

			SaysLeaving: s.notices.saysLeaving(),
			PausedMS:    s.notices.remainingPause(now).Milliseconds(),

			Ejected:      now.Before(s.ejectedUntil),
			Unresponsive: b.isUnresponsiveLocked(s, now),
			InFlight:     s.inFlight,
			ErrorRate:    s.errors.rate,
		}
		s.addSpeed(&state, now)
		if state.Ejected {
			state.EjectedMS = s.ejectedUntil.Sub(now).Milliseconds()
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(x, y State) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.ID, y.ID))
	})
	return states
}

// addSpeed adds the slots and the paces of the server to its state.
func (s *server) addSpeed(state *State, now time.Time) {
	fast, slow := s.speed.paces(now)
	state.Slots = s.slots()
	state.PaceFast, state.PaceSlow = usualPace*fast, usualPace*slow
	state.PaceObserved = usualPace * s.speed.observedFactor(now)
	if s.reportedPace > 0 {
		state.PaceReported, state.PaceReportedMS = s.reportedPace, now.Sub(s.paceReportedAt).Milliseconds()
	}
}
