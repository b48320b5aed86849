// Package diff implements slipwick diff.
package diff

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/configuration"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

const help = `Show the differences between files and the configuration in force.

The exit code is 5 if there are differences.

Example:
  slipwick diff -f configuration/`

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *cli.Factory
	Path    string
	JSON    bool
}

// Register adds the command to the command line.
func Register(app *kingpin.Application, factory *cli.Factory, selectCommand cli.SelectFunc) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.AddCommand(app.Command("diff", help), selectCommand, func(ctx context.Context) error {
		return run(ctx, options)
	})
	clause.Flag("file", "File or directory.").Short('f').Required().StringVar(&options.Path)
	clause.Flag("json", "Print JSON, also on a terminal.").BoolVar(&options.JSON)
}

func run(ctx context.Context, options *Options) error {
	state, err := configuration.ReadPath(options.Path)
	if err != nil {
		return err
	}
	current, _, err := options.Factory.Repository().Current(ctx)
	if err != nil {
		return err
	}
	changes := configuration.Diff(&current, &state)
	table := cli.Table{
		Header: []string{"CHANGE", "ENTRY", "BEFORE", "AFTER"},
	}
	for _, change := range changes {
		table.Rows = append(table.Rows, []string{string(change.Kind), change.Entry, change.Before, change.After})
	}
	if err := options.Factory.Streams.Print(options.JSON, changes, table); err != nil {
		return err
	}
	if len(changes) > 0 {
		return cli.ErrDiffers
	}
	return nil
}
