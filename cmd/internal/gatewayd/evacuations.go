package gatewayd

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/directory"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// followsEvacuations reports whether this router follows evacuations of data centres.
func (p *Process) followsEvacuations() bool {
	return p.Settings.Bounds.EvacuationTime > 0 && p.Feeds.Evacuations != nil
}

// followEvacuations keeps the list of evacuated data centres up to date until ctx ends. The
// feed is relayed through the same routers as the others, with a time limit of its own.
func (p *Process) followEvacuations(ctx context.Context) {
	if !p.followsEvacuations() {
		return
	}
	timing := directory.TimingWithin(p.Settings.Bounds.EvacuationTime)
	follower := directory.NewFollower[string](
		p.sharedFeed(feedEvacuations, p.Feeds.Evacuations, timing), p.mirrors[feedEvacuations])
	follower.Timing = timing
	follower.Decode = p.Feeds.DecodeEvacuation
	follower.OnInvalid = p.invalidEntries.recorder(feedEvacuations)
	monitor := p.newFeedMonitor(feedEvacuations)
	follower.OnError, follower.OnResponse = monitor.failed, monitor.succeeded
	evacuated := directory.NewEvacuations(p.Settings.Bounds.EvacuationTime, p.setEvacuated)
	follower.OnStoreRestored = func(known slipwick.Position, batch *slipwick.FeedBatch) {
		evacuated.StoreRestored(batch.StableFor)
		monitor.storeRestored(known, batch)
	}
	isFirst := true
	follower.OnChange = func(changes []directory.Change[string]) {
		evacuated.Apply(changes)
		if isFirst {
			isFirst = false
			close(p.evacuationsKnown)
		}
	}
	follower.Run(ctx)
}

func (p *Process) setEvacuated(dataCentres []string) {
	p.balancer.SetEvacuated(dataCentres)
	before := p.evacuated.Swap(&dataCentres)
	if len(dataCentres) > 0 || before != nil && len(*before) > 0 {
		events.EvacuationsChanged.On(&p.Log).Strs("evacuated", dataCentres).Send()
	}
}

// evacuatedDataCentres returns the data centres known to be evacuated.
func (p *Process) evacuatedDataCentres() []string {
	if evacuated := p.evacuated.Load(); evacuated != nil {
		return *evacuated
	}
	return nil
}

// awaitEvacuations blocks a starting router, which sends no requests yet, until it knows
// which data centres are evacuated. If neither the store nor another router provides the
// list within Bounds.EvacuationTime, the router starts without it, since serving callers is better
// than refusing them; the list is applied as soon as it arrives.
func (p *Process) awaitEvacuations(ctx context.Context) {
	if !p.followsEvacuations() {
		return
	}
	timer := time.NewTimer(p.Settings.Bounds.EvacuationTime)
	defer timer.Stop()
	select {
	case <-p.evacuationsKnown:
	case <-ctx.Done():
	case <-timer.C:
		events.EvacuationsUnknown.On(&p.Log).Dur("waited_ms", p.Settings.Bounds.EvacuationTime).Send()
	}
}
