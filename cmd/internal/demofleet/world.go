package demofleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/jsonfile"
	"github.com/slipwick/slipwick/objectapi"
	"github.com/slipwick/slipwick/standin"

	"github.com/slipwick/slipwick/cmd/internal/daemon"
)

const (
	apiKey    = "demo-key"
	model     = "demo"
	workspace = "demo"

	// startTimeout limits the wait for the routers to get ready, and that for them
	// to find each other.
	startTimeout = 30 * time.Second
	// settleTime is longer than admission.Policy.TakeoverWindow, in which new
	// owners of engines grant at most half of the headroom.
	settleTime = 4 * time.Second
	// announceTime is how long a draining router still accepts requests.
	announceTime = 500 * time.Millisecond
	// listDelay is the delay of the platform's list of boxes.
	listDelay = time.Second
	// reportDelay and eventDropInterval are parameters of engineProfile.
	reportDelay       = 200 * time.Millisecond
	eventDropInterval = 7
)

// engineProfile makes a response take about a quarter of a second: 20 tokens of 10
// milliseconds, and 50 milliseconds if the prompt is not cached.
var engineProfile = standin.EngineProfile{
	Slots:             64,
	Tokens:            20,
	TokenInterval:     10 * time.Millisecond,
	PrefillTime:       50 * time.Millisecond,
	CachedChats:       400,
	ReportDelay:       reportDelay,
	EventDropInterval: eventDropInterval,
}

// world holds the platform, engines and routers that a scenario runs.
type world struct {
	started        time.Time
	platform       *standin.Platform
	platformURL    string
	platformServer *http.Server
	engines        []*runningEngine
	routers        []*daemon.Router
	stopRouter     []func()
	// startBytes has the control bytes of each router when the callers started.
	startBytes []int64
	client     *http.Client
	goroutines sync.WaitGroup

	mu      sync.Mutex
	skewMax float64
}

// newWorld starts everything and waits until all routers are ready and know each
// other. On an error it stops what it has started.
func newWorld(ctx context.Context, s *Scenario) (*world, error) {
	w := &world{
		started:  time.Now(),
		platform: standin.NewPlatform(),
		client:   httpclient.New(),
	}
	if err := w.start(ctx, s); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

func (w *world) start(ctx context.Context, s *Scenario) error {
	var err error
	var address string
	if w.platformServer, address, err = serve(w.platform); err != nil {
		return err
	}
	w.platformURL = "http://" + address
	w.platform.ListDelay = listDelay
	for i := range s.Engines {
		e, err := startEngine(fmt.Sprintf("engine-%02d", i), engineProfile)
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
		w.platform.SetBox(w.box(e, slipwick.BoxLive))
	}
	if err := w.applyConfiguration(ctx); err != nil {
		return err
	}
	for i := range s.Routers {
		w.startRouter(ctx, i)
	}
	if err := w.waitReady(ctx); err != nil {
		return err
	}
	return w.waitMembers(ctx)
}

func (w *world) box(e *runningEngine, state slipwick.BoxState) slipwick.Box {
	return slipwick.Box{
		ID:         e.id,
		Kind:       slipwick.BoxBackend,
		Address:    e.address,
		DataCentre: dataCentre(0),
		State:      state,
	}
}

// startLeaving starts an engine's planned stop.
func (w *world) startLeaving(e *runningEngine) {
	e.unusable.Store(true)
	e.SetFaults(standin.Faults{
		Leaving: true,
	})
	w.platform.SetBox(w.box(e, slipwick.BoxLeaving))
}

func dataCentre(i int) string {
	const count = 2
	return fmt.Sprintf("dc-%d", i%count)
}

// applyConfiguration writes the demo's configuration to the platform.
func (w *world) applyConfiguration(ctx context.Context) error {
	pool := configuration.Pool{
		Name: "engines",
		Kind: configuration.PoolEngine,
	}
	for _, e := range w.engines {
		pool.Backends = append(pool.Backends, slipwick.Backend{
			ID:         e.id,
			Address:    e.address,
			DataCentre: dataCentre(0),
			Slots:      engineProfile.Slots,
		})
	}
	repository := &configuration.Repository{
		Store: &objectapi.Client{
			BaseURL: w.platformURL,
			HTTP:    w.client,
		},
	}
	_, err := repository.Apply(ctx, &configuration.State{
		Workspaces: []configuration.Workspace{
			{
				Name:      workspace,
				KeyHashes: []string{configuration.HashKey(apiKey)},
				Objectives: configuration.Objectives{
					Availability: 0.999,
					FirstToken:   jsonfile.Duration(650 * time.Millisecond),
				},
			},
		},
		Pools: []configuration.Pool{pool},
		Rules: []configuration.Rule{
			{
				Workspace: configuration.Any,
				Model:     model,
				Pool:      pool.Name,
			},
		},
	}, 0)
	return err
}

// startRouter starts the i-th router. The first router is the seed of the others.
func (w *world) startRouter(ctx context.Context, i int) {
	var seeds []string
	if i > 0 {
		select {
		case <-w.routers[0].Started():
			seeds = append(seeds, w.routers[0].PeersAddress())
		case <-w.routers[0].Done():
			// waitReady reports that the router has not started.
		}
	}
	router := daemon.NewRouter(&daemon.Settings{
		ID:         fmt.Sprintf("router-%02d", i),
		DataCentre: dataCentre(i),
		Listen: daemon.Listen{
			Callers:   "127.0.0.1:0",
			Operators: "127.0.0.1:0",
			Peers:     "127.0.0.1:0",
		},
		Platform: daemon.Platform{
			URL: w.platformURL,
		},
		Seeds: seeds,
		Limits: daemon.Limits{
			Announce: jsonfile.Duration(announceTime),
		},
	}, zerolog.Nop())
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	w.routers = append(w.routers, router)
	w.stopRouter = append(w.stopRouter, stop)
	w.goroutines.Go(func() { _ = router.Run(runCtx) })
}

func (w *world) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, router := range w.routers {
		select {
		case <-router.Started():
		case <-ctx.Done():
			return errors.New("timed out waiting for a router to start; check that loopback ports are free")
		}
		for !router.CurrentStatus().Ready {
			select {
			case <-ctx.Done():
				return errors.New("timed out waiting for a router to get ready; run with fewer routers")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// waitMembers adds the routers to the platform's list of boxes and waits until
// they know each other. It then waits for settleTime, until the takeover windows of
// the owners are over.
func (w *world) waitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, router := range w.routers {
		w.platform.SetBox(slipwick.Box{
			ID:         router.Settings.ID,
			Kind:       slipwick.BoxRouter,
			Address:    router.PeersAddress(),
			DataCentre: router.Settings.DataCentre,
			State:      slipwick.BoxLive,
		})
	}
	for _, router := range w.routers {
		for len(router.CurrentStatus().Members) < len(w.routers) {
			select {
			case <-ctx.Done():
				return errors.New("timed out waiting for the routers to find each other; run with fewer routers")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	time.Sleep(settleTime)
	for _, router := range w.routers {
		w.startBytes = append(w.startBytes, router.ControlBytes())
	}
	w.started = time.Now()
	return nil
}

// stop stops the routers and waits for them, then the engines and the platform.
func (w *world) stop() {
	for _, stop := range w.stopRouter {
		stop()
	}
	w.goroutines.Wait()
	for _, e := range w.engines {
		_ = e.server.Close()
	}
	if w.platformServer != nil {
		_ = w.platformServer.Close()
	}
	w.client.CloseIdleConnections()
}

// sampleInterval is the time between samples of the engines' loads.
const sampleInterval = 20 * time.Millisecond

// sampleSkew records the skew regularly until ctx ends.
func (w *world) sampleSkew(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.recordSkew()
		}
	}
}

// recordSkew records the skew, which is the ratio of the busiest engine's load to
// the mean, if it is the highest so far.
func (w *world) recordSkew() {
	total, busiest, usable := 0, 0, 0
	for _, e := range w.engines {
		if e.unusable.Load() {
			continue
		}
		usable++
		running := e.InFlight()
		total += running
		busiest = max(busiest, running)
	}
	// Below this mean the skew shows only the rounding to whole requests.
	const minMeanLoad = 4
	if total < minMeanLoad*usable {
		return
	}
	mean := float64(total) / float64(usable)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.skewMax = max(w.skewMax, float64(busiest)/mean)
}
