package serve

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/platform"

	"github.com/slipwick/slipwick/cmd/internal/boundedlog"
	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/internal/gatewayd"
)

const gatewayHelp = `The slipwick gateway: routes HTTP requests by host and path.

With --config the settings are a file of slipwick's own, which names the table
of routes and backend servers. Without it they are the users' platform's file,
and routes and backend servers come from the platform's store.

Example:
  slipwickd gateway --config /etc/slipwick/gateway.jsonc

Exit codes: 0 stopped as asked, 1 failed, 2 the settings have mistakes.`

// metricsPort is where a gateway on the platform tells its figures;
// deploy/system.toml names it too.
const metricsPort = "9464"

// gatewayMain runs the gateway and gives the exit code.
func gatewayMain(streams cli.Streams, args []string) int {
	// Before anything else: without a handler the signal ends the process.
	reload := hangups()
	app := kingpin.New("slipwickd gateway", gatewayHelp)
	app.UsageWriter(streams.Out).ErrorWriter(streams.Err)
	options := &gatewayOptions{}
	app.Flag("config", "Settings file, in JSON with comments.").StringVar(&options.Config)
	app.Flag("platform-settings", "The platform's settings file.").Default(platform.SettingsPath()).
		StringVar(&options.Platform)
	app.Flag("check", "Check the settings file and exit.").BoolVar(&options.Check)
	app.Flag("switch", "Take the other way of a decision, for comparisons; may be repeated.").
		StringsVar(&options.Switches)
	app.HelpFlag.Short('h')
	if _, err := app.Parse(args); err != nil {
		return streams.Fail("slipwickd gateway", cli.Usage(err, "run slipwickd gateway --help"))
	}
	process, err := options.process()
	if err != nil {
		return streams.Fail("slipwickd gateway", refused(err))
	}
	if process.Switches, err = balance.ParseSwitches(options.Switches); err != nil {
		return streams.Fail("slipwickd gateway", cli.Usage(err, "run slipwickd gateway --help"))
	}
	if options.Check {
		_, _ = streams.Out.Write([]byte("the settings are in order\n"))
		return cli.ExitOK
	}
	lines := boundedlog.New(streams.Out)
	defer lines.Close()
	process.Log, process.DroppedLines, process.Reload = lines.Logger(), &lines.Dropped, reload
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := process.Run(ctx); err != nil {
		return streams.Fail("slipwickd gateway", err)
	}
	return cli.ExitOK
}

// gatewayOptions are what the command line gives.
type gatewayOptions struct {
	Config   string
	Platform string
	Switches []string
	Check    bool
}

// process makes the gateway from the settings that the options name.
func (o *gatewayOptions) process() (*gatewayd.Process, error) {
	if o.Config != "" {
		settings, feeds, err := gatewayd.ReadFileSettings(o.Config)
		if err != nil {
			return nil, err
		}
		process := gatewayd.New(settings, feeds)
		process.Reread = func() (*gatewayd.Settings, error) {
			settings, _, err := gatewayd.ReadFileSettings(o.Config)
			return settings, err
		}
		return process, nil
	}
	if o.Platform == "" {
		return nil, errors.New("no settings are named")
	}
	settings, err := platform.ReadSettings(o.Platform)
	if err != nil {
		return nil, err
	}
	process := gatewayd.New(platformSettings(settings), platformFeeds(settings))
	process.Reread = func() (*gatewayd.Settings, error) {
		settings, err := platform.ReadSettings(o.Platform)
		if err != nil {
			return nil, err
		}
		return platformSettings(settings), nil
	}
	return process, nil
}

// platformSettings translates the platform's settings.
func platformSettings(s *platform.Settings) *gatewayd.Settings {
	return &gatewayd.Settings{
		ID:         s.NodeName,
		DataCentre: s.Zone,
		Region:     s.Region,
		Listen: gatewayd.Listen{
			Callers:   s.Listen.Frontend,
			Ready:     s.Listen.Ready,
			ReadyPath: platform.ReadyPath,
			Peers:     s.PeerAddress(),
			Metrics:   net.JoinHostPort(s.IPAddress, metricsPort),
		},
		Seeds:   s.SeedAddresses(),
		Headers: platform.Headers(),
		Retries: gatewayd.Retries{
			Ratio:  s.Bounds.RetryBudgetRatio,
			Extra:  s.Bounds.RetryBudgetExtra,
			Window: s.RetryWindow(),
		},
		Bounds: gatewayd.Bounds{
			LoadFactor: s.Bounds.CapacityFactor,
			LoadSlack:  platform.LoadSlack,
			Apply:      s.ConfigApplyTime(),
			Leave:      s.DrainTimeout(),
			Evacuate:   s.EvacuationTime(),
			Exposure:   s.Bounds.ExposureShare,
			ColdFactor: s.Bounds.ColdOverage,
			ColdSlack:  s.Bounds.ColdSlack,
			Heartbeat:  s.Heartbeat(),
			ReadyEvery: platform.ReadyEvery,
		},
		FirstStart:  s.Bootstrap,
		Grace:       s.GracePeriod(),
		MemoryBytes: s.Limits.MemoryMB << 20,
	}
}

// platformFeeds gives what the platform's store and replicas tell.
func platformFeeds(s *platform.Settings) gatewayd.Feeds {
	store := &platform.Store{
		Address: s.Platform.Address,
		HTTP:    httpclient.New(),
	}
	return gatewayd.Feeds{
		Tables:        platform.Configurations(store),
		Backends:      platform.Replicas(store),
		Evacuations:   platform.Evacuations(store),
		DecodeTable:   platform.DecodeConfiguration,
		DecodeBackend: s.DecodeReplica,

		DecodeEvacuation: platform.DecodeEvacuation,

		Rollouts:      platform.Rollouts(store),
		DecodeRollout: platform.DecodeRollout,
		WriteRollout:  store.WriteRollout,
		Caches: &platform.CacheClient{
			HTTP: httpclient.New(),
		},
	}
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
