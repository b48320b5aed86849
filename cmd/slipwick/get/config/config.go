// Package config is the command slipwick get config.
package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

const help = `Print the configuration in force, as a file that apply takes.

The version goes to standard error, so that the output can be kept in a file.

Example:
  slipwick get config > configuration.json`

// Options are the command's settings.
type Options struct {
	Factory *cli.Factory
}

// Register adds the command.
func Register(parent *kingpin.CmdClause, factory *cli.Factory, choose cli.Choose) {
	options := &Options{
		Factory: factory,
	}
	cli.Add(parent.Command("config", help), choose, func(ctx context.Context) error {
		return run(ctx, options)
	})
}

func run(ctx context.Context, options *Options) error {
	state, version, err := options.Factory.Keeper().Current(ctx)
	if err != nil {
		return err
	}
	if version == 0 {
		return fmt.Errorf("no configuration was ever applied; run slipwick apply -f FILE")
	}
	encoder := json.NewEncoder(options.Factory.Streams.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(state); err != nil {
		return err
	}
	_, err = fmt.Fprintf(options.Factory.Streams.Err, "version %d\n", version)
	return err
}
