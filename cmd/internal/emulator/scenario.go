package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a scenario.
const (
	minRouters, maxRouters = 2, 50
	minEngines, maxEngines = 3, 200
	maxChats               = 5000
	maxFor                 = time.Hour
)

// Times of the incidents, as shares of the run.
const (
	loseAt  = 0.35
	leaveAt = 0.5
	drainAt = 0.65
)

// burstEvery is how often all chats return; they arrive within a second.
const burstEvery = 3 * time.Second

// Scenario is one run.
type Scenario struct {
	For     time.Duration
	Seed    uint64
	Routers int
	Engines int
	Chats   int
	// Progress is told what happens, at the time since the start.
	Progress func(at time.Duration, text string)
}

// Check refuses a scenario out of bounds.
func (s *Scenario) Check() error {
	switch {
	case s.Routers < minRouters || s.Routers > maxRouters:
		return errors.Errorf("%d routers are out of bounds", s.Routers)
	case s.Engines < minEngines || s.Engines > maxEngines:
		return errors.Errorf("%d engines are out of bounds", s.Engines)
	case s.Chats < 1 || s.Chats > maxChats:
		return errors.Errorf("%d chats are out of bounds", s.Chats)
	case s.For <= 0 || s.For > maxFor:
		return errors.Errorf("a run of %s is out of bounds", s.For)
	default:
		return nil
	}
}

// Run runs the scenario.
func (s *Scenario) Run(ctx context.Context) (*Result, error) {
	world, err := newWorld(ctx, s)
	if err != nil {
		return nil, err
	}
	defer world.stop()
	started := time.Now()
	progress := func(text string) {
		if s.Progress != nil {
			s.Progress(time.Since(started), text)
		}
	}
	progress("platform at " + world.platformURL)
	callers, cancel := context.WithTimeout(ctx, s.For)
	defer cancel()
	var parts sync.WaitGroup
	parts.Go(func() { s.incidents(callers, world, progress) })
	parts.Go(func() { world.measure(callers) })
	results := make([]tally, s.Chats)
	for i := range s.Chats {
		parts.Go(func() {
			random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
			results[i] = newCaller(world, random, i).run(callers)
		})
	}
	parts.Wait()
	progress("callers are done")
	return world.result(results, time.Since(started)), ctx.Err()
}

// incidents brings about what the scenario is for.
func (s *Scenario) incidents(ctx context.Context, w *world, progress func(string)) {
	for _, incident := range []struct {
		at   float64
		text string
		do   func()
	}{
		{
			at:   loseAt,
			text: "engine " + w.engines[0].id + " is lost",
			do:   w.engines[0].lose,
		},
		{
			at:   leaveAt,
			text: "engine " + w.engines[1].id + " leaves",
			do:   func() { w.leave(w.engines[1]) },
		},
		{
			at:   drainAt,
			text: "router " + w.routers[0].Settings.ID + " is drained",
			do:   w.stopRouter[0],
		},
	} {
		wait := time.Until(w.started.Add(time.Duration(incident.at * float64(s.For))))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		progress(incident.text)
		incident.do()
	}
}
