// Package config implements slipwick get config.
package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

const help = `Print the configuration in force, in the format that apply reads.

The version is printed to standard error, so that the output can be redirected to a file.

Example:
  slipwick get config > configuration.json`

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *cli.Factory
}

// Register adds the command to the command line.
func Register(parent *kingpin.CmdClause, factory *cli.Factory, selectCommand cli.SelectFunc) {
	options := &Options{
		Factory: factory,
	}
	cli.AddCommand(parent.Command("config", help), selectCommand, func(ctx context.Context) error {
		return run(ctx, options)
	})
}

func run(ctx context.Context, options *Options) error {
	state, version, err := options.Factory.Repository().Current(ctx)
	if err != nil {
		return err
	}
	if version == 0 {
		return fmt.Errorf("no configuration has been applied yet; run slipwick apply -f FILE")
	}
	encoder := json.NewEncoder(options.Factory.Streams.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(state); err != nil {
		return err
	}
	_, err = fmt.Fprintf(options.Factory.Streams.Err, "version %d\n", version)
	return err
}
