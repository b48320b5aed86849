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

// testLimit is that of a pool whose engines bear 13 requests a second while they are
// cold, with half more and 5 allowed.
var testLimit = ColdLimit{
	MaxPerSecond: 1.5*13 + 5,
}

// coldFleet is routers before a pool of cold engines.
type coldFleet struct {
	routers []*Balancer
	ids     []string
	// started counts the routers that were started later.
	started int
	// arrivals are when requests reached each engine.
	arrivals map[string][]time.Time
	// frozenUntil is until when a router stands still: what it was about to send
	// arrives then.
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

// start makes a router that has just learnt of the engines.
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

// know tells some of the routers which live.
func (f *coldFleet) setRouters(live []string, from, to int) {
	for i := from; i < to; i++ {
		f.routers[i].SetRouters(f.ids[i], live)
	}
}

// request has one router try to send as much as it may.
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

// most gives the most that any engine got in any second, and the sum of all.
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

// TestColdEnginesStayBelowTheLimit has all engines cold and all routers send as
// much as they may, while the fleet splits into halves, routers start that know all
// or a few, some are killed, and some are frozen: one disturbance after the other. The
// sum over all routers, those cut off among them, stays below the limit in any second.
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

// disturb does one thing to the fleet.
func (f *coldFleet) disturb(random *rand.Rand, kind string) {
	size := len(f.routers)
	half := size / 2
	switch kind {
	case "split":
		f.setRouters(f.ids[:half], 0, half)
		f.setRouters(f.ids[half:], half, size)
	case "start":
		// It knows a part of the fleet, and the others do not know it yet. Its ID is
		// nobody's else, also after others were killed.
		f.started++
		f.ids = append(f.ids, fmt.Sprint("new", f.started))
		f.routers = append(f.routers, f.newRouter(3, time.Hour))
		f.setRouters(f.ids[:random.IntN(size)+1], size, size+1)
	case "kill":
		// The first half is gone, and the rest learns it one by one.
		f.routers, f.ids = f.routers[half:], f.ids[half:]
		for i := range f.routers {
			f.setRouters(f.ids, i, i+1)
			f.run(random, 10*time.Millisecond)
		}
	case "freeze":
		for range size/4 + 1 {
			f.frozenUntil[random.IntN(size)] = time.Now().Add(3 * time.Second)
		}
		// What they had chosen reaches the engines as they wake.
		f.run(random, 10*time.Millisecond)
	}
}

// run has the routers ask all the time: each several times more often than at the
// usual rate of a request for each engine in 150 ms.
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

// TestColdPoolIsUsed has a pool that is cold as a whole, as after the loss of all its
// engines: the routers together use nearly the half of the limit that is theirs. An
// even split would leave each of 65 or 330 routers less than one request a second.
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

// TestColdEnginesTakeOverflow has one engine in eight cold: it gets nothing while the
// others have room, and its part while they are pressed.
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
				t.Fatalf("request %d: got the cold engine while the others had room", key)
			}
		}
		for key := range uint64(30) {
			acquire(t, b, prompt(100+key))
		}
		if got := float64(cold.inFlight); got == 0 || got > maxColdLoadShare*12+1 {
			t.Errorf("got %v requests at the cold engine when the others are pressed, want 1 to %v", got, maxColdLoadShare*12+1)
		}
		time.Sleep(2 * time.Second)
		if b.isColdLocked(cold, time.Now()) {
			t.Error("got an engine that stays cold, want one that is warm after its time")
		}
	})
}

// TestBurstAfterEvacuationStaysBelowTheColdLimit has a burst of four times the usual come as an
// evacuation ends, whose engines told before that they are cold: 19 routers before 28
// engines. At 65 routers before 112 one then got 25 and 26 requests in a second, of 24.5
// allowed, when none was counted as cold.
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

// TestColdServersDoNotCountInResponseTimes has a cold engine answer late: others are not given
// more time for it.
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
		if got := b.paceLocked("p").slowness.Len(); got != 0 {
			t.Errorf("got %d times learnt from a cold engine, want none", got)
		}
	})
}

// BenchmarkSetRouters tells of one router that died, at the size designed for.
func BenchmarkSetRouters(b *testing.B) {
	var ids []string
	for i := range 330 {
		ids = append(ids, fmt.Sprint("r", i))
	}
	balancer := New("d")
	balancer.SetBackends(entriesIn(930, "d", "e", "f", "g"))
	balancer.SetRouters("r0", ids)
	for i := 0; b.Loop(); i++ {
		balancer.SetRouters("r0", ids[:len(ids)-i%2])
	}
}

// TestNewServerCountsAsColdByDefault has a server added to the list long
// after the router's start.
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
			t.Error("got the wrong servers cold, want the added one alone")
		}
		time.Sleep(limit.NewServerTime)
		if b.isColdLocked(added, time.Now()) {
			t.Error("got a server cold after its time")
		}
	})
}
