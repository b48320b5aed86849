package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// workspaceKey is the API key of the workspace of most callers, pressingKey that of the workspace
	// that sends many times its share at times.
	workspaceKey = "a-long-key-of-the-soak"
	pressingKey  = "another-key-of-the-soak"
	// pressingCallers is the number of callers of that workspace. They alone have more requests in
	// flight than the servers of poolPlain accept.
	pressingCallers = 60
	// maxPressTime and maxPressPause bound the times in which they send requests and those between.
	maxPressTime  = 3 * time.Second
	maxPressPause = 2 * time.Second
)

// press has the callers of the pressing workspace send requests to poolPlain, with pauses, until the
// duration is over.
func (f *fleet) press(random *rand.Rand, duration time.Duration) {
	end := time.Now().Add(duration)
	for turn := 0; time.Now().Before(end); turn++ {
		time.Sleep(time.Duration(random.Int64N(int64(maxPressPause))))
		until := time.Now().Add(maxPressTime/3 + time.Duration(random.Int64N(int64(maxPressTime*2/3))))
		if until.After(end) {
			until = end
		}
		var tasks sync.WaitGroup
		for i := range pressingCallers {
			c := newCaller(f, fmt.Sprintf("press-%d-%d", turn, i), random.Uint64())
			c.key = pressingKey
			tasks.Go(func() { c.pressUntil(until) })
		}
		tasks.Wait()
	}
}

// pressUntil sends one request after the other to poolPlain, whether they are served or refused.
func (c *caller) pressUntil(end time.Time) {
	defer c.client.CloseIdleConnections()
	for time.Now().Before(end) {
		g := c.fleet.randomReadyGateway(c.random)
		if g == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if !c.call(g, []string{routeSingle, routeRepeatable}[c.random.IntN(2)]) {
			time.Sleep(20 * time.Millisecond)
		}
	}
}
