// Package burn implements slipwick report burn.
package burn

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/burn"
	"github.com/slipwick/slipwick/configuration"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

const help = `Show the error budget burn rate of each workspace.

A burn rate of 1 uses up the budget exactly; above 1 it runs out early. The
routers count in memory, so a window does not reach back beyond their last start.

Example:
  slipwick report burn --router 127.0.0.1:9090`

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *cli.Factory
	JSON    bool
}

// row holds the counts and burn rates of one workspace in one window.
type row struct {
	Workspace    string      `json:"workspace"`
	Window       string      `json:"window"`
	Counts       burn.Counts `json:"counts"`
	Availability burn.Rate   `json:"availability_burn"`
	FirstToken   burn.Rate   `json:"first_token_burn"`
}

// Register adds the command to the command line.
func Register(parent *kingpin.CmdClause, factory *cli.Factory, selectCommand cli.SelectFunc) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.AddCommand(parent.Command("burn", help), selectCommand, func(ctx context.Context) error {
		return run(ctx, options)
	})
	clause.Flag("json", "Print JSON, also on a terminal.").BoolVar(&options.JSON)
}

func run(ctx context.Context, options *Options) error {
	state, _, err := options.Factory.Repository().Current(ctx)
	if err != nil {
		return err
	}
	counts, err := sumCounts(ctx, options.Factory)
	if err != nil {
		return err
	}
	rows := burnRows(&state, counts)
	table := cli.Table{
		Header: []string{"WORKSPACE", "WINDOW", "REQUESTS", "BAD", "AVAILABILITY BURN", "FIRST-TOKEN BURN"},
	}
	for _, r := range rows {
		table.Rows = append(table.Rows, []string{
			r.Workspace, r.Window, fmt.Sprint(r.Counts.Total), fmt.Sprint(r.Counts.Bad),
			formatRate(r.Availability), formatRate(r.FirstToken),
		})
	}
	return options.Factory.Streams.Print(options.JSON, rows, table)
}

// sumCounts returns the sums of the counts of all routers, by workspace and window.
func sumCounts(ctx context.Context, factory *cli.Factory) (map[string][]burn.Counts, error) {
	addresses, err := factory.RouterAddresses()
	if err != nil {
		return nil, err
	}
	sums := make(map[string][]burn.Counts)
	for _, address := range addresses {
		var counts map[string][]burn.Counts
		if err := factory.ReadRouter(ctx, address, "/v1/burn", &counts); err != nil {
			return nil, err
		}
		for workspace, windows := range counts {
			if sums[workspace] == nil {
				sums[workspace] = make([]burn.Counts, len(burn.Windows))
			}
			for i := range min(len(windows), len(burn.Windows)) {
				sums[workspace][i].Add(windows[i])
			}
		}
	}
	return sums, nil
}

func burnRows(state *configuration.State, counts map[string][]burn.Counts) []row {
	rows := []row{}
	for _, workspace := range state.Workspaces {
		for i, window := range counts[workspace.Name] {
			rows = append(rows, row{
				Workspace:    workspace.Name,
				Window:       windowLabel(burn.Windows[i]),
				Counts:       window,
				Availability: burn.Availability(window, workspace.Objectives.Availability),
				FirstToken:   burn.FirstToken(window, time.Duration(workspace.Objectives.FirstToken)),
			})
		}
	}
	slices.SortStableFunc(rows, func(a, b row) int {
		if a.Workspace < b.Workspace {
			return -1
		}
		if a.Workspace > b.Workspace {
			return 1
		}
		return 0
	})
	return rows
}

func windowLabel(window time.Duration) string {
	if window < time.Hour {
		return fmt.Sprintf("%dm", int(window.Minutes()))
	}
	return fmt.Sprintf("%dh", int(window.Hours()))
}

func formatRate(rate burn.Rate) string {
	if rate == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *rate)
}
