package membership

import "time"

// Policy holds the figures of probing.
type Policy struct {
	// Period is the time between two probes by one router.
	Period time.Duration
	// AckTimeout is the wait for an ack before others are asked to probe.
	AckTimeout time.Duration
	// Helpers is how many others are asked.
	Helpers int
	// Suspicion is how long a suspect has to answer before it counts as dead.
	Suspicion time.Duration
	// Fanout is how many routers are told news at once.
	Fanout int
	// NewsPerPacket bounds the news in one packet.
	NewsPerPacket int
	// SyncAfter is how many packets in a row have to show a differing digest
	// before everything is asked for, and SyncEvery the least time between.
	SyncAfter int
	SyncEvery time.Duration
	// Forget is how long the dead are remembered, and probed now and then in
	// case they were only cut off: longer than regions lose each other.
	Forget time.Duration
	// FlapLimit is the penalty, one for each death and halved every
	// FlapHalfLife, from which on a router may own nothing.
	FlapLimit    float64
	FlapHalfLife time.Duration
}

// DefaultPolicy gives the figures in use.
func DefaultPolicy() Policy {
	return Policy{
		Period:        time.Second,
		AckTimeout:    300 * time.Millisecond,
		Helpers:       3,
		Suspicion:     2 * time.Second,
		Fanout:        3,
		NewsPerPacket: 8,
		SyncAfter:     3,
		SyncEvery:     5 * time.Second,
		Forget:        2 * time.Hour,
		FlapLimit:     2.5,
		FlapHalfLife:  time.Minute,
	}
}
