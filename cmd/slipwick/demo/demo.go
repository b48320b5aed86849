// Package demo implements slipwick demo.
package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/internal/demofleet"
)

const help = `Run routers with emulated engines and an emulated platform in this process.

Chats continue in bursts; one engine fails, one leaves, and a router is drained.
The URL of the platform is printed, so that other commands can be tried with it.

Example:
  slipwick demo --for 20s --routers 3 --engines 8`

// Options holds the flags and arguments of the command.
type Options struct {
	Factory  *cli.Factory
	JSON     bool
	Scenario demofleet.Scenario
}

const (
	defaultFor     = "20s"
	defaultRouters = "3"
	defaultEngines = "8"
	defaultChats   = "160"
)

// Register adds the command to the command line.
func Register(app *kingpin.Application, factory *cli.Factory, selectCommand cli.SelectFunc) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.AddCommand(app.Command("demo", help), selectCommand, func(ctx context.Context) error {
		return run(ctx, options)
	})
	clause.Flag("for", "How long the callers send requests.").Default(defaultFor).DurationVar(&options.Scenario.Duration)
	clause.Flag("seed", "Seed of the random number generator.").Default("1").Uint64Var(&options.Scenario.Seed)
	clause.Flag("routers", "Number of routers, 2 to 50.").Default(defaultRouters).IntVar(&options.Scenario.Routers)
	clause.Flag("engines", "Number of engines, 3 to 200.").Default(defaultEngines).IntVar(&options.Scenario.Engines)
	clause.Flag("chats", "Number of chats, 1 to 5000.").Default(defaultChats).
		IntVar(&options.Scenario.Chats)
	clause.Flag("json", "Print one JSON object.").BoolVar(&options.JSON)
}

func run(ctx context.Context, options *Options) error {
	if err := options.Scenario.Check(); err != nil {
		return cli.NewUsageError(err, "run slipwick demo --help")
	}
	streams := options.Factory.Streams
	options.Scenario.Progress = func(at time.Duration, text string) {
		_, _ = fmt.Fprintf(streams.Err, "%5.1fs  %s\n", at.Seconds(), text)
	}
	result, err := options.Scenario.Run(ctx)
	if err != nil {
		return err
	}
	if err := streams.Print(options.JSON, result, result.Table()); err != nil {
		return err
	}
	return result.Check()
}
