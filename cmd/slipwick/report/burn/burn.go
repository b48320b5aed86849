// Package burn is the command slipwick report burn.
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

const help = `Show how fast each workspace's error budget burns.

A burn of 1 spends the budget exactly; above 1 it runs out early. The routers
count in memory, so a window reaches back to their last start at most.

Example:
  slipwick report burn --router 127.0.0.1:9090`

// Options are the command's settings.
type Options struct {
	Factory *cli.Factory
	JSON    bool
}

// row is one workspace in one window.
type row struct {
	Workspace    string      `json:"workspace"`
	Window       string      `json:"window"`
	Counts       burn.Counts `json:"counts"`
	Availability burn.Rate   `json:"availability_burn"`
	FirstToken   burn.Rate   `json:"first_token_burn"`
}

// Register adds the command.
func Register(parent *kingpin.CmdClause, factory *cli.Factory, choose cli.Choose) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.Add(parent.Command("burn", help), choose, func(ctx context.Context) error {
		return run(ctx, options)
	})
	clause.Flag("json", "Print JSON.").BoolVar(&options.JSON)
}

func run(ctx context.Context, options *Options) error {
	state, _, err := options.Factory.Keeper().Current(ctx)
	if err != nil {
		return err
	}
	counts, err := collect(ctx, options.Factory)
	if err != nil {
		return err
	}
	rows := rowsOf(&state, counts)
	table := cli.Table{
		Header: []string{"WORKSPACE", "WINDOW", "REQUESTS", "BAD", "AVAILABILITY BURN", "FIRST-TOKEN BURN"},
	}
	for _, r := range rows {
		table.Rows = append(table.Rows, []string{
			r.Workspace, r.Window, fmt.Sprint(r.Counts.Total), fmt.Sprint(r.Counts.Bad),
			text(r.Availability), text(r.FirstToken),
		})
	}
	return options.Factory.Streams.Print(options.JSON, rows, table)
}

// collect adds up the counts of all routers, by workspace and window.
func collect(ctx context.Context, factory *cli.Factory) (map[string][]burn.Counts, error) {
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

func rowsOf(state *configuration.State, counts map[string][]burn.Counts) []row {
	rows := []row{}
	for _, workspace := range state.Workspaces {
		for i, window := range counts[workspace.Name] {
			rows = append(rows, row{
				Workspace:    workspace.Name,
				Window:       short(burn.Windows[i]),
				Counts:       window,
				Availability: burn.Availability(window, workspace.Objectives.Availability),
				FirstToken:   burn.FirstToken(window),
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

func short(window time.Duration) string {
	if window < time.Hour {
		return fmt.Sprintf("%dm", int(window.Minutes()))
	}
	return fmt.Sprintf("%dh", int(window.Hours()))
}

func text(rate burn.Rate) string {
	if rate == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *rate)
}
