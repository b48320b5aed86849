// Package root parses the command line of slipwick and runs the selected command.
package root

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/slipwick/apply"
	"github.com/slipwick/slipwick/cmd/slipwick/completion"
	"github.com/slipwick/slipwick/cmd/slipwick/demo"
	"github.com/slipwick/slipwick/cmd/slipwick/diff"
	"github.com/slipwick/slipwick/cmd/slipwick/evacuate"
	"github.com/slipwick/slipwick/cmd/slipwick/gateways"
	"github.com/slipwick/slipwick/cmd/slipwick/get"
	"github.com/slipwick/slipwick/cmd/slipwick/report"
	"github.com/slipwick/slipwick/cmd/slipwick/status"
	"github.com/slipwick/slipwick/cmd/slipwick/version"
)

const help = `Operate a fleet of slipwick routers.

Output is a table on a terminal and JSON elsewhere; --json forces JSON.

Exit codes: 0 success, 1 failed, 2 invalid command line or file, 3 conflict with
a change by another operator, 4 the platform or a router did not respond, 5 diff
found differences.`

// Main runs one command and returns the exit code. SIGINT and SIGTERM cancel the command. An error
// is printed to streams.Err.
func Main(streams cli.Streams, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := Run(ctx, streams, args)
	if err != nil {
		return streams.Fail("slipwick", err)
	}
	return cli.ExitOK
}

// errHelp is the value of the panic with which Run leaves kingpin after it has printed help;
// kingpin would otherwise continue to parse.
var errHelp = errors.New("help printed")

// Run parses the arguments and runs the selected command. A command line that asks for help is not
// an error.
func Run(ctx context.Context, streams cli.Streams, args []string) (err error) {
	app := kingpin.New("slipwick", help)
	app.UsageWriter(streams.Out).ErrorWriter(streams.Err).Terminate(func(int) { panic(errHelp) })
	defer func() {
		if recovered := recover(); recovered != nil && recovered != any(errHelp) {
			panic(recovered)
		}
	}()
	app.HelpFlag.Short('h')
	factory := &cli.Factory{
		Streams: streams,
	}
	factory.Register(app)
	var selected cli.Command
	selectCommand := func(command cli.Command) { selected = command }
	apply.Register(app, factory, selectCommand)
	diff.Register(app, factory, selectCommand)
	get.Register(app, factory, selectCommand)
	status.Register(app, factory, selectCommand)
	evacuate.Register(app, factory, selectCommand)
	gateways.Register(app, factory, selectCommand)
	report.Register(app, factory, selectCommand)
	demo.Register(app, factory, selectCommand)
	version.Register(app, factory, selectCommand)
	completion.Register(app, factory, selectCommand)
	if _, err := app.Parse(args); err != nil {
		return cli.NewUsageError(err, "run slipwick --help")
	}
	if selected == nil {
		return cli.NewUsageError(errors.New("no command specified"), "run slipwick --help")
	}
	return selected(ctx)
}
