package emulator

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

	startTimeout = 30 * time.Second
	settle       = 4 * time.Second
	announce     = 500 * time.Millisecond
	listLag      = time.Second
	reportLag    = 200 * time.Millisecond
	eventGap     = 7
)

// engineProfile makes answers of a quarter of a second.
var engineProfile = standin.EngineProfile{
	Slots:      64,
	Tokens:     20,
	TokenEvery: 10 * time.Millisecond,
	Prefill:    50 * time.Millisecond,
	CacheChats: 400,
	ReportLag:  reportLag,
	EventGap:   eventGap,
}

// world is everything that a scenario runs.
type world struct {
	started        time.Time
	platform       *standin.Platform
	platformURL    string
	platformServer *http.Server
	engines        []*runningEngine
	routers        []*daemon.Router
	stopRouter     []func()
	client         *http.Client
	parts          sync.WaitGroup

	mu      sync.Mutex
	skewMax float64
}

func newWorld(ctx context.Context, s *Scenario) (*world, error) {
	w := &world{
		started:  time.Now(),
		platform: standin.NewPlatform(),
		client:   httpclient.New(),
	}
	var err error
	var address string
	if w.platformServer, address, err = serve(w.platform); err != nil {
		return nil, err
	}
	w.platformURL = "http://" + address
	w.platform.Lag = listLag
	for i := range s.Engines {
		e, err := startEngine(fmt.Sprintf("engine-%02d", i), engineProfile)
		if err != nil {
			return nil, err
		}
		w.engines = append(w.engines, e)
		w.platform.SetBox(w.box(e, slipwick.BoxLive))
	}
	if err := w.apply(ctx); err != nil {
		return nil, err
	}
	for i := range s.Routers {
		w.startRouter(ctx, i)
	}
	if err := w.waitReady(ctx); err != nil {
		return nil, err
	}
	return w, w.waitMembers(ctx)
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

// leave begins an engine's planned stop.
func (w *world) leave(e *runningEngine) {
	e.out.Store(true)
	e.SetFaults(standin.Faults{
		Leaving: true,
	})
	w.platform.SetBox(w.box(e, slipwick.BoxLeaving))
}

func dataCentre(i int) string {
	const count = 2
	return fmt.Sprintf("dc-%d", i%count)
}

// apply puts the demo's configuration in force.
func (w *world) apply(ctx context.Context) error {
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
	keeper := &configuration.Repository{
		Store: &objectapi.Client{
			BaseURL: w.platformURL,
			HTTP:    w.client,
		},
	}
	_, err := keeper.Apply(ctx, &configuration.State{
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

func (w *world) startRouter(ctx context.Context, i int) {
	var seeds []string
	if i > 0 {
		<-w.routers[0].Started()
		seeds = append(seeds, w.routers[0].PeersAddress())
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
			Announce: jsonfile.Duration(announce),
		},
	}, zerolog.Nop())
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	w.routers = append(w.routers, router)
	w.stopRouter = append(w.stopRouter, stop)
	w.parts.Go(func() { _ = router.Run(running) })
}

func (w *world) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, router := range w.routers {
		select {
		case <-router.Started():
		case <-ctx.Done():
			return errors.New("a router did not start in time; check that loopback ports are free")
		}
		for !router.CurrentStatus().Ready {
			select {
			case <-ctx.Done():
				return errors.New("a router did not get ready in time; run with fewer routers")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// waitMembers puts the routers on the platform's list and waits until they
// know each other and the owners' first window is over.
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
				return errors.New("the routers did not find each other in time; run with fewer routers")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	time.Sleep(settle)
	w.started = time.Now()
	return nil
}

// stop ends everything that the world runs.
func (w *world) stop() {
	for _, stop := range w.stopRouter {
		stop()
	}
	w.parts.Wait()
	for _, e := range w.engines {
		_ = e.server.Close()
	}
	_ = w.platformServer.Close()
}

// measureEvery is how often loads are sampled.
const measureEvery = 20 * time.Millisecond

// measure samples how far the busiest engine is above the mean.
func (w *world) measure(ctx context.Context) {
	ticker := time.NewTicker(measureEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.sample()
		}
	}
}

func (w *world) sample() {
	total, busiest, usable := 0, 0, 0
	for _, e := range w.engines {
		if e.out.Load() {
			continue
		}
		usable++
		running := e.Running()
		total += running
		busiest = max(busiest, running)
	}
	// Below a few requests each, rounding to whole requests is all there is.
	const enough = 4
	if total < enough*usable {
		return
	}
	mean := float64(total) / float64(usable)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.skewMax = max(w.skewMax, float64(busiest)/mean)
}
