package fleet

import (
	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// MemberState returns the member state for the health of a backend server, which the router that
// owns it determines.
func MemberState(health admission.Health) memberpb.State {
	switch health {
	case admission.HealthEjected:
		return memberpb.State_STATE_EJECTED
	case admission.HealthLeaving:
		return memberpb.State_STATE_LEAVING
	default:
		return memberpb.State_STATE_LIVE
	}
}

// BackendStates returns the states of the backend servers that are not live, from their member
// states, by ID. A dead member counts as leaving.
func BackendStates(states map[string]memberpb.State) map[string]BackendState {
	translated := make(map[string]BackendState, len(states))
	for id, state := range states {
		switch state {
		case memberpb.State_STATE_EJECTED:
			translated[id] = BackendEjected
		case memberpb.State_STATE_LEAVING, memberpb.State_STATE_DEAD:
			translated[id] = BackendLeaving
		default:
		}
	}
	return translated
}
