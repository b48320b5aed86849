package emulation

import (
	"fmt"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/placement"
)

const poolName = "pool"

// World is an emulated fleet with its network, engines and chats.
type World struct {
	Setup   Setup
	Network *Network
	Meter   *Meter

	mu      sync.Mutex
	routers []*Router
	// admissions holds each router's coordinator or baseline by the router's ID.
	admissions map[string]slipwick.Admission
	engines    map[string]*engineState
	snapshot   *configuration.Snapshot
	started    time.Time
	boxes      []slipwick.Box
	// returnChats is closed to make all waiting chats send their next request, and
	// then replaced.
	returnChats chan struct{}
	// done is closed by StopChats.
	done       chan struct{}
	stopOnce   sync.Once
	goroutines sync.WaitGroup
}

// engineState is an engine and its current faults.
type engineState struct {
	*Engine

	// crashed is closed when the engine crashes.
	crashed chan struct{}
	leaving bool
	hanging bool
}

func (e *engineState) isCrashed() bool {
	select {
	case <-e.crashed:
		return true
	default:
		return false
	}
}

// NewWorld creates a fleet and starts its routers. Close stops them.
func NewWorld(setup Setup) *World {
	w := &World{
		Setup:       setup,
		Network:     NewNetwork(setup.Seed),
		Meter:       newMeter(setup.LoadFactor),
		admissions:  make(map[string]slipwick.Admission),
		engines:     make(map[string]*engineState),
		started:     time.Now(),
		returnChats: make(chan struct{}),
		done:        make(chan struct{}),
	}
	w.Network.Latency = latency
	state := configuration.State{
		Pools: []configuration.Pool{
			{
				Name:          poolName,
				Kind:          configuration.PoolEngine,
				MaxLoadFactor: setup.LoadFactor,
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
		self := w.routerIdentity(i)
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
	w.goroutines.Go(w.probeEngines)
	w.goroutines.Go(w.sampleSkew)
	return w
}

// latency returns the assumed one-way latency within a data centre, between data
// centres of one region, or between regions.
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

// dataCentresPerRegion gives three regions for ten data centres.
const dataCentresPerRegion = 4

// location returns the data centre and region of the i-th router or engine.
func (w *World) location(i int) (dataCentre, region string) {
	index := i % w.Setup.DataCentres
	return fmt.Sprintf("dc-%d", index), fmt.Sprintf("region-%d", index/dataCentresPerRegion)
}

func (w *World) routerIdentity(i int) slipwick.Router {
	dataCentre, region := w.location(i)
	return slipwick.Router{
		ID:         fmt.Sprintf("router-%03d", i),
		Address:    fmt.Sprintf("10.0.%d.%d:9091", i/250, i%250),
		DataCentre: dataCentre,
		Region:     region,
	}
}

// StartRouter starts the i-th router, or restarts it after Kill.
func (w *World) StartRouter(i int) *Router {
	w.mu.Lock()
	snapshot := w.snapshot
	w.mu.Unlock()
	r := newRouter(w.Network, w.routerIdentity(i), w.Setup.Policy, snapshot, w.boxes, w.Setup.Seed)
	var admission slipwick.Admission = r.Coordinator
	if w.Setup.Baseline != nil {
		baseline := w.Setup.Baseline(w.Meter)
		r.ViewBuilder.OnView = func(view *placement.View) {
			baseline.SetView(view)
			r.SetView(view)
		}
		r.ViewBuilder.SetConfiguration(snapshot)
		admission = baseline
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admissions[r.Self.ID] = admission
	if i < len(w.routers) {
		w.routers[i] = r
	} else {
		w.routers = append(w.routers, r)
	}
	return r
}

// Router returns the i-th router.
func (w *World) Router(i int) *Router {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routers[i]
}

func (w *World) addEngine(id string, i int) slipwick.Backend {
	dataCentre, region := w.location(i)
	w.engines[id] = &engineState{
		Engine:  newEngine(id, w.Setup.CachedChats),
		crashed: make(chan struct{}),
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

// CrashEngine stops an engine; its requests in progress fail.
func (w *World) CrashEngine(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.engines[id].crashed)
	w.Meter.setUsable(id, false)
}

// SetLeaving starts or cancels an engine's planned stop.
func (w *World) SetLeaving(id string, leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines[id].leaving = leaving
	w.Meter.setUsable(id, !leaving)
}

// SetHanging makes an engine accept requests without responding to them, or
// respond again.
func (w *World) SetHanging(id string, hanging bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines[id].hanging = hanging
}

// ReplaceEngine replaces an engine by a new one with an empty cache, in a new
// version of the configuration, and applies it at all routers.
func (w *World) ReplaceEngine(id, newID string) {
	w.mu.Lock()
	next := *w.snapshot
	next.Version++
	pool := next.State.Pools[0]
	backends := make([]slipwick.Backend, len(pool.Backends))
	copy(backends, pool.Backends)
	for i := range backends {
		if backends[i].ID == id {
			backends[i] = w.addEngine(newID, i)
		}
	}
	pool.Backends = backends
	next.State.Pools = []configuration.Pool{pool}
	w.snapshot = &next
	routers := append([]*Router(nil), w.routers...)
	w.Meter.setUsable(id, false)
	w.mu.Unlock()
	for _, r := range routers {
		r.ViewBuilder.SetConfiguration(&next)
	}
}

// Engines returns the IDs of the engines in the configuration.
func (w *World) Engines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for _, b := range w.snapshot.State.Pools[0].Backends {
		ids = append(ids, b.ID)
	}
	return ids
}

// probeEngines has each running router probe the engines it owns once a second,
// until StopChats.
func (w *World) probeEngines() {
	const interval = time.Second
	for w.sleep(interval) {
		w.mu.Lock()
		routers := append([]*Router(nil), w.routers...)
		w.mu.Unlock()
		for _, r := range routers {
			if r.isStopped() {
				continue
			}
			for _, id := range r.Coordinator.Owned() {
				w.probeEngine(r, id)
			}
		}
	}
}

func (w *World) probeEngine(r *Router, id string) {
	w.mu.Lock()
	e := w.engines[id]
	leaving := e.leaving
	w.mu.Unlock()
	switch {
	case e.isCrashed():
		r.Coordinator.RecordProbeResult(id, slipwick.EvidenceUnreachable)
	case leaving:
		r.Coordinator.RecordProbeResult(id, slipwick.EvidenceLeaving)
	default:
		r.Coordinator.ClearLeaving(id)
	}
}

// sampleSkew records the skew ten times a second until StopChats.
func (w *World) sampleSkew() {
	const interval = 100 * time.Millisecond
	for w.sleep(interval) {
		w.Meter.recordSkew()
	}
}

// sleep waits for the duration. It reports false if StopChats was called in the
// meantime.
func (w *World) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-w.done:
		return false
	case <-timer.C:
		return true
	}
}

// StopChats stops the chats, the probes of the engines and the samples of the
// skew, and waits until the last requests have ended.
func (w *World) StopChats() {
	w.stopOnce.Do(func() { close(w.done) })
	w.goroutines.Wait()
}

// Close calls StopChats, then stops the routers and waits for them.
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
