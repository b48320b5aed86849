package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	seedFlag     = flag.Uint64("soak-seed", 0, "run only this seed; 0 runs the short tests of CI")
	durationFlag = flag.Duration("soak-for", 20*time.Second, "how long faults are injected in a run with -soak-seed")
)

// regressionSeeds are seeds whose runs once found a violation, with its cause. CI runs them all.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	// The notice said that the server was leaving. TestEarlierIncarnationInBackupGetsNothing in
	// package directory tests the same case.
	{361, "after a restore, gateways listed an earlier incarnation, to which the notice of the later one did not apply"},
	{4049, "after a restore, the pause that a server asked for counted as that of the earlier incarnation in the list"},
}

const (
	callerCount = 24
	// shortRunDuration is how long faults are injected in each run of CI.
	shortRunDuration = 8 * time.Second
	// recoveryTime is the time from the end of the faults to the check of recovery.
	// minRecoveredShare is the share of the requests of that check that must be served.
	recoveryTime      = 5 * time.Second
	minRecoveredShare = 0.9
	// minServedPerRoute is the number of served requests per route below which a run tests too
	// little and fails.
	minServedPerRoute = 50
)

func TestSoak(t *testing.T) {
	if *seedFlag != 0 {
		runSoak(t, *seedFlag, *durationFlag)
		return
	}
	t.Run("seed 1", func(t *testing.T) { runSoak(t, 1, shortRunDuration) })
	for _, regression := range regressionSeeds {
		t.Run(fmt.Sprintf("seed %d", regression.seed), func(t *testing.T) { runSoak(t, regression.seed, shortRunDuration) })
	}
}

// runSoak runs the fleet with faults chosen from the seed, for the given duration, and checks what
// callers and backend servers observed.
func runSoak(t *testing.T, seed uint64, duration time.Duration) {
	f := newFleet(t)
	done := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { f.pollGateways(done) })
	for started := time.Now(); ; time.Sleep(pollInterval) {
		if f.randomReadyGateway(rand.New(rand.NewPCG(seed, 0))) != nil {
			break
		}
		if time.Since(started) > startTimeout {
			close(done)
			tasks.Wait()
			// The output is complete once the process has exited.
			f.gateways[0].kill()
			t.Fatalf("no gateway is ready after %v; output of the first: %s", startTimeout, f.gateways[0].output)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	for i := range callerCount {
		tasks.Go(func() { newCaller(f, fmt.Sprintf("c%d", i), seed+uint64(i)).run(ctx) })
	}
	tasks.Go(func() { f.press(rand.New(rand.NewPCG(seed, 3)), duration) })
	tasks.Go(func() { f.makeBrittle(rand.New(rand.NewPCG(seed, 4)), duration) })
	f.injectFaults(rand.New(rand.NewPCG(seed, 1)), duration)
	time.Sleep(recoveryTime)
	stop()
	f.checkRecovered(seed)
	close(done)
	tasks.Wait()
	f.checkDrained()
	f.recorder.checkRefusals()
	crashes, late := f.recorder.checkQuarantine()
	t.Logf("seed %d: %d backend servers crashed running the crash request, which later reached others %d times",
		seed, crashes, late)
	t.Logf("seed %d: responses without a length broke off %d times inside an event and %d times by a reset",
		seed, f.recorder.brokenInEvents.Load(), f.recorder.brokenByReset.Load())
	t.Logf("seed %d: %d streams taken up, %d of them went on", seed, f.recorder.takenUp.Load(), f.recorder.wentOn.Load())
	served, statuses := f.recorder.totals()
	t.Logf("seed %d: served %v, by status %v, %d refused as overloaded",
		seed, served, statuses, f.recorder.overloadedCount())
	for _, route := range routes {
		if served[route] < minServedPerRoute {
			t.Errorf("got %d served %s requests, too few for a meaningful run", served[route], route)
		}
	}
	for _, v := range f.recorder.violationsSoFar() {
		t.Errorf("seed %d: %s", seed, v)
	}
	if t.Failed() {
		for _, g := range f.gateways {
			g.kill()
			t.Logf("output of %s: %s", g.name, g.output)
		}
	}
}

// checkRecovered sends requests after the faults have ended and checks that enough are served.
func (f *fleet) checkRecovered(seed uint64) {
	const requestCount = 80
	c := newCaller(f, "end", seed)
	served := 0
	for i := range requestCount {
		if g := f.randomReadyGateway(c.random); g != nil && c.call(g, routes[i%len(routes)]) {
			served++
		}
	}
	if served < int(minRecoveredShare*requestCount) {
		f.recorder.addViolation("only %d of %d requests were served after the faults had ended", served, requestCount)
	}
}

// fault is a kind of fault. inject injects such a fault and returns when it is over. Some kinds do
// not use the duration.
type fault struct {
	name   string
	inject func(f *fleet, random *rand.Rand, duration time.Duration)
}

// faults are the kinds of faults to choose from. Those listed twice are chosen twice as often.
var faults = []fault{
	{"kill a gateway", killGateway},
	{"pause a gateway", pauseGateway},
	{"terminate a gateway", terminateGateway},
	{"terminate a gateway", terminateGateway},
	{"send SIGHUP to a gateway", sendSIGHUP},
	{"kill all gateways", killAllGateways},
	{"degrade the store", degradeStore},
	{"restore the store from a backup", restoreStore},
	{"restore the store from a backup", restoreStore},
	{"degrade the connections to a backend server", degradeConnections},
	{"degrade the connections to a backend server", degradeConnections},
	{"fail requests at a backend server", failRequests},
	{"fail requests at a backend server", failRequests},
	{"crash a backend server", crashBackend},
	{"drain a backend server", drainBackend},
	{"drain a backend server", drainBackend},
	{"announce leaving in responses before the store lists it", announceLeaving},
	{"shed load and ask for a pause", shedLoad},
	{"shed load and ask for a pause", shedLoad},
	{"write new configuration versions", writeVersions},
	{"send requests that crash servers", sendCrashRequests},
	{"write invalid entries", writeInvalidEntries},
}

// injectFaults starts random faults, which may overlap, for the given duration and waits until
// all are over. It then makes the store serve and all gateways run again.
func (f *fleet) injectFaults(random *rand.Rand, duration time.Duration) {
	var running sync.WaitGroup
	began := time.Now()
	for time.Since(began) < duration {
		time.Sleep(time.Duration(50+random.IntN(400)) * time.Millisecond)
		chosen := faults[random.IntN(len(faults))]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 2))
		faultTime := time.Duration(300+random.IntN(2500)) * time.Millisecond
		f.t.Logf("%6.2f s: %s for %v", time.Since(began).Seconds(), chosen.name, faultTime)
		running.Go(func() { chosen.inject(f, faultRandom, faultTime) })
	}
	running.Wait()
	f.store.setMode(storeServes)
	for _, g := range f.gateways {
		g.signal(syscall.SIGCONT, false)
		g.start(f.t)
	}
}

func (f *fleet) randomGateway(random *rand.Rand) *gateway {
	return f.gateways[random.IntN(len(f.gateways))]
}

func killGateway(f *fleet, random *rand.Rand, duration time.Duration) {
	g := f.randomGateway(random)
	g.kill()
	time.Sleep(duration / 2)
	g.start(f.t)
}

// pauseGateway suspends the process of a gateway with SIGSTOP.
func pauseGateway(f *fleet, random *rand.Rand, duration time.Duration) {
	g := f.randomGateway(random)
	g.signal(syscall.SIGSTOP, true)
	time.Sleep(duration)
	g.signal(syscall.SIGCONT, false)
}

// terminateGateway sends SIGTERM to a gateway and starts it again once it has exited.
func terminateGateway(f *fleet, random *rand.Rand, _ time.Duration) {
	g := f.randomGateway(random)
	g.terminate(f.recorder)
	g.start(f.t)
}

func sendSIGHUP(f *fleet, random *rand.Rand, _ time.Duration) {
	f.randomGateway(random).signal(syscall.SIGHUP, false)
}

func killAllGateways(f *fleet, _ *rand.Rand, duration time.Duration) {
	for _, g := range f.gateways {
		g.kill()
	}
	f.recorder.resetCrashes()
	time.Sleep(duration / 4)
	for _, g := range f.gateways {
		g.start(f.t)
	}
}

func degradeStore(f *fleet, random *rand.Rand, duration time.Duration) {
	modes := []storeMode{storeRefuses, storeUnresponsive, storeSlow, storeHistoryLost}
	f.store.setMode(modes[random.IntN(len(modes))])
	time.Sleep(duration)
	f.store.setMode(storeServes)
}

func degradeConnections(f *fleet, random *rand.Rand, duration time.Duration) {
	modes := []proxyMode{proxyDelays, proxyStalls, proxyStallsResponses, proxyResets}
	b := f.randomBackend(random)
	b.proxy.setMode(modes[random.IntN(len(modes))])
	time.Sleep(duration)
	b.proxy.setMode(proxyForwards)
}

func failRequests(f *fleet, random *rand.Rand, duration time.Duration) {
	b := f.randomBackend(random)
	b.failurePercent.Store(int32(20 + random.IntN(80)))
	time.Sleep(duration)
	b.failurePercent.Store(0)
}

// crashBackend shuts a backend server down without a leaving notice. Its entry is removed from the
// store after duration, as if it had expired, and another server replaces it.
func crashBackend(f *fleet, random *rand.Rand, duration time.Duration) {
	b := f.takeBackend(random)
	if b == nil {
		return
	}
	b.shutDown()
	time.Sleep(duration)
	b.removeEntry()
	f.addBackend(b.pool)
}

// drainBackend marks a backend server as draining in the store and adds another one. The server still
// serves for longer than gateways may send it requests, and then shuts down.
func drainBackend(f *fleet, random *rand.Rand, _ time.Duration) {
	b := f.takeBackend(random)
	if b == nil {
		return
	}
	f.addBackend(b.pool)
	b.writeDraining()
	time.Sleep(maxLeaveDelay + time.Second)
	b.removeEntry()
	b.shutDown()
}

// writeVersions writes one to four configuration versions in quick succession, as an operator might.
func writeVersions(f *fleet, random *rand.Rand, _ time.Duration) {
	for range 1 + random.IntN(4) {
		f.configure()
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}
