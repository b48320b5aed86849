package emulation

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/placement"
)

const poolName = "pool"

// World is an emulated fleet.
type World struct {
	Setup   Setup
	Network *Network
	Meter   *Meter

	mu       sync.Mutex
	random   *rand.Rand
	routers  []*Router
	admits   map[string]slipwick.Admission
	engines  map[string]*runningEngine
	snapshot *configuration.Snapshot
	started  time.Time
	boxes    []slipwick.Box
	back     chan struct{}
	done     chan struct{}
	stop     sync.Once
	parts    sync.WaitGroup
}

// runningEngine is an engine and what befell it.
type runningEngine struct {
	*Engine

	lost    chan struct{}
	leaving bool
	hangs   bool
}

func (e *runningEngine) isLost() bool {
	select {
	case <-e.lost:
		return true
	default:
		return false
	}
}

// NewWorld makes a fleet and starts its routers. Close ends it.
func NewWorld(setup Setup) *World {
	w := &World{
		Setup:   setup,
		Network: NewNetwork(setup.Seed),
		Meter:   newMeter(setup.Factor),
		random:  rand.New(rand.NewPCG(setup.Seed, 2)),
		admits:  make(map[string]slipwick.Admission),
		engines: make(map[string]*runningEngine),
		started: time.Now(),
		back:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	w.Network.Latency = latency
	state := configuration.State{
		Pools: []configuration.Pool{
			{
				Name:          poolName,
				Kind:          configuration.PoolEngine,
				MaxLoadFactor: setup.Factor,
			},
		},
	}
	for _, name := range workspaces {
		state.Workspaces = append(state.Workspaces, configuration.Workspace{
			Name: name,
		})
	}
	for i := range setup.Engines {
		state.Pools[0].Backends = append(state.Pools[0].Backends, w.addEngine(fmt.Sprintf("engine-%03d", i), i))
	}
	w.snapshot = &configuration.Snapshot{
		State:   state,
		Version: 1,
	}
	for i := range setup.Routers {
		self := w.routerAt(i)
		w.boxes = append(w.boxes, slipwick.Box{
			ID:         self.ID,
			Kind:       slipwick.BoxRouter,
			Address:    self.Address,
			DataCentre: self.DataCentre,
			Region:     self.Region,
			State:      slipwick.BoxLive,
		})
	}
	for i := range setup.Routers {
		w.StartRouter(i)
	}
	w.parts.Go(w.probe)
	w.parts.Go(w.sample)
	return w
}

// latency is that between data centres of one region, or between regions.
func latency(from, to *Router) time.Duration {
	switch {
	case from.Self.DataCentre == to.Self.DataCentre:
		return 200 * time.Microsecond
	case from.Self.Region == to.Self.Region:
		return 1500 * time.Microsecond
	default:
		return 15 * time.Millisecond
	}
}

// dataCentresPerRegion matches three regions with ten data centres.
const dataCentresPerRegion = 4

func (w *World) place(i int) (dataCentre, region string) {
	at := i % w.Setup.DataCentres
	return fmt.Sprintf("dc-%d", at), fmt.Sprintf("region-%d", at/dataCentresPerRegion)
}

func (w *World) routerAt(i int) slipwick.Router {
	dataCentre, region := w.place(i)
	return slipwick.Router{
		ID:         fmt.Sprintf("router-%03d", i),
		Address:    fmt.Sprintf("10.0.%d.%d:9091", i/250, i%250),
		DataCentre: dataCentre,
		Region:     region,
	}
}

// StartRouter starts the i-th router, anew if it ran before.
func (w *World) StartRouter(i int) *Router {
	w.mu.Lock()
	snapshot := w.snapshot
	w.mu.Unlock()
	r := newRouter(w.Network, w.routerAt(i), w.Setup.Policy, snapshot, w.boxes, w.Setup.Seed)
	var admits slipwick.Admission = r.Coordinator
	if w.Setup.Baseline != nil {
		baseline := w.Setup.Baseline(w.Meter)
		r.Viewer.OnView = func(view *placement.View) {
			baseline.SetView(view)
			r.SetView(view)
		}
		r.Viewer.SetConfiguration(snapshot)
		admits = baseline
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admits[r.Self.ID] = admits
	if i < len(w.routers) {
		w.routers[i] = r
	} else {
		w.routers = append(w.routers, r)
	}
	return r
}

// Router gives the i-th router.
func (w *World) Router(i int) *Router {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routers[i]
}

func (w *World) addEngine(id string, i int) slipwick.Backend {
	dataCentre, region := w.place(i)
	w.engines[id] = &runningEngine{
		Engine: newEngine(id, w.Setup.CacheChats),
		lost:   make(chan struct{}),
	}
	w.Meter.setUsable(id, true)
	return slipwick.Backend{
		ID:         id,
		Address:    "10.1.0.1:8000",
		DataCentre: dataCentre,
		Region:     region,
		Slots:      w.Setup.Slots,
	}
}

// Lose makes an engine vanish with all that it has in progress.
func (w *World) Lose(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.engines[id].lost)
	w.Meter.setUsable(id, false)
}

// SetLeaving begins or ends an engine's planned stop.
func (w *World) SetLeaving(id string, leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines[id].leaving = leaving
	w.Meter.setUsable(id, !leaving)
}

// SetHanging has an engine accept requests and not answer them.
func (w *World) SetHanging(id string, hangs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines[id].hangs = hangs
}

// Replace puts a new engine, with an empty cache, in the place of another, in
// a new version of the configuration.
func (w *World) Replace(id, by string) {
	w.mu.Lock()
	next := *w.snapshot
	next.Version++
	pool := next.State.Pools[0]
	backends := make([]slipwick.Backend, len(pool.Backends))
	copy(backends, pool.Backends)
	for i := range backends {
		if backends[i].ID == id {
			backends[i] = w.addEngine(by, i)
		}
	}
	pool.Backends = backends
	next.State.Pools = []configuration.Pool{pool}
	w.snapshot = &next
	routers := append([]*Router(nil), w.routers...)
	w.Meter.setUsable(id, false)
	w.mu.Unlock()
	for _, r := range routers {
		r.Viewer.SetConfiguration(&next)
	}
}

// Engines lists the engines in the configuration.
func (w *World) Engines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for _, b := range w.snapshot.State.Pools[0].Backends {
		ids = append(ids, b.ID)
	}
	return ids
}

// probe stands for the owners' probing of their engines.
func (w *World) probe() {
	const every = time.Second
	for w.pause(every) {
		w.mu.Lock()
		routers := append([]*Router(nil), w.routers...)
		w.mu.Unlock()
		for _, r := range routers {
			if r.isStopped() {
				continue
			}
			for _, id := range r.Coordinator.Owned() {
				w.probeOne(r, id)
			}
		}
	}
}

func (w *World) probeOne(r *Router, id string) {
	w.mu.Lock()
	e := w.engines[id]
	leaving := e.leaving
	w.mu.Unlock()
	switch {
	case e.isLost():
		r.Coordinator.Observe(id, slipwick.EvidenceUnreachable)
	case leaving:
		r.Coordinator.Observe(id, slipwick.EvidenceLeaving)
	default:
		r.Coordinator.ClearLeaving(id)
	}
}

func (w *World) sample() {
	const every = 100 * time.Millisecond
	for w.pause(every) {
		w.Meter.sample()
	}
}

// pause sleeps; false says that the world ended meanwhile.
func (w *World) pause(length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-w.done:
		return false
	case <-timer.C:
		return true
	}
}

// StopChats ends the callers and waits for their last requests.
func (w *World) StopChats() {
	w.stop.Do(func() { close(w.done) })
	w.parts.Wait()
}

// Close ends callers, then routers.
func (w *World) Close() {
	w.StopChats()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.routers {
		r.Kill()
		<-r.Coordinator.Done()
		<-r.Node.Done()
	}
}
