// Package gateways implements slipwick gateways.
package gateways

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/balance"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/internal/gatewayd"
)

const help = `Show the state of gateways, as each one reports it.

For a gateway, --router takes its metrics address.

Examples:
  slipwick gateways --router 10.0.0.5:9090 --router 10.0.0.6:9090
  slipwick gateways --router 10.0.0.5:9090 --backends
  slipwick gateways --router 10.0.0.5:9090 --pools`

// Options holds the flags and arguments of the command.
type Options struct {
	Factory  *cli.Factory
	JSON     bool
	Backends bool
	Pools    bool
}

// Register adds the command to the command line.
func Register(app *kingpin.Application, factory *cli.Factory, selectCommand cli.SelectFunc) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.AddCommand(app.Command("gateways", help), selectCommand, func(ctx context.Context) error {
		return run(ctx, options)
	})
	clause.Flag("json", "Print JSON, also on a terminal.").BoolVar(&options.JSON)
	clause.Flag("backends", "Show each gateway's backend servers.").BoolVar(&options.Backends)
	clause.Flag("pools", "Show each gateway's pools: slots, waiting requests and shares of workspaces.").
		BoolVar(&options.Pools)
}

func run(ctx context.Context, options *Options) error {
	addresses, err := options.Factory.RouterAddresses()
	if err != nil {
		return err
	}
	statuses := make([]gatewayd.Status, len(addresses))
	for i, address := range addresses {
		if err := options.Factory.ReadRouter(ctx, address, gatewayd.StatusPath, &statuses[i]); err != nil {
			return err
		}
	}
	var table cli.Table
	switch {
	case options.Pools:
		table = poolsTable(statuses)
	case options.Backends:
		table = backendsTable(statuses)
	default:
		table = gatewaysTable(statuses)
	}
	return options.Factory.Streams.Print(options.JSON, statuses, table)
}

// gatewaysTable returns a row for each gateway. WATCHES tells whether it follows the platform's store
// itself, PARTS is the number of prompt parts whose engines it knows, and MISSING CACHES the number of
// engines whose caches it does not know.
func gatewaysTable(statuses []gatewayd.Status) cli.Table {
	table := cli.Table{
		Header: []string{
			"GATEWAY", "DATA CENTRE", "STATE", "CONFIGURATION", "MEMBERS", "WATCHES", "IN FLIGHT", "PARTS", "MISSING CACHES",
			"EVACUATED", "QUARANTINED",
		},
	}
	for i := range statuses {
		s := &statuses[i]
		table.Rows = append(table.Rows, []string{
			s.Router, s.DataCentre, gatewayState(s), strconv.FormatUint(s.ConfigurationVersion, 10),
			strconv.Itoa(len(s.Members)), strconv.FormatBool(s.WatchesStore),
			strconv.FormatInt(s.InFlight, 10), strconv.Itoa(s.KnownParts),
			strconv.Itoa(s.MissingCaches), strings.Join(s.Evacuated, " "), strconv.Itoa(s.Quarantined),
		})
	}
	return table
}

// gatewayState returns the value of the STATE column of a gateway.
func gatewayState(s *gatewayd.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "starting"
	}
}

// backendsTable returns a row for each backend server of each gateway. IN FLIGHT counts the requests of
// this gateway; ERRORS is the failure rate of the latest requests of all gateways.
func backendsTable(statuses []gatewayd.Status) cli.Table {
	table := cli.Table{
		Header: []string{"GATEWAY", "POOL", "BACKEND SERVER", "ADDRESS", "DATA CENTRE", "STATE", "IN FLIGHT", "ERRORS"},
	}
	for i := range statuses {
		for j := range statuses[i].Backends {
			b := &statuses[i].Backends[j]
			table.Rows = append(table.Rows, []string{
				statuses[i].Router, b.Pool, b.ID, b.Address, b.DataCentre, backendState(b), strconv.Itoa(b.InFlight),
				fmt.Sprintf("%.2f", b.ErrorRate),
			})
		}
	}
	return table
}

// backendState returns the value of the STATE column of a backend server. A silent one has not sent
// anything for a while; a cold one gets only few requests for the time shown.
func backendState(b *balance.State) string {
	switch {
	case b.Leaving:
		return "leaving"
	case b.SaysLeaving:
		return "leaving (announced)"
	case b.Evacuated:
		return "evacuated"
	case b.PausedMS > 0:
		return fmt.Sprintf("paused for %d ms", b.PausedMS)
	case b.Ejected:
		return fmt.Sprintf("ejected for %d ms", b.EjectedMS)
	case b.Unresponsive:
		return "silent"
	case b.ColdMS > 0:
		return fmt.Sprintf("cold for %d ms", b.ColdMS)
	default:
		return "in use"
	}
}
