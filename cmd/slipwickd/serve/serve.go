// Package serve implements the command line of slipwickd: the chat router, and the gateway with
// slipwickd gateway.
package serve

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick/jsonfile"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/internal/daemon"
)

const help = `The slipwick chat router: forwards chat requests and calls of services.

Example:
  slipwickd --config /etc/slipwick/router.jsonc

Exit codes: 0 stopped by a signal, 1 failed, 2 invalid command line or settings.`

// Options holds the streams and the flags of the command line.
type Options struct {
	Streams cli.Streams
	Config  string
	Check   bool
}

// Main runs the chat router, or the gateway if the first argument is gateway, until SIGINT or SIGTERM. It
// returns the exit code.
func Main(streams cli.Streams, args []string) int {
	if len(args) > 0 && args[0] == "gateway" {
		return gatewayMain(streams, args[1:])
	}
	options := &Options{
		Streams: streams,
	}
	app := kingpin.New("slipwickd", help)
	app.UsageWriter(streams.Out).ErrorWriter(streams.Err)
	app.Flag("config", "Settings file, in JSON with comments.").Required().StringVar(&options.Config)
	app.Flag("check", "Check the settings file and exit.").BoolVar(&options.Check)
	app.HelpFlag.Short('h')
	if _, err := app.Parse(args); err != nil {
		return streams.Fail("slipwickd", cli.NewUsageError(err, "run slipwickd --help"))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, options); err != nil {
		return streams.Fail("slipwickd", err)
	}
	return cli.ExitOK
}

func run(ctx context.Context, options *Options) error {
	settings, err := daemon.ReadSettings(options.Config)
	if err != nil {
		return settingsError(err)
	}
	if options.Check {
		_, err := fmt.Fprintln(options.Streams.Out, options.Config+" is valid")
		return err
	}
	level := zerolog.InfoLevel
	if settings.Log.Level != "" {
		if level, err = zerolog.ParseLevel(settings.Log.Level); err != nil {
			return settingsError(err)
		}
	}
	log := zerolog.New(options.Streams.Err).Level(level).With().Timestamp().Logger()
	return daemon.NewRouter(settings, log).Run(ctx)
}

// settingsError returns the errors in a settings file, or a usage error if the settings cannot be
// read.
func settingsError(err error) error {
	var errs jsonfile.ValidationErrors
	if errors.As(err, &errs) {
		return errs
	}
	return cli.NewUsageError(err, "specify a readable settings file with --config")
}
