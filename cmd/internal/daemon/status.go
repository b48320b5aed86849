package daemon

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/admission"
)

// Status is what one router tells operators of itself.
type Status struct {
	Router        string           `json:"router"`
	DataCentre    string           `json:"data_centre"`
	Region        string           `json:"region"`
	Ready         bool             `json:"ready"`
	Configuration slipwick.Version `json:"configuration_version"`
	PlatformCalls int64            `json:"platform_calls"`
	ControlBytes  int64            `json:"control_bytes"`
	// Members are the routers that it does not count as dead.
	Members []string `json:"members"`
	// Owned are the backend servers whose slots it grants.
	Owned []admission.Status `json:"owned"`
	// Journals are those of request keys that it holds.
	Journals []int `json:"journals"`
}

// StatusNow gives the router's status.
func (r *Router) StatusNow() Status {
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
		status.Configuration = current.Version
	}
	return status
}
