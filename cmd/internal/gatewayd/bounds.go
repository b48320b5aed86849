package gatewayd

import (
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/routing"
)

// Bounds are what the fleet promises, and how often others do what it has to
// wait for. Zero fields take the defaults.
type Bounds struct {
	// LoadFactor and LoadSlack bound an engine's load: the factor times the
	// mean of its pool, and the slack.
	LoadFactor float64
	LoadSlack  float64
	// Apply is the time in which a configuration is in force at every router,
	// Leave the time after which a backend server that leaves gets nothing new.
	Apply, Leave time.Duration
	// Evacuate is the time after which the backend servers of an evacuated data
	// centre get nothing new; 0 where none is ever evacuated.
	Evacuate time.Duration
	// Exposure is the share of a pool's requests that a new version of its backend servers
	// may get during its rollout if it is bad; 0 where there are no rollouts.
	Exposure float64
	// ColdFactor and ColdSlack bound what a cold backend server gets in any second:
	// the factor times what its pool's bear, and the slack.
	ColdFactor float64
	ColdSlack  float64
	// Heartbeat is how often backend servers renew their entries.
	Heartbeat time.Duration
	// ReadyEvery is how often the balancer asks whether this router is ready.
	ReadyEvery time.Duration
}

// defaultReadyEvery is taken where no settings name a rhythm.
const defaultReadyEvery = time.Second

// orDefaults fills zero fields.
func (b Bounds) orDefaults() Bounds {
	if b.LoadFactor == 0 {
		b.LoadFactor = balance.DefaultLoadFactor
	}
	if b.LoadSlack == 0 {
		b.LoadSlack = balance.DefaultLoadSlack
	}
	if b.Apply == 0 {
		b.Apply = directory.DefaultWithin
	}
	if b.Leave == 0 {
		b.Leave = directory.DefaultWithin
	}
	if b.ColdFactor == 0 {
		b.ColdFactor = 1
	}
	if b.Heartbeat == 0 {
		b.Heartbeat = directory.DefaultHeartbeat
	}
	if b.ReadyEvery == 0 {
		b.ReadyEvery = defaultReadyEvery
	}
	return b
}

// rhythm is how long to wait for the store and other routers.
func (b Bounds) rhythm() directory.Timing {
	return directory.TimingWithin(min(b.Apply, b.Leave))
}

// coldLimits gives the limits of the table's pools. Where backend servers do not enter
// themselves, a new one counts as cold for its pool's time.
func (b *Bounds) coldLimits(table *routing.Table, entersItself bool) map[string]balance.ColdLimit {
	limits := make(map[string]balance.ColdLimit)
	for name, pool := range table.Pools {
		if pool.Cold == nil {
			continue
		}
		limit := balance.ColdLimit{
			MaxPerSecond: b.ColdFactor*pool.Cold.RequestsPerSecond + b.ColdSlack,
		}
		if !entersItself {
			limit.NewServerTime = pool.Cold.Duration
		}
		limits[name] = limit
	}
	return limits
}

// announceTime is how long a stopping router still takes requests: the balancer
// sends new connections until it has asked twice in vain.
func (b Bounds) announceTime() time.Duration {
	return time.Duration(announceQuestions * float64(b.ReadyEvery))
}

// announceQuestions is twice the pause between two questions, and what the
// second takes.
const announceQuestions = 2.6
