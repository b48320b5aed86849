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

With --config the settings are read from a slipwick settings file, which names
the table file of routes and backend servers. Without it they are read from the
platform's settings file, and routes and backend servers from the platform's
store.

Example:
  slipwickd gateway --config /etc/slipwick/gateway.jsonc

Exit codes: 0 stopped by a signal, 1 failed, 2 invalid command line or settings.`

// metricsPort is the port on which a gateway on the platform serves its metrics.
// deploy/system.toml has the same port.
const metricsPort = "9464"

// gatewayMain runs the gateway until SIGINT or SIGTERM and returns the exit code. SIGHUP makes it
// read its settings again.
func gatewayMain(streams cli.Streams, args []string) int {
	// This has to come first: a SIGHUP without a handler ends the process.
	reload := reloadSignals()
	app := kingpin.New("slipwickd gateway", gatewayHelp)
	app.UsageWriter(streams.Out).ErrorWriter(streams.Err)
	options := &gatewayOptions{}
	app.Flag("config", "Settings file, in JSON with comments.").StringVar(&options.Config)
	app.Flag("platform-settings", "The platform's settings file.").Default(platform.SettingsPath()).
		StringVar(&options.PlatformSettings)
	app.Flag("check", "Check the settings file and exit.").BoolVar(&options.Check)
	app.Flag("switch", "Name of an alternative balancing decision to use, for comparisons; may be repeated.").
		StringsVar(&options.Switches)
	app.HelpFlag.Short('h')
	if _, err := app.Parse(args); err != nil {
		return streams.Fail("slipwickd gateway", cli.NewUsageError(err, "run slipwickd gateway --help"))
	}
	process, err := options.newProcess()
	if err != nil {
		return streams.Fail("slipwickd gateway", settingsError(err))
	}
	if process.Switches, err = balance.ParseSwitches(options.Switches); err != nil {
		return streams.Fail("slipwickd gateway", cli.NewUsageError(err, "run slipwickd gateway --help"))
	}
	if options.Check {
		_, _ = streams.Out.Write([]byte("the settings are valid\n"))
		return cli.ExitOK
	}
	logWriter := boundedlog.New(streams.Out)
	defer logWriter.Close()
	process.Log, process.DroppedLines, process.Reload = logWriter.Logger(), &logWriter.Dropped, reload
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := process.Run(ctx); err != nil {
		return streams.Fail("slipwickd gateway", err)
	}
	return cli.ExitOK
}

// gatewayOptions holds the flags of slipwickd gateway.
type gatewayOptions struct {
	Config           string
	PlatformSettings string
	Switches         []string
	Check            bool
}

// newProcess reads the settings that the options name and creates the gateway.
func (o *gatewayOptions) newProcess() (*gatewayd.Process, error) {
	if o.Config != "" {
		settings, feeds, err := gatewayd.ReadFileSettings(o.Config)
		if err != nil {
			return nil, err
		}
		process := gatewayd.New(settings, feeds)
		process.ReadSettings = func() (*gatewayd.Settings, error) {
			settings, _, err := gatewayd.ReadFileSettings(o.Config)
			return settings, err
		}
		return process, nil
	}
	if o.PlatformSettings == "" {
		return nil, errors.New("no settings file specified")
	}
	settings, err := platform.ReadSettings(o.PlatformSettings)
	if err != nil {
		return nil, err
	}
	process := gatewayd.New(platformSettings(settings), platformFeeds(settings))
	process.ReadSettings = func() (*gatewayd.Settings, error) {
		settings, err := platform.ReadSettings(o.PlatformSettings)
		if err != nil {
			return nil, err
		}
		return platformSettings(settings), nil
	}
	return process, nil
}

// platformSettings converts the platform's settings to those of the gateway.
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
		Seeds:     s.SeedAddresses(),
		Headers:   platform.Headers(),
		Admission: admissionMode(s),
		Retries: gatewayd.Retries{
			Ratio:  s.Bounds.RetryBudgetRatio,
			Extra:  s.Bounds.RetryBudgetExtra,
			Window: s.RetryWindow(),
		},
		Bounds: gatewayd.Bounds{
			LoadFactor:     s.Bounds.CapacityFactor,
			LoadSlack:      platform.LoadSlack,
			ApplyTime:      s.ConfigApplyTime(),
			LeaveTime:      s.DrainTimeout(),
			EvacuationTime: s.EvacuationTime(),
			Exposure:       s.Bounds.ExposureShare,
			ColdFactor:     s.Bounds.ColdOverage,
			ColdSlack:      s.Bounds.ColdSlack,
			Heartbeat:      s.Heartbeat(),
			ReadyInterval:  platform.ReadyInterval,
		},
		FirstStart:  s.Bootstrap,
		GracePeriod: s.GracePeriod(),
		MemoryBytes: s.Limits.MemoryMB << 20,

		FileDescriptors: s.Limits.FileDescriptors,
	}
}

// admissionMode returns the mode of admission control that the platform's settings call for.
func admissionMode(s *platform.Settings) gatewayd.AdmissionMode {
	if s.LimitsLoad() {
		return gatewayd.AdmissionOn
	}
	return gatewayd.AdmissionAuto
}

// platformFeeds returns the sources of routes, backend servers, evacuations, rollouts and caches on
// the platform.
func platformFeeds(s *platform.Settings) gatewayd.Feeds {
	store := &platform.StoreClient{
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

// reloadSignals returns a channel that receives a value after a SIGHUP. Signals that arrive while the
// receiver is busy are merged.
func reloadSignals() <-chan struct{} {
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
