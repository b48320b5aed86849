package gatewayd

import (
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/routing"
)

// Bounds are the limits that the fleet guarantees, and two intervals that these limits depend on:
// that of the backend servers' heartbeats, and that of the readiness probes by the load balancer in
// front of the routers. Fields that are 0 take their defaults, except where 0 disables a feature.
type Bounds struct {
	// LoadFactor and LoadSlack bound an engine's load: LoadFactor times the mean
	// load of its pool, plus LoadSlack requests.
	LoadFactor float64
	LoadSlack  float64
	// ApplyTime is the time within which a configuration is in force at every router,
	// LeaveTime the time after which a backend server that leaves gets no new requests.
	ApplyTime, LeaveTime time.Duration
	// EvacuationTime is the time after which the backend servers of an evacuated data
	// centre get no new requests; 0 disables evacuations.
	EvacuationTime time.Duration
	// Exposure is the share of a pool's requests that a bad new version of its backend
	// servers may get during its rollout; 0 disables rollouts.
	Exposure float64
	// ColdFactor and ColdSlack bound the requests that a cold backend server, which can serve
	// only few for some time, such as after its start, gets in any second: ColdFactor times the rate
	// that its pool allows for one, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// Heartbeat is how often backend servers renew their entries.
	Heartbeat time.Duration
	// ReadyInterval is the interval at which the load balancer probes this router's readiness.
	ReadyInterval time.Duration
}

// defaultReadyInterval applies if the settings have no interval of readiness probes.
const defaultReadyInterval = time.Second

// orDefaults returns b with zero fields set to their defaults.
func (b Bounds) orDefaults() Bounds {
	if b.LoadFactor == 0 {
		b.LoadFactor = balance.DefaultLoadFactor
	}
	if b.LoadSlack == 0 {
		b.LoadSlack = balance.DefaultLoadSlack
	}
	if b.ApplyTime == 0 {
		b.ApplyTime = directory.DefaultPropagationTime
	}
	if b.LeaveTime == 0 {
		b.LeaveTime = directory.DefaultPropagationTime
	}
	if b.ColdFactor == 0 {
		b.ColdFactor = 1
	}
	if b.Heartbeat == 0 {
		b.Heartbeat = directory.DefaultHeartbeat
	}
	if b.ReadyInterval == 0 {
		b.ReadyInterval = defaultReadyInterval
	}
	return b
}

// timing returns the wait times of calls to the store and to other routers with which changes
// are known within the shorter of ApplyTime and LeaveTime.
func (b Bounds) timing() directory.Timing {
	return directory.TimingWithin(min(b.ApplyTime, b.LeaveTime))
}

// coldLimits returns the limits on cold backend servers by pool. If backend servers do not
// register themselves, a new one counts as cold for the time that its pool sets.
func (b *Bounds) coldLimits(table *routing.Table, selfRegistered bool) map[string]balance.ColdLimit {
	limits := make(map[string]balance.ColdLimit)
	for name, pool := range table.Pools {
		if pool.Cold == nil {
			continue
		}
		limit := balance.ColdLimit{
			MaxPerSecond: b.ColdFactor*pool.Cold.RequestsPerSecond + b.ColdSlack,
		}
		if !selfRegistered {
			limit.NewServerTime = pool.Cold.Duration
		}
		limits[name] = limit
	}
	return limits
}

// announceTime returns how long a stopping router still accepts requests: the load balancer
// sends new connections until two readiness probes in a row have failed.
func (b Bounds) announceTime() time.Duration {
	return time.Duration(announceProbes * float64(b.ReadyInterval))
}

// announceProbes is a number of probe intervals: two intervals, and 0.6 for the time that the
// second probe takes.
const announceProbes = 2.6
