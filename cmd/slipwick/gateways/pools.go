package gateways

import (
	"strconv"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/internal/gatewayd"
)

// poolsTable returns a row for each pool of each gateway, followed by a row for each workspace with
// requests in flight or waiting there. PERMITS tells who decides when requests are sent, FLEET counts
// the requests of all gateways in flight, and SHARE is how many a workspace may have in flight at this
// gateway.
func poolsTable(statuses []gatewayd.Status) cli.Table {
	table := cli.Table{
		Header: []string{
			"GATEWAY", "POOL", "WORKSPACE", "PERMITS", "STATE", "SLOTS", "FLEET", "IN FLIGHT", "WAITING", "SHARE", "REFUSED",
		},
	}
	for i := range statuses {
		for j := range statuses[i].Pools {
			p := &statuses[i].Pools[j]
			table.Rows = append(table.Rows, poolRow(statuses[i].Router, p))
			for k := range p.Workspaces {
				table.Rows = append(table.Rows, workspaceRow(statuses[i].Router, p.Pool, &p.Workspaces[k]))
			}
		}
	}
	return table
}

func poolRow(router string, p *gatewayd.PoolStatus) []string {
	return []string{
		router, p.Pool, "all", p.Permits, poolState(p), strconv.Itoa(p.Slots),
		strconv.FormatFloat(p.InFlight, 'f', 0, 64), strconv.Itoa(p.Own), strconv.Itoa(p.Waiting), "",
		strconv.FormatInt(p.Refused, 10),
	}
}

func workspaceRow(router, pool string, w *gatewayd.WorkspaceStatus) []string {
	name, share := w.Workspace, ""
	if name == "" {
		name = "(anonymous)"
	}
	if w.Share > 0 {
		share = strconv.Itoa(w.Share)
	}
	return []string{
		router, pool, name, "", "", "", "", strconv.Itoa(w.InFlight), strconv.Itoa(w.Waiting), share, "",
	}
}

// poolState returns the value of the STATE column of a pool.
func poolState(p *gatewayd.PoolStatus) string {
	switch {
	case p.Slots == 0:
		return "no usable server"
	case p.UnderPressure:
		return "under pressure"
	default:
		return "has room"
	}
}
