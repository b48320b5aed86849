package gatewayd

import (
	"cmp"
	"slices"

	"github.com/slipwick/slipwick"
)

// PoolStatus is the state of a pool at a gateway, for operators.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Permits is who decides when requests may be sent: shares (of the fleet), coordinator (one router
	// for the pool), or none while admission control is not active or no server is usable.
	Permits       string `json:"permits"`
	UnderPressure bool   `json:"under_pressure"`
	// Slots is how many requests the usable servers work on at once. InFlight counts the requests of
	// all gateways there, as this one knows them, Own its own ones.
	Slots    int     `json:"slots"`
	InFlight float64 `json:"in_flight"`
	Own      int     `json:"own"`
	// Waiting counts the requests that wait for a permit at this gateway, WaitingBytes the memory that
	// they hold. Refused counts those refused for lack of capacity since the start.
	Waiting      int   `json:"waiting"`
	WaitingBytes int64 `json:"waiting_bytes"`
	Refused      int64 `json:"refused"`
	// Workspaces has the workspaces with requests in flight or waiting at this gateway.
	Workspaces []WorkspaceStatus `json:"workspaces,omitempty"`
}

// WorkspaceStatus is a workspace's part of a pool at a gateway.
type WorkspaceStatus struct {
	// Workspace is empty for anonymous requests.
	Workspace string `json:"workspace"`
	InFlight  int    `json:"in_flight"`
	Waiting   int    `json:"waiting"`
	// Share is how many requests it may have in flight at this gateway; 0 without a limit of its own.
	Share int `json:"share"`
}

// poolNames returns the names of all pools of the configuration and of the list of backend servers.
func (p *Process) poolNames() []string {
	var names []string
	if table := p.gateway.Table(); table != nil {
		for name := range table.Pools {
			names = append(names, name)
		}
	}
	for _, state := range p.balancer.States() {
		names = append(names, state.Pool)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// poolStatuses returns the state of each pool, by name.
func (p *Process) poolStatuses() []PoolStatus {
	names := p.poolNames()
	statuses := make([]PoolStatus, 0, len(names))
	for _, name := range names {
		statuses = append(statuses, p.poolStatus(name))
	}
	return statuses
}

func (p *Process) poolStatus(name string) PoolStatus {
	capacity, permits := p.balancer.PoolCapacity(name), p.permits.Status(name)
	s := PoolStatus{
		Pool:          name,
		Permits:       p.permits.SourceName(name),
		UnderPressure: p.permits.UnderPressure(name),
		Slots:         capacity.Slots(),
		InFlight:      capacity.InFlight(),
		Waiting:       permits.Waiting,
		WaitingBytes:  permits.WaitingBytes,
		Refused:       p.overloads.refusedTotal(name),
		Workspaces:    workspaceStatuses(permits.Workspaces),
	}
	for i := range capacity.Servers {
		s.Own += capacity.Servers[i].Own
	}
	return s
}

func workspaceStatuses(workspaces []slipwick.WorkspacePermits) []WorkspaceStatus {
	statuses := make([]WorkspaceStatus, 0, len(workspaces))
	for i := range workspaces {
		statuses = append(statuses, WorkspaceStatus(workspaces[i]))
	}
	slices.SortFunc(statuses, func(a, b WorkspaceStatus) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return statuses
}
