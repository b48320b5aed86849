package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// outcomeFleet has routers that share a pool of plain servers and send each other counts and outcomes.
type outcomeFleet struct {
	*testFleet
	// ejections counts them by the server's ID; mu guards it.
	ejections map[string]int
}

func newOutcomeFleet(routers, servers int) *outcomeFleet {
	f := &outcomeFleet{
		testFleet: newTestFleet(routers, servers, 2),
		ejections: make(map[string]int),
	}
	for _, b := range f.routers {
		b.SetSpeedAware(true)
		b.OnEjected = func(backend slipwick.Backend, _ time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ejections[backend.ID]++
		}
	}
	return f
}

// run sends requests of 35 ms for a while, of which the part fails that failureRate says, and exchanges
// updates every 200 ms.
func (f *outcomeFleet) run(
	random *rand.Rand, perSecond int, duration time.Duration, failureRate func(id string) float64,
) {
	const work = 35 * time.Millisecond
	var sequence uint64
	lastUpdate := time.Now()
	for started := time.Now(); time.Since(started) < duration; {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		synctest.Wait()
		b := f.routers[random.IntN(len(f.routers))]
		if lease, err := b.Acquire(plainRequest); err == nil {
			evidence := slipwick.EvidenceGood
			if random.Float64() < failureRate(lease.Backend.ID) {
				evidence = slipwick.EvidenceError
			}
			time.AfterFunc(work, func() { b.Release(lease, evidence) })
		}
		if time.Since(lastUpdate) > 200*time.Millisecond {
			sequence++
			lastUpdate = time.Now()
			f.exchangeCountsAndOutcomes(sequence)
		}
	}
	time.Sleep(time.Second)
}

// exchangeCountsAndOutcomes sends each router's counts and outcomes to all others.
func (f *testFleet) exchangeCountsAndOutcomes(sequence uint64) {
	for i, b := range f.routers {
		update := b.TakeUpdate()
		for j, other := range f.routers {
			if j != i {
				other.ReceiveCounts(fmt.Sprint("r", i), sequence, update.InFlight)
				other.ReceiveOutcomes(update.Outcomes)
			}
		}
	}
}

// TestHealthyServerReturnsFromEjection has all servers of a small pool fail 6 in 100 requests, as a kind of
// request fails at any server, after one of them was ejected for failures of its own. The server was
// ejected again and again, for 4 s each, while the other had to serve all requests: routers sent each other
// only failures, the rate covered ten of 100 outcomes a second, and the failures of requests from before an
// ejection counted at its end.
func TestHealthyServerReturnsFromEjection(t *testing.T) {
	for _, routers := range []int{8, 84} {
		synctest.Test(t, func(t *testing.T) {
			f := newOutcomeFleet(routers, 3)
			random := rand.New(rand.NewPCG(1, uint64(routers)))
			f.run(random, 200, 2*time.Second, func(id string) float64 {
				if id == "p-0" {
					return 0.8
				}
				return 0
			})
			if f.ejections["p-0"] < routers/2 {
				t.Fatalf("%d routers: got %d ejections of the failing server, want most routers to eject it",
					routers, f.ejections["p-0"])
			}
			clear(f.ejections)
			f.run(random, 200, 20*time.Second, func(string) float64 { return 0.06 })
			total := 0
			for _, n := range f.ejections {
				total += n
			}
			// An ejection by chance in 500 outcomes is allowed, as in TestFailuresByChanceEjectFew, and
			// each ejects at all routers.
			if limit := 20 * 200 / 500 * routers; total > limit {
				t.Errorf("%d routers: got %d ejections %v, want at most %d", routers, total, f.ejections, limit)
			}
		})
	}
}
