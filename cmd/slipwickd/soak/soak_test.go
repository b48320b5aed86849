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

// regressionSeeds are seeds that once found a violation, with its cause.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{361, "a copy listed an earlier incarnation, to which the notice of the later one did not apply"},
}

const (
	callerCount = 24
	shortRun    = 8 * time.Second
	// recoveryTime is how long no faults are injected at the end of a run.
	// minRecoveredShare is the share of the requests after it that must be served.
	recoveryTime      = 5 * time.Second
	minRecoveredShare = 0.9
	// minServedPerRoute is the number of served requests per route below which a run proves too little.
	minServedPerRoute = 50
)

func TestSoak(t *testing.T) {
	if *seedFlag != 0 {
		runSoak(t, *seedFlag, *durationFlag)
		return
	}
	t.Run("seed 1", func(t *testing.T) { runSoak(t, 1, shortRun) })
	for _, failed := range regressionSeeds {
		t.Run(fmt.Sprintf("seed %d", failed.seed), func(t *testing.T) { runSoak(t, failed.seed, shortRun) })
	}
}

// runSoak runs the fleet with the faults of a seed and checks what callers and backend servers observed.
func runSoak(t *testing.T, seed uint64, duration time.Duration) {
	f := newFleet(t)
	done := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { f.pollGateways(done) })
	for started := time.Now(); ; time.Sleep(readyInterval) {
		if f.randomReadyGateway(rand.New(rand.NewPCG(seed, 0))) != nil {
			break
		}
		if time.Since(started) > startTimeout {
			t.Fatalf("no gateway is ready after %v; output of the first: %s", startTimeout, f.gateways[0].output)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	for i := range callerCount {
		tasks.Go(func() { newCaller(f, fmt.Sprintf("c%d", i), seed+uint64(i)).run(ctx) })
	}
	f.injectFaults(rand.New(rand.NewPCG(seed, 1)), duration)
	time.Sleep(recoveryTime)
	stop()
	f.checkRecovered(seed)
	close(done)
	tasks.Wait()
	f.recorder.checkRefusals()
	crashes, late := f.recorder.checkQuarantine()
	t.Logf("seed %d: %d backend servers crashed running the crash request, which later reached others %d times",
		seed, crashes, late)
	served, statuses := f.recorder.totals()
	t.Logf("seed %d: served %v, by status %v", seed, served, statuses)
	for _, route := range routes {
		if served[route] < minServedPerRoute {
			t.Errorf("got %d served %s requests, too few for a meaningful run", served[route], route)
		}
	}
	for _, v := range f.recorder.violations {
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

// fault is a kind of fault. inject returns when the fault is over.
type fault struct {
	name   string
	inject func(f *fleet, random *rand.Rand, duration time.Duration)
}

var faults = []fault{
	{"kill a gateway", killGateway},
	{"pause a gateway", pauseGateway},
	{"stop a gateway", stopGateway},
	{"stop a gateway", stopGateway},
	{"send SIGHUP to a gateway", sendHangUp},
	{"kill all gateways", killAllGateways},
	{"degrade the store", degradeStore},
	{"restore the store from a backup", restoreStore},
	{"restore the store from a backup", restoreStore},
	{"degrade the path to a backend server", degradePath},
	{"degrade the path to a backend server", degradePath},
	{"fail a backend server", failBackend},
	{"fail a backend server", failBackend},
	{"crash a backend server", crashBackend},
	{"drain a backend server", drainBackend},
	{"drain a backend server", drainBackend},
	{"announce leaving before the entry does", announceLeaving},
	{"shed load and ask for a pause", shedLoad},
	{"shed load and ask for a pause", shedLoad},
	{"write new configuration versions", writeVersions},
	{"send requests that crash servers", sendCrashRequests},
	{"write invalid entries", writeInvalidEntries},
}

// injectFaults starts faults for the given duration, several of them at once, and waits
// until all are over. It then brings the store and all gateways back.
func (f *fleet) injectFaults(random *rand.Rand, duration time.Duration) {
	var running sync.WaitGroup
	began := time.Now()
	for time.Since(began) < duration {
		time.Sleep(time.Duration(50+random.IntN(400)) * time.Millisecond)
		drawn := faults[random.IntN(len(faults))]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 2))
		faultTime := time.Duration(300+random.IntN(2500)) * time.Millisecond
		f.t.Logf("%6.2f s: %s for %v", time.Since(began).Seconds(), drawn.name, faultTime)
		running.Go(func() { drawn.inject(f, faultRandom, faultTime) })
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

func pauseGateway(f *fleet, random *rand.Rand, duration time.Duration) {
	g := f.randomGateway(random)
	g.signal(syscall.SIGSTOP, true)
	time.Sleep(duration)
	g.signal(syscall.SIGCONT, false)
}

func stopGateway(f *fleet, random *rand.Rand, _ time.Duration) {
	g := f.randomGateway(random)
	g.terminate(f.recorder)
	g.start(f.t)
}

func sendHangUp(f *fleet, random *rand.Rand, _ time.Duration) {
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

func degradePath(f *fleet, random *rand.Rand, duration time.Duration) {
	modes := []pathMode{pathDelays, pathStalls, pathStallsResponses, pathResets}
	b := f.randomBackend(random)
	b.proxy.setMode(modes[random.IntN(len(modes))])
	time.Sleep(duration)
	b.proxy.setMode(pathForwards)
}

func failBackend(f *fleet, random *rand.Rand, duration time.Duration) {
	b := f.randomBackend(random)
	b.failurePercent.Store(int32(20 + random.IntN(80)))
	time.Sleep(duration)
	b.failurePercent.Store(0)
}

// crashBackend crashes a backend server without notice. Its entry is removed later, as if it expired.
func crashBackend(f *fleet, random *rand.Rand, duration time.Duration) {
	b := f.takeBackend(random)
	if b == nil {
		return
	}
	b.crash()
	time.Sleep(duration)
	f.store.removeServer(b.id)
	f.addBackend(b.pool)
}

// drainBackend marks a backend server as draining in the store. It still serves for a while and then ends.
func drainBackend(f *fleet, random *rand.Rand, _ time.Duration) {
	b := f.takeBackend(random)
	if b == nil {
		return
	}
	f.addBackend(b.pool)
	f.store.put("servers", b.id, b.specification("draining"))
	b.leavingAt.Store(time.Now().UnixNano())
	time.Sleep(maxLeaveDelay + time.Second)
	f.store.removeServer(b.id)
	b.crash()
}

// writeVersions writes several configuration versions in quick succession, as an operator would.
func writeVersions(f *fleet, random *rand.Rand, _ time.Duration) {
	for range 1 + random.IntN(4) {
		f.configure()
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}
