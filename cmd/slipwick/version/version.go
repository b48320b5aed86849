// Package version implements slipwick version.
package version

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *cli.Factory
	JSON    bool
}

// info is the JSON output of the command.
type info struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Register adds the command to the command line.
func Register(app *kingpin.Application, factory *cli.Factory, selectCommand cli.SelectFunc) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.AddCommand(app.Command("version", "Print the version."), selectCommand, func(context.Context) error {
		return run(options)
	})
	clause.Flag("json", "Print JSON, also on a terminal.").BoolVar(&options.JSON)
}

func run(options *Options) error {
	build := info{
		Version: "development",
		Go:      runtime.Version(),
	}
	if read, ok := debug.ReadBuildInfo(); ok && read.Main.Version != "" && read.Main.Version != "(devel)" {
		build.Version = read.Main.Version
	}
	if options.JSON {
		return options.Factory.Streams.Print(true, build, cli.Table{})
	}
	_, err := fmt.Fprintf(options.Factory.Streams.Out, "slipwick %s, built with %s\n", build.Version, build.Go)
	return err
}
