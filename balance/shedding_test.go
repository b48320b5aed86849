package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// sheddingFleet is a fleet in which some engines shed all requests and ask for a pause.
type sheddingFleet struct {
	*testFleet
	shedding []string
	// pause is the pause that they ask for, 0 for none.
	pause time.Duration
	// maxAttempts is how often a request is sent at most.
	maxAttempts int
	// requests counts the requests, rejected the attempts that were shed, and unserved the
	// requests of which every attempt was shed.
	requests, rejected, unserved int
}

const (
	pauseTime    = 3 * time.Second
	sheddingTime = 9 * time.Second
)

// sendWithRetries sends a request through a random router. evidence is what the router records
// when an engine sheds it.
func (f *sheddingFleet) sendWithRetries(t *testing.T, random *rand.Rand, evidence slipwick.Evidence) {
	t.Helper()
	b := f.routers[random.IntN(len(f.routers))]
	request := prompt(uint64(random.IntN(95)))
	f.requests++
	for range f.maxAttempts {
		lease := acquire(t, b, request)
		if !slices.Contains(f.shedding, lease.Backend.ID) {
			b.RecordResponseStart(lease)
			time.AfterFunc(time.Duration(300+random.IntN(800))*time.Millisecond, func() {
				b.Release(lease, slipwick.EvidenceGood)
			})
			return
		}
		f.rejected++
		request.Exclude = append(request.Exclude, lease.Backend.ID)
		b.RecordNotice(lease, slipwick.Notice{
			Pause: f.pause,
		})
		b.Release(lease, evidence)
	}
	f.unserved++
}

// runShedding has engines shed for a while. It returns the numbers of rejected attempts and of
// unserved requests, both as fractions of the requests.
func runShedding(
	t *testing.T, routers, engines, shedding, perSecond int, pause time.Duration, evidence slipwick.Evidence,
) (rejected, unserved float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &sheddingFleet{
			testFleet:   newTestFleet(routers, engines, 2),
			maxAttempts: 4,
			pause:       pause,
		}
		random := rand.New(rand.NewPCG(1, uint64(routers)))
		lastUpdate := time.Now()
		var sequence uint64
		run := func(duration time.Duration) {
			for started := time.Now(); time.Since(started) < duration; {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
				synctest.Wait()
				f.sendWithRetries(t, random, evidence)
				if time.Since(lastUpdate) > 200*time.Millisecond {
					sequence++
					lastUpdate = time.Now()
					f.exchangeCountsAndOutcomes(sequence)
				}
			}
		}
		run(2 * time.Second)
		f.requests = 0
		for i := range shedding {
			f.shedding = append(f.shedding, fmt.Sprint("p-", i))
		}
		run(sheddingTime)
		rejected = float64(f.rejected) / float64(f.requests)
		unserved = float64(f.unserved) / float64(f.requests)
		time.Sleep(5 * time.Second)
	})
	return rejected, unserved
}

// TestFleetAvoidsServersThatShed has more than a quarter of a pool shed all requests for 9 s, in
// fleets in which each router sends to every server, and in one in which a router sends to a given
// server once in half a minute. The retries have to fit into the fleet's retry budget, which is 0.2
// of its requests. The other three quarters of the servers have room for all requests.
func TestFleetAvoidsServersThatShed(t *testing.T) {
	const budget, maxUnserved = 0.2, 0.001
	for _, size := range []struct{ routers, engines, shedding, perSecond int }{
		{8, 18, 5, 260},
		{62, 90, 25, 800},
		{120, 100, 26, 500},
	} {
		for _, pause := range []time.Duration{0, pauseTime} {
			rejected, unserved := runShedding(t, size.routers, size.engines, size.shedding, size.perSecond,
				pause, slipwick.EvidenceShed)
			t.Logf("%+v, pauses of %v: %.3f rejected, %.5f unserved", size, pause, rejected, unserved)
			if rejected > budget || unserved > maxUnserved {
				t.Errorf("%+v, pauses of %v: got %.3f attempts rejected per request, %.5f unserved, want at most %v, %v",
					size, pause, rejected, unserved, budget, maxUnserved)
			}
		}
	}
}

// TestFullServersAreNotEjectedForShedding has a server shed requests with all slots taken, and
// another with free slots.
func TestFullServersAreNotEjectedForShedding(t *testing.T) {
	for _, isFull := range []bool{true, false} {
		b := newTestBalancer(4)
		s := b.servers["p-0"]
		if isFull {
			s.inFlight = s.EffectiveSlots()
		}
		for range 20 {
			lease := newLease(s)
			s.inFlight++
			b.Release(lease, slipwick.EvidenceShed)
		}
		if got, want := unavailableCount(b) > 0, !isFull; got != want {
			t.Errorf("full %t: got it ejected: %t, want %t", isFull, got, want)
		}
	}
}

// TestRejectionsBeforeFirstUpdatesSayNothing has the routers of a restarted fleet send the requests that
// waited for it, so that a server's slots and queue are full. Each router knows only its own requests there.
// The server was ejected by all routers and counted with half of its slots, while the others had to take
// its load.
func TestRejectionsBeforeFirstUpdatesSayNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(4)
		b.SetPeers([]string{"hub"}, 83)
		s := b.servers["p-0"]
		before := b.PoolCapacity("p")
		want := before.Slots()
		reject := func() {
			for range 20 {
				s.inFlight++
				b.Release(newLease(s), slipwick.EvidenceShed)
			}
		}
		reject()
		if got := unavailableCount(b); got != 0 {
			t.Errorf("got %d servers ejected before the first updates, want none", got)
		}
		capacity := b.PoolCapacity("p")
		if got := capacity.Slots(); got != want {
			t.Errorf("got %d slots before the first updates, want %d", got, want)
		}
		b.ReceiveCounts("hub", 1, nil)
		reject()
		if got := unavailableCount(b); got != 1 {
			t.Errorf("got %d servers ejected once the others' requests are known, want 1", got)
		}
	})
}

// TestRejectionsCountThoughUpdatesAreMissing guards against a router that is cut off from the others when
// it starts and never ejects a server that rejects all requests.
func TestRejectionsCountThoughUpdatesAreMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(4)
		b.SetPeers([]string{"hub"}, 83)
		time.Sleep(remoteCountsTTL)
		s := b.servers["p-0"]
		for range 20 {
			s.inFlight++
			b.Release(newLease(s), slipwick.EvidenceShed)
		}
		if got := unavailableCount(b); got != 1 {
			t.Errorf("got %d servers ejected, want 1", got)
		}
	})
}
