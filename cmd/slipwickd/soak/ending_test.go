package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// endingBody is the body of the request that ends each backend server which runs it.
	endingBody = "ends servers"
	// endingKnown is how long after the third end gateways have to know it, and
	// endingMore what may be on its way then. Both hold while all of them live.
	endingKnown = 2 * time.Second
	endingMore  = 3
	// endingPause lies between two tries of its caller, whose patience is endingTime
	// more than faults last.
	endingPause = 60 * time.Millisecond
	endingTime  = 6 * time.Second
	// endingConnections is how many tries there may be at a time.
	endingConnections = 4
)

// endings are the ends of backend servers under the request that ends them. The ledger's
// lock guards it.
type endings struct {
	ends  []time.Time
	tries []time.Time
}

// endedUnder notes that a backend server ended under the request.
func (l *ledger) endedUnder(*backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endings.ends = append(l.endings.ends, time.Now())
}

// forgetEndings begins to count anew: no gateway is left that remembers any.
func (l *ledger) forgetEndings() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endings = endings{}
}

// triedLocked notes that a backend server got the request, through a gateway that was calm.
func (l *ledger) triedLocked() {
	l.endings.tries = append(l.endings.tries, time.Now())
}

// checkEndings tells whether the request went on to reach backend servers, and gives how
// many ended and how often it reached others later.
func (l *ledger) checkEndings() (ends, late int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends = len(l.endings.ends)
	for _, at := range l.endings.tries {
		if ends >= 3 && at.Sub(l.endings.ends[2]) > endingKnown {
			late++
		}
	}
	if late > endingMore {
		l.violations = append(l.violations, fmt.Sprintf(
			"the request under which three servers had ended reached servers %d times more; %d ended", late, ends))
	}
	return ends, late
}

// endServers has a caller ask for the same again and again, over several connections
// and at any gateway.
func endServers(f *fleet, random *rand.Rand, length time.Duration) {
	var parts sync.WaitGroup
	for range endingConnections {
		c := newCaller(f, fmt.Sprintf("ends-%d", random.Uint32()), random.Uint64())
		parts.Go(func() {
			for began := time.Now(); time.Since(began) < length+endingTime; time.Sleep(endingPause) {
				if g := f.choose(c.random); g != nil {
					c.ask(g, routeResumable, endingBody)
				}
			}
			c.client.CloseIdleConnections()
		})
	}
	parts.Wait()
}

// writeForeign leaves entries of another writer among those of backend servers, for a
// while also in place of one that serves.
func writeForeign(f *fleet, random *rand.Rand, length time.Duration) {
	foreign := []any{nil, 5, "text", map[string]any{"service": poolEngines}, map[string]any{
		"service": poolPlain, "address": "10.0.0.1", "zone": 7, "slots": -1, "state": "asleep",
	}}
	name := fmt.Sprintf("foreign-%d", random.Uint32())
	f.store.put("servers", name, foreign[random.IntN(len(foreign))])
	b := f.some(random)
	f.store.put("servers", b.id, foreign[random.IntN(len(foreign))])
	time.Sleep(length)
	if b.leftAt.Load() == 0 && f.isListed(b) {
		f.store.put("servers", b.id, b.specification("ready"))
	}
	f.store.removeServer(name)
}
