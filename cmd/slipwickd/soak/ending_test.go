package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// endingBody is the body of the request that ends each backend server which runs it.
	crashBody = "ends servers"
	// endingKnown is how long after the third end gateways have to know it, and
	// endingMore what may be on its way then. Both hold while all of them live.
	maxQuarantineDelay = 2 * time.Second
	maxLateAttempts    = 3
	// endingPause lies between two tries of its caller, whose patience is endingTime
	// more than faults last.
	crashRequestInterval  = 60 * time.Millisecond
	crashRequestExtraTime = 6 * time.Second
	// endingConnections is how many tries there may be at a time.
	crashCallerCount = 4
)

// endings are the ends of backend servers under the request that ends them. The ledger's
// lock guards it.
type crashLog struct {
	crashes  []time.Time
	attempts []time.Time
}

// endedUnder notes that a backend server ended under the request.
func (r *recorder) recordCrash(*backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashLog.crashes = append(r.crashLog.crashes, time.Now())
}

// forgetEndings begins to count anew: no gateway is left that remembers any.
func (r *recorder) resetCrashes() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashLog = crashLog{}
}

// triedLocked notes that a backend server got the request, through a gateway that was calm.
func (r *recorder) recordAttemptLocked() {
	r.crashLog.attempts = append(r.crashLog.attempts, time.Now())
}

// checkEndings tells whether the request went on to reach backend servers, and gives how
// many ended and how often it reached others later.
func (r *recorder) checkQuarantine() (crashes, late int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	crashes = len(r.crashLog.crashes)
	for _, at := range r.crashLog.attempts {
		if crashes >= 3 && at.Sub(r.crashLog.crashes[2]) > maxQuarantineDelay {
			late++
		}
	}
	if late > maxLateAttempts {
		r.violations = append(r.violations, fmt.Sprintf(
			"the request under which three servers had ended reached servers %d times more; %d ended", late, crashes))
	}
	return crashes, late
}

// endServers has a caller ask for the same again and again, over several connections
// and at any gateway.
func sendCrashRequests(f *fleet, random *rand.Rand, duration time.Duration) {
	var tasks sync.WaitGroup
	for range crashCallerCount {
		c := newCaller(f, fmt.Sprintf("ends-%d", random.Uint32()), random.Uint64())
		tasks.Go(func() {
			for began := time.Now(); time.Since(began) < duration+crashRequestExtraTime; time.Sleep(crashRequestInterval) {
				if g := f.randomReadyGateway(c.random); g != nil {
					c.send(g, routeResumable, crashBody)
				}
			}
			c.client.CloseIdleConnections()
		})
	}
	tasks.Wait()
}

// writeForeign leaves entries of another writer among those of backend servers, for a
// while also in place of one that serves.
func writeInvalidEntries(f *fleet, random *rand.Rand, duration time.Duration) {
	invalid := []any{nil, 5, "text", map[string]any{"service": poolEngines}, map[string]any{
		"service": poolPlain, "address": "10.0.0.1", "zone": 7, "slots": -1, "state": "asleep",
	}}
	name := fmt.Sprintf("foreign-%d", random.Uint32())
	f.store.put("servers", name, invalid[random.IntN(len(invalid))])
	b := f.randomBackend(random)
	f.store.put("servers", b.id, invalid[random.IntN(len(invalid))])
	time.Sleep(duration)
	if b.leavingAt.Load() == 0 && f.isListed(b) {
		f.store.put("servers", b.id, b.specification("ready"))
	}
	f.store.removeServer(name)
}
