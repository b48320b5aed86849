package daemon

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/admission"
)

// Status is the state of one router, as GET /v1/status reports it to operators.
type Status struct {
	Router               string           `json:"router"`
	DataCentre           string           `json:"data_centre"`
	Region               string           `json:"region"`
	Ready                bool             `json:"ready"`
	ConfigurationVersion slipwick.Version `json:"configuration_version"`
	PlatformCalls        int64            `json:"platform_calls"`
	ControlBytes         int64            `json:"control_bytes"`
	// Members are the IDs of the routers that it does not count as dead, including itself.
	Members []string `json:"members"`
	// Owned holds the backend servers whose slots it grants.
	Owned []admission.Status `json:"owned"`
	// Journals are the numbers of the claim journals that it holds.
	Journals []int `json:"journals"`
}

// CurrentStatus returns the current status of the router. Call it only after Started.
func (r *Router) CurrentStatus() Status {
	status := Status{
		Router:        r.Settings.ID,
		DataCentre:    r.Settings.DataCentre,
		Region:        r.Settings.Region,
		Ready:         r.isReady(),
		PlatformCalls: r.platform.Calls(),
		ControlBytes:  r.ControlBytes(),
		Owned:         r.coordinator.Status(),
		Journals:      r.claims.HeldJournals(),
	}
	for _, member := range r.node.Routers() {
		status.Members = append(status.Members, member.ID)
	}
	if current := r.follower.Current(); current != nil {
		status.ConfigurationVersion = current.Version
	}
	return status
}
