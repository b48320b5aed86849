package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/slipwick/slipwick"
)

// PoolStatus is the state of a pool's permits at one router, for operators.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Slots are those of the pool that the fleet may use, Limit is this router's part.
	Slots float64 `json:"slots"`
	Limit float64 `json:"limit"`
	// InFlight and Waiting count this router's requests.
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
	// UnderPressure says that requests wait at any router or much of the pool is in use.
	UnderPressure bool             `json:"under_pressure"`
	Shares        []WorkspaceShare `json:"shares"`
}

// WorkspaceShare is what a workspace uses of a pool at one priority.
type WorkspaceShare struct {
	Workspace string `json:"workspace"`
	Priority  int    `json:"priority"`
	Weight    uint32 `json:"weight"`
	// InFlight and Waiting count this router's requests, Limit is how many of these may be in flight;
	// FleetInFlight and FleetShare are the slots that the workspace uses and may use in the fleet. Both
	// shares are 0 if the fleet's sums don't have the workspace.
	InFlight      int     `json:"in_flight"`
	Waiting       int     `json:"waiting"`
	Limit         float64 `json:"limit"`
	FleetInFlight float64 `json:"fleet_in_flight"`
	FleetShare    float64 `json:"fleet_share"`
}

func (p *pool) status() PoolStatus {
	status := PoolStatus{
		Pool:          p.name,
		Slots:         p.slots,
		Limit:         p.limit,
		InFlight:      p.inFlight,
		Waiting:       p.queue.Len(),
		UnderPressure: p.isUnderPressure(),
	}
	for _, r := range p.records {
		share := WorkspaceShare{
			Workspace: r.workspace,
			Priority:  r.priority,
			Weight:    r.weight,
			InFlight:  r.inFlight,
			Waiting:   r.waiting,
		}
		if c := r.claim; c != nil && c.workspace != RestOfWorkspaces {
			share.Limit, share.FleetInFlight, share.FleetShare = c.limit, c.inFlight, c.target
		}
		status.Shares = append(status.Shares, share)
	}
	slices.SortFunc(status.Shares, func(a, b WorkspaceShare) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Workspace, b.Workspace))
	})
	return status
}

// permitStatus returns the state by workspace, summed up over the priorities.
func (p *pool) permitStatus() slipwick.PermitStatus {
	status := slipwick.PermitStatus{
		InFlight:     p.inFlight,
		Waiting:      p.queue.Len(),
		WaitingBytes: p.queue.Bytes(),
	}
	index := make(map[string]int)
	for _, r := range p.records {
		if r.inFlight+r.waiting == 0 {
			continue
		}
		at, known := index[r.workspace]
		if !known {
			at = len(status.Workspaces)
			index[r.workspace] = at
			status.Workspaces = append(status.Workspaces, slipwick.WorkspacePermits{
				Workspace: r.workspace,
			})
		}
		w := &status.Workspaces[at]
		w.InFlight += r.inFlight
		w.Waiting += r.waiting
		if r.claim != nil && r.claim.workspace != RestOfWorkspaces {
			w.Share += int(math.Round(r.claim.limit))
		}
	}
	return status
}
