package membership

import "time"

// Policy holds the parameters of the failure detector and of the gossip.
type Policy struct {
	// ProbeInterval is the time between two probes by one router.
	ProbeInterval time.Duration
	// AckTimeout is how long to wait for an ack before other routers are asked to probe the target.
	AckTimeout time.Duration
	// IndirectProbes is how many routers are asked to probe the target.
	IndirectProbes int
	// SuspicionTimeout is how long a suspect has to refute before it counts as dead.
	SuspicionTimeout time.Duration
	// Fanout is how many random routers new updates are pushed to at once, besides travelling with
	// probes.
	Fanout int
	// UpdatesPerPacket bounds the updates in one packet.
	UpdatesPerPacket int
	// SyncAfter is how many probes and acks in a row must have a digest other than this router's
	// before a sync request is sent; MinSyncInterval is the minimum time between such requests.
	SyncAfter       int
	MinSyncInterval time.Duration
	// DeadRetention is how long dead routers are remembered and still contacted from time to time,
	// in case they were only partitioned. It must exceed the longest loss of contact between regions.
	DeadRetention time.Duration
	// FlapLimit is the penalty from which on a router may not own backend servers. A death adds 1
	// to the penalty, which halves every FlapHalfLife.
	FlapLimit    float64
	FlapHalfLife time.Duration
}

// DefaultPolicy returns the default parameters.
func DefaultPolicy() Policy {
	return Policy{
		ProbeInterval:    time.Second,
		AckTimeout:       300 * time.Millisecond,
		IndirectProbes:   3,
		SuspicionTimeout: 2 * time.Second,
		Fanout:           3,
		UpdatesPerPacket: 8,
		SyncAfter:        3,
		MinSyncInterval:  5 * time.Second,
		DeadRetention:    2 * time.Hour,
		FlapLimit:        2.5,
		FlapHalfLife:     time.Minute,
	}
}
