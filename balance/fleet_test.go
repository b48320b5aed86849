package balance

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// testFleet has routers that share a pool and send each other updates.
type testFleet struct {
	routers []*Balancer

	mu sync.Mutex
	// load counts the requests of all routers at each engine, by its ID.
	load map[string]int
	// overBound counts the requests, of all sent, that went to an engine above the configured
	// bound.
	overBound, sent int
}

func newTestFleet(routers, engines int, factor float64) *testFleet {
	f := &testFleet{
		load: make(map[string]int),
	}
	for range routers {
		b := newTestBalancer(engines)
		b.SetLoadBound(factor, 3)
		f.routers = append(f.routers, b)
	}
	for i, b := range f.routers {
		var others []string
		for j := range f.routers {
			if j != i {
				others = append(others, fmt.Sprint("r", j))
			}
		}
		b.SetPeers(others, len(others))
	}
	return f
}

// exchangeUpdates sends each router's counts and cached parts to all others.
func (f *testFleet) exchangeUpdates(sequence uint64) {
	for i, b := range f.routers {
		update := b.TakeUpdate()
		for j, other := range f.routers {
			if j != i {
				other.ReceiveCounts(fmt.Sprint("r", i), sequence, update.InFlight)
				other.ReceiveCachedParts(update.CachedParts)
			}
		}
	}
}

// send sends a request through a random router. It runs for 300 to 1100 ms.
func (f *testFleet) send(t *testing.T, random *rand.Rand, factor float64) *Lease {
	t.Helper()
	b := f.routers[random.IntN(len(f.routers))]
	key := uint64(random.IntN(95))
	if random.Float64() < 0.1 {
		key = 0
	}
	lease := acquire(t, b, prompt(key))
	f.mu.Lock()
	defer f.mu.Unlock()
	mean := 0.0
	for _, n := range f.load {
		mean += float64(n) / float64(len(b.servers))
	}
	f.sent++
	if float64(f.load[lease.Backend.ID]) > factor*mean+3 {
		f.overBound++
	}
	f.load[lease.Backend.ID]++
	b.RecordResponseStart(lease)
	time.AfterFunc(time.Duration(300+random.IntN(800))*time.Millisecond, func() {
		f.mu.Lock()
		f.load[lease.Backend.ID]--
		f.mu.Unlock()
		b.Release(lease, slipwick.EvidenceGood)
	})
	return lease
}

// TestFleetKeepsTheBound checks that engines stay below the configured load bound when 7 routers
// share 18 of them and exchange updates five times a second.
func TestFleetKeepsTheBound(t *testing.T) {
	for _, factor := range []float64{1.3, 2} {
		for _, perSecond := range []int{150, 600} {
			t.Run(fmt.Sprintf("factor %v, %d a second", factor, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(7, 18, factor)
					random := rand.New(rand.NewPCG(1, uint64(perSecond)))
					lastUpdate := time.Now()
					var sequence uint64
					for range 8 * perSecond {
						time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
						synctest.Wait()
						f.send(t, random, factor)
						if time.Since(lastUpdate) > 200*time.Millisecond {
							sequence++
							lastUpdate = time.Now()
							f.exchangeUpdates(sequence)
						}
					}
					if share := float64(f.overBound) / float64(f.sent); share > 0.02 {
						t.Errorf("got %.3f of the requests at engines above the bound, want less than 0.02", share)
					}
					time.Sleep(2 * time.Second)
				})
			})
		}
	}
}

// TestPlainServicesGetTheirShares checks that no server of a plain service gets so many requests
// that it sheds some: 60 routers share 4 servers that process 6 requests at once and queue up to
// 24 more.
func TestPlainServicesGetTheirShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, capacity, serviceTime = 320, 30, 60 * time.Millisecond
		f := newTestFleet(60, 4, 2)
		random := rand.New(rand.NewPCG(1, 2))
		lastUpdate := time.Now()
		var sequence uint64
		shed, sent := 0, 0
		for range 6 * perSecond {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
			synctest.Wait()
			b := f.routers[random.IntN(len(f.routers))]
			lease := acquire(t, b, plainRequest)
			b.RecordSend(lease)
			f.mu.Lock()
			ahead := f.load[lease.Backend.ID]
			f.load[lease.Backend.ID]++
			f.mu.Unlock()
			sent++
			if ahead >= capacity {
				shed++
			}
			// The server processes 6 requests at once, and the others wait in its queue.
			time.AfterFunc(serviceTime+time.Duration(ahead/6)*serviceTime, func() {
				f.mu.Lock()
				f.load[lease.Backend.ID]--
				f.mu.Unlock()
				b.RecordResponseStart(lease)
				b.RecordResponseTime(lease)
				b.Release(lease, slipwick.EvidenceGood)
			})
			if time.Since(lastUpdate) > 200*time.Millisecond {
				sequence++
				lastUpdate = time.Now()
				f.exchangeUpdates(sequence)
			}
		}
		if share := float64(shed) / float64(sent); share > 0.01 {
			t.Errorf("got %.3f of the requests at full servers, want less than 0.01", share)
		}
		time.Sleep(5 * time.Second)
	})
}
