package gatewayd

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/directory"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// followsEvacuations tells whether data centres may be evacuated at all.
func (p *Process) followsEvacuations() bool {
	return p.Settings.Bounds.Evacuate > 0 && p.Feeds.Evacuations != nil
}

// followEvacuations keeps the list of evacuated data centres. It goes the way of the
// other feeds, through the same routers; its time is its own.
func (p *Process) followEvacuations(ctx context.Context) {
	if !p.followsEvacuations() {
		return
	}
	rhythm := directory.TimingWithin(p.Settings.Bounds.Evacuate)
	follower := directory.NewFollower[string](
		p.shared(feedEvacuations, p.Feeds.Evacuations, rhythm), p.mirrors[feedEvacuations])
	follower.Timing = rhythm
	follower.Decode = p.Feeds.DecodeEvacuation
	follower.OnInvalid = p.foreign.of(feedEvacuations)
	dependency := p.newDependency(feedEvacuations)
	follower.OnError, follower.OnAnswer = dependency.failed, dependency.answered
	evacuated := directory.NewEvacuations(p.Settings.Bounds.Evacuate, p.setEvacuated)
	follower.OnStoreRestored = func(known slipwick.Position, batch *slipwick.FeedBatch) {
		evacuated.StoreRestored(batch.Steady)
		dependency.fellBack(known, batch)
	}
	isFirst := true
	follower.OnChange = func(changes []directory.Change[string]) {
		evacuated.Change(changes)
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

// evacuatedNow gives the data centres that are evacuated, as far as known.
func (p *Process) evacuatedNow() []string {
	if evacuated := p.evacuated.Load(); evacuated != nil {
		return *evacuated
	}
	return nil
}

// awaitEvacuations has a starting router wait until it knows which data centres are
// evacuated: before, it does not send. When nobody can tell it for as long as routers
// have to follow an evacuation, it goes on, as it serves callers better than nobody;
// the list is learnt as soon as the store or another router tells it.
func (p *Process) awaitEvacuations(ctx context.Context) {
	if !p.followsEvacuations() {
		return
	}
	timer := time.NewTimer(p.Settings.Bounds.Evacuate)
	defer timer.Stop()
	select {
	case <-p.evacuationsKnown:
	case <-ctx.Done():
	case <-timer.C:
		events.EvacuationsUnknown.On(&p.Log).Dur("waited_ms", p.Settings.Bounds.Evacuate).Send()
	}
}
