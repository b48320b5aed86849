package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
)

// testLimit is an example of a pool's limit: the engines can serve 13 requests a second while they
// are cold, and the limit allows half as many again, and 5 more.
var testLimit = ColdLimit{
	MaxPerSecond: 1.5*13 + 5,
}

// coldFleet has routers that share a pool of cold engines.
type coldFleet struct {
	routers []*Balancer
	ids     []string
	// started counts the routers that were started during the test.
	started int
	// arrivals has the times at which requests reached each engine.
	arrivals map[string][]time.Time
	// frozenUntil is when each frozen router resumes. The requests that it was about to send
	// reach the engines then.
	frozenUntil map[int]time.Time
}

func newColdFleet(routers, engines int, coldTime time.Duration) *coldFleet {
	f := &coldFleet{
		arrivals:    make(map[string][]time.Time),
		frozenUntil: make(map[int]time.Time),
	}
	for i := range routers {
		f.ids = append(f.ids, fmt.Sprint("r", i))
		f.routers = append(f.routers, f.newRouter(engines, coldTime))
	}
	f.setRouters(f.ids, 0, routers)
	return f
}

// newRouter returns a router that has just received the list of engines.
func (f *coldFleet) newRouter(engines int, coldTime time.Duration) *Balancer {
	b := New("d")
	b.SetColdLimits(map[string]ColdLimit{
		"p": testLimit,
	})
	list := entriesIn(engines, "d", "e", "f", "g")
	for i := range list {
		list[i].ColdUntil = time.Now().Add(coldTime)
	}
	b.SetBackends(list)
	return b
}

// setRouters sets the live routers at those with the indexes [from, to).
func (f *coldFleet) setRouters(live []string, from, to int) {
	for i := from; i < to; i++ {
		f.routers[i].SetRouters(f.ids[i], live)
	}
}

// send sends a request through a router, unless the limit does not let it.
func (f *coldFleet) send(router int, key uint64) {
	lease, err := f.routers[router].Acquire(prompt(key))
	if err != nil {
		return
	}
	at := time.Now()
	if f.frozenUntil[router].After(at) {
		at = f.frozenUntil[router]
	}
	f.arrivals[lease.Backend.ID] = append(f.arrivals[lease.Backend.ID], at)
	f.routers[router].RecordResponseStart(lease)
	f.routers[router].Release(lease, slipwick.EvidenceGood)
}

// maxPerSecond returns the most requests that any engine got in any second, and the sum of all
// requests.
func (f *coldFleet) maxPerSecond() (most, sum int) {
	for _, arrivals := range f.arrivals {
		sum += len(arrivals)
		for _, from := range arrivals {
			n := 0
			for _, at := range arrivals {
				if d := at.Sub(from); d >= 0 && d < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most, sum
}

// TestColdEnginesStayBelowTheLimit has all routers send as much as they may to cold engines, with
// one disturbance after the other: the fleet is partitioned into halves, routers start that know
// all or a few of the others, half of them are killed, or some are frozen. The sum over all
// routers, in both partitions, must stay below the limit in any second.
func TestColdEnginesStayBelowTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{3, 8, 24, 65}).Draw(rt, "routers")
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"split", "start", "kill", "freeze", "none"}), 1, 3).
			Draw(rt, "disturbances")
		seed := rapid.Uint64().Draw(rt, "seed")
		most := 0
		synctest.Test(t, func(*testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newColdFleet(size, 3, time.Hour)
			f.run(random, 2*time.Second)
			for _, kind := range kinds {
				f.disturb(random, kind)
				f.run(random, 3*time.Second)
				f.setRouters(f.ids, 0, len(f.ids))
				f.run(random, time.Second)
			}
			most, _ = f.maxPerSecond()
		})
		if float64(most) > testLimit.MaxPerSecond {
			rt.Fatalf("%d routers, %v: got %d requests at a cold engine in a second, want at most %v",
				size, kinds, most, testLimit.MaxPerSecond)
		}
	})
}

// disturb causes one disturbance of the fleet.
func (f *coldFleet) disturb(random *rand.Rand, kind string) {
	size := len(f.routers)
	half := size / 2
	switch kind {
	case "split":
		f.setRouters(f.ids[:half], 0, half)
		f.setRouters(f.ids[half:], half, size)
	case "start":
		// The new router knows a part of the fleet, and the others do not know it yet. Its ID
		// is never reused, also after others were killed.
		f.started++
		f.ids = append(f.ids, fmt.Sprint("new", f.started))
		f.routers = append(f.routers, f.newRouter(3, time.Hour))
		f.setRouters(f.ids[:random.IntN(size)+1], size, size+1)
	case "kill":
		// The first half is killed, and the others learn of it one by one.
		f.routers, f.ids = f.routers[half:], f.ids[half:]
		for i := range f.routers {
			f.setRouters(f.ids, i, i+1)
			f.run(random, 10*time.Millisecond)
		}
	case "freeze":
		for range size/4 + 1 {
			f.frozenUntil[random.IntN(size)] = time.Now().Add(3 * time.Second)
		}
		// The requests for which they had chosen a server reach the engines as they resume.
		f.run(random, 10*time.Millisecond)
	}
}

// run has all routers send requests for a while, each of them about 50 a second to 3 engines. One
// router alone thus sends more than twice the usual rate of all routers together, which is one
// request per engine in 150 ms.
func (f *coldFleet) run(random *rand.Rand, during time.Duration) {
	const step = 10 * time.Millisecond
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(step) {
		for i := range f.routers {
			isRunning := !time.Now().Before(f.frozenUntil[i]) || time.Until(f.frozenUntil[i]) > 3*time.Second-step
			if isRunning && random.Float64() < 0.5 {
				f.send(i, uint64(random.IntN(50)))
			}
		}
	}
}

// TestColdPoolIsUsed has a pool in which all engines are cold, as after the loss of all. The
// routers together must use nearly the half of the limit that is meant for them. If the limit
// were split evenly, each of 65 or 330 routers could send less than one request a second.
func TestColdPoolIsUsed(t *testing.T) {
	for _, size := range []int{1, 8, 65, 330} {
		t.Run(fmt.Sprint(size, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const engines, during = 3, 5 * time.Second
				f := newColdFleet(size, engines, time.Hour)
				time.Sleep(coldWindow)
				f.run(rand.New(rand.NewPCG(1, 2)), during)
				most, sum := f.maxPerSecond()
				if float64(most) > testLimit.MaxPerSecond/2 {
					t.Errorf("got %d requests at an engine in a second, want at most half of the limit", most)
				}
				if got, want := float64(sum)/engines/during.Seconds(), 0.35*testLimit.MaxPerSecond; got < want {
					t.Errorf("got %.1f requests a second at each engine, want %.1f at least", got, want)
				}
			})
		})
	}
}

// TestColdEnginesTakeOverflow has one cold engine among eight. It must get nothing while the
// others are below busyShare, and its part of the requests above that.
func TestColdEnginesTakeOverflow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(1, 8, 0)
		b := f.routers[0]
		list := entriesIn(8, "d", "e", "f", "g")
		list[1].ColdUntil = time.Now().Add(3 * time.Second)
		b.SetBackends(list)
		time.Sleep(coldWindow)
		cold := b.servers[list[1].ID]
		for key := range uint64(20) {
			acquire(t, b, prompt(key))
			if cold.inFlight > 0 {
				t.Fatalf("request %d: got the cold engine while the others were not busy", key)
			}
		}
		for key := range uint64(30) {
			acquire(t, b, prompt(100+key))
		}
		if got := float64(cold.inFlight); got == 0 || got > maxColdLoadShare*12+1 {
			t.Errorf("got %v requests at the cold engine while the others are busy, want 1 to %v", got, maxColdLoadShare*12+1)
		}
		time.Sleep(2 * time.Second)
		if b.isColdLocked(cold, time.Now()) {
			t.Error("got an engine that is cold after ColdUntil, want it warm")
		}
	})
}

// TestBurstAfterEvacuationStaysBelowTheColdLimit sends a burst of four times the usual load through
// 19 routers to 28 engines as an evacuation ends. The evacuated engines are listed as cold before the
// end. When none of them counted as cold, with 65 routers and 112 engines, an engine got 25 and 26
// requests in a second, of 24.5 allowed.
func TestBurstAfterEvacuationStaysBelowTheColdLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, engines, perSecond = 19, 28, 4 * 200
		f := newColdFleet(routers, engines, 0)
		time.Sleep(2 * time.Second)
		list := entriesIn(engines, "d", "e", "f", "g")
		for i := range list {
			if list[i].DataCentre == "e" {
				list[i].ColdUntil = time.Now().Add(3 * time.Second)
			}
		}
		for _, b := range f.routers {
			b.SetEvacuated([]string{"e"})
			b.SetBackends(list)
			b.SetEvacuated(nil)
		}
		random := rand.New(rand.NewPCG(5, 6))
		for range 2 * perSecond {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
			f.send(random.IntN(routers), uint64(random.IntN(10)))
		}
		for _, entry := range list {
			if entry.DataCentre != "e" {
				delete(f.arrivals, entry.ID)
			}
		}
		if most, _ := f.maxPerSecond(); float64(most) > testLimit.MaxPerSecond {
			t.Errorf("got %d requests in a second at a cold engine, want at most %v", most, testLimit.MaxPerSecond)
		}
	})
}

// TestColdServersDoNotCountInResponseTimes has a cold engine respond late, which must not raise
// the timeouts of the other engines.
func TestColdServersDoNotCountInResponseTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(1, 1, time.Hour)
		b := f.routers[0]
		time.Sleep(coldWindow)
		lease := acquire(t, b, prompt(1))
		b.RecordSend(lease)
		time.Sleep(2 * time.Second)
		b.RecordResponseStart(lease)
		b.RecordResponseTime(lease)
		if got := b.timingsLocked("p").slowdown.Len(); got != 0 {
			t.Errorf("got %d response times recorded for a cold engine, want none", got)
		}
	})
}

// TestNewServerCountsAsColdByDefault lists a new server long after the router's start, in an
// entry that does not say whether it is cold.
func TestNewServerCountsAsColdByDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("d")
		limit := testLimit
		limit.NewServerTime = 3 * time.Second
		b.SetColdLimits(map[string]ColdLimit{
			"p": limit,
		})
		list := entriesIn(2, "d", "e")
		b.SetBackends(list[:1])
		time.Sleep(2 * RelistWindow)
		b.SetBackends(list)
		first, added := b.servers[list[0].ID], b.servers[list[1].ID]
		if b.isColdLocked(first, time.Now()) || !b.isColdLocked(added, time.Now()) {
			t.Error("got the wrong servers cold, want only the added one")
		}
		time.Sleep(limit.NewServerTime)
		if b.isColdLocked(added, time.Now()) {
			t.Error("got a server cold after NewServerTime, want it warm")
		}
	})
}
