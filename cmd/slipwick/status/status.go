// Package status implements slipwick status.
package status

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/internal/daemon"
)

const help = `Show the state of routers.

Example:
  slipwick status --router 127.0.0.1:9090 --router 127.0.0.1:9091`

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *cli.Factory
	JSON    bool
}

// Register adds the command to the command line.
func Register(app *kingpin.Application, factory *cli.Factory, selectCommand cli.SelectFunc) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.AddCommand(app.Command("status", help), selectCommand, func(ctx context.Context) error {
		return run(ctx, options)
	})
	clause.Flag("json", "Print JSON, also on a terminal.").BoolVar(&options.JSON)
}

func run(ctx context.Context, options *Options) error {
	addresses, err := options.Factory.RouterAddresses()
	if err != nil {
		return err
	}
	statuses := make([]daemon.Status, len(addresses))
	table := cli.Table{
		Header: []string{"ROUTER", "DATA CENTRE", "READY", "CONFIGURATION"},
	}
	for i, address := range addresses {
		status := &statuses[i]
		if err := options.Factory.ReadRouter(ctx, address, "/v1/status", status); err != nil {
			return err
		}
		table.Rows = append(table.Rows, []string{
			status.Router, status.DataCentre, strconv.FormatBool(status.Ready),
			strconv.FormatUint(uint64(status.ConfigurationVersion), 10),
		})
	}
	return options.Factory.Streams.Print(options.JSON, statuses, table)
}
