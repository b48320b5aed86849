package demofleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of a scenario.
const (
	minRouters, maxRouters = 2, 50
	minEngines, maxEngines = 3, 200
	maxChats               = 5000
	maxDuration            = time.Hour
)

// Times of the incidents, as fractions of the run.
const (
	crashAt = 0.35
	leaveAt = 0.5
	drainAt = 0.65
)

// burstInterval is the time between bursts. In each burst all chats send a request
// within one second.
const burstInterval = 3 * time.Second

// Scenario holds the parameters of a run.
type Scenario struct {
	// Duration is how long the callers send requests.
	Duration time.Duration
	Seed     uint64
	Routers  int
	Engines  int
	Chats    int
	// Progress, if set, is called with a line of text for each incident and the
	// time since the start.
	Progress func(at time.Duration, text string)
}

// Check returns an error if a parameter is out of range.
func (s *Scenario) Check() error {
	switch {
	case s.Routers < minRouters || s.Routers > maxRouters:
		return errors.Errorf("number of routers out of range: %d", s.Routers)
	case s.Engines < minEngines || s.Engines > maxEngines:
		return errors.Errorf("number of engines out of range: %d", s.Engines)
	case s.Chats < 1 || s.Chats > maxChats:
		return errors.Errorf("number of chats out of range: %d", s.Chats)
	case s.Duration <= 0 || s.Duration > maxDuration:
		return errors.Errorf("duration out of range: %s", s.Duration)
	default:
		return nil
	}
}

// Run starts the world, runs the scenario and stops everything. It blocks until
// the callers are done, and returns an error if ctx ends before.
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
	callersCtx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	var goroutines sync.WaitGroup
	goroutines.Go(func() { s.triggerIncidents(callersCtx, world, progress) })
	goroutines.Go(func() { world.sampleSkew(callersCtx) })
	stats := make([]callerStats, s.Chats)
	for i := range s.Chats {
		goroutines.Go(func() {
			random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
			stats[i] = newCaller(world, random, i).run(callersCtx)
		})
	}
	goroutines.Wait()
	progress("callers are done")
	return world.result(stats, time.Since(started)), ctx.Err()
}

// triggerIncidents crashes an engine, starts the planned stop of another and drains a
// router, at the times of the incidents. It returns early if ctx ends.
func (s *Scenario) triggerIncidents(ctx context.Context, w *world, progress func(string)) {
	for _, incident := range []struct {
		at      float64
		text    string
		trigger func()
	}{
		{
			at:      crashAt,
			text:    "engine " + w.engines[0].id + " crashed",
			trigger: w.engines[0].crash,
		},
		{
			at:      leaveAt,
			text:    "engine " + w.engines[1].id + " is leaving",
			trigger: func() { w.startLeaving(w.engines[1]) },
		},
		{
			at:      drainAt,
			text:    "router " + w.routers[0].Settings.ID + " is draining",
			trigger: w.stopRouter[0],
		},
	} {
		wait := time.Until(w.started.Add(time.Duration(incident.at * float64(s.Duration))))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		progress(incident.text)
		incident.trigger()
	}
}
