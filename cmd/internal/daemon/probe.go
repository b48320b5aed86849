package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
)

const (
	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
)

// probeEngines reads the load report of each engine that this router owns once per probeInterval,
// until ctx ends.
func (r *Router) probeEngines(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.probeOwned(ctx)
		}
	}
}

// probeOwned probes all owned engines concurrently and returns when all probes are done.
func (r *Router) probeOwned(ctx context.Context) {
	current := r.follower.Current()
	if current == nil {
		return
	}
	owned := make(map[string]bool)
	for _, id := range r.coordinator.Owned() {
		owned[id] = true
	}
	var probes sync.WaitGroup
	for _, pool := range current.State.Pools {
		for _, backend := range pool.Backends {
			if owned[backend.ID] && pool.Kind == configuration.PoolEngine {
				probes.Go(func() { r.probe(ctx, backend) })
			}
		}
	}
	probes.Wait()
}

// probe reads the load report of one engine and reports to the coordinator whether the engine is
// up, leaving or unreachable.
func (r *Router) probe(ctx context.Context, backend slipwick.Backend) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := r.frontend.dispatcher.Engine(backend).Load(probeCtx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		r.coordinator.RecordProbeResult(backend.ID, slipwick.EvidenceUnreachable)
	case report.Leaving:
		r.coordinator.RecordProbeResult(backend.ID, slipwick.EvidenceLeaving)
	default:
		r.coordinator.ClearLeaving(backend.ID)
	}
}
