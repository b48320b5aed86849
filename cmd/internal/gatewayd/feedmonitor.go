package gatewayd

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// feedMonitor logs when calls of a feed fail and when they succeed again. It must be used
// by a single goroutine.
type feedMonitor struct {
	process *Process
	feed    string
	// failingSince is when calls began to fail; zero while they succeed.
	failingSince time.Time
	// age and hops are those of the latest response.
	age  time.Duration
	hops int
}

func (p *Process) newFeedMonitor(feed string) *feedMonitor {
	return &feedMonitor{
		process: p,
		feed:    feed,
	}
}

func (m *feedMonitor) failed(err error) {
	if m.failingSince.IsZero() {
		m.failingSince = clock.Now()
	}
	events.PlatformCallFailed.On(&m.process.Log).Str("feed", m.feed).AnErr("cause", err).Send()
}

// storeRestored logs and counts that the store was restored from a backup.
func (m *feedMonitor) storeRestored(known slipwick.Position, batch *slipwick.FeedBatch) {
	events.StoreRestored.On(&m.process.Log).Str("feed", m.feed).
		Uint64("from_timeline", known.Timeline).Uint64("from_revision", known.Revision).
		Uint64("timeline", batch.Timeline).Uint64("revision", batch.Revision).
		Dur("steady_ms", batch.StableFor).Int("hops", batch.Hops).Send()
	m.process.storeRestores.Add(1)
}

// succeeded records the store's timeline, and logs the end of a series of failed calls.
func (m *feedMonitor) succeeded(batch *slipwick.FeedBatch) {
	m.process.timeline.Store(batch.Timeline)
	m.age, m.hops = batch.Age, batch.Hops
	if m.failingSince.IsZero() {
		return
	}
	events.FeedRecovered.On(&m.process.Log).Str("feed", m.feed).Dur("lost_ms", clock.Since(m.failingSince)).
		Uint64("timeline", batch.Timeline).Uint64("revision", batch.Revision).Int("hops", batch.Hops).Send()
	m.failingSince = time.Time{}
}
