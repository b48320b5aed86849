package serve

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/platform"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/internal/gatewayd"
)

const gatewayHelp = `The slipwick gateway: routes HTTP requests by host and path.

With --on-platform the settings are the users' platform's own file, and the
configuration and the backend servers come from the platform's store.

Exit codes: 0 stopped as asked, 1 failed, 2 the settings have mistakes.`

// metricsAddress is where a gateway on the platform tells its figures;
// deploy/system.toml names it too.
const metricsAddress = ":9464"

// gatewayMain runs the gateway and gives the exit code.
func gatewayMain(streams cli.Streams, args []string) int {
	// Before anything else: without a handler the signal ends the process.
	reload := hangups()
	app := kingpin.New("slipwickd gateway", gatewayHelp)
	app.UsageWriter(streams.Out).ErrorWriter(streams.Err)
	path := app.Flag("on-platform", "The platform's settings file.").Default(platform.SettingsPath()).String()
	check := app.Flag("check", "Check the settings file and exit.").Bool()
	app.HelpFlag.Short('h')
	if _, err := app.Parse(args); err != nil {
		return streams.Fail("slipwickd gateway", cli.Usage(err, "run slipwickd gateway --help"))
	}
	settings, err := platform.ReadSettings(*path)
	if err != nil {
		return streams.Fail("slipwickd gateway", cli.Usage(err, "mend the settings file"))
	}
	if *check {
		_, _ = streams.Out.Write([]byte(*path + " is in order\n"))
		return cli.ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	process := onPlatform(streams, settings)
	process.Reload = reload
	if err := process.Run(ctx); err != nil {
		return streams.Fail("slipwickd gateway", err)
	}
	return cli.ExitOK
}

// onPlatform makes a gateway from the platform's settings.
func onPlatform(streams cli.Streams, s *platform.Settings) *gatewayd.Process {
	store := &platform.Store{
		Address: s.Platform.Address,
		HTTP:    httpclient.New(),
	}
	log := zerolog.New(streams.Out).With().Timestamp().Str("router", s.NodeName).Logger()
	return gatewayd.New(&gatewayd.Settings{
		ID:         s.NodeName,
		DataCentre: s.Zone,
		Region:     s.Region,
		Listen: gatewayd.Listen{
			Callers:   s.Listen.Frontend,
			Ready:     s.Listen.Ready,
			ReadyPath: platform.ReadyPath,
			Peers:     s.PeerAddress(),
			Metrics:   metricsAddress,
		},
		Seeds:   s.SeedAddresses(),
		Headers: platform.Headers(),
		Retries: gatewayd.Retries{
			Ratio:  s.Bounds.RetryBudgetRatio,
			Extra:  s.Bounds.RetryBudgetExtra,
			Window: s.RetryWindow(),
		},
		FirstStart:  s.Bootstrap,
		Grace:       s.Grace(),
		MemoryBytes: s.Limits.MemoryMB << 20,
	}, gatewayd.Feeds{
		Tables:        platform.Configurations(store),
		Backends:      platform.Replicas(store),
		DecodeTable:   platform.DecodeConfiguration,
		DecodeBackend: platform.DecodeReplica,
		Caches: &platform.Caches{
			HTTP: httpclient.New(),
		},
	}, log)
}

// hangups gives a value for each SIGHUP.
func hangups() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reload := make(chan struct{})
	go func() {
		for range signals {
			reload <- struct{}{}
		}
	}()
	return reload
}
