package balance

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// exchangeOutcomes sends the outcomes of each router's requests to all others.
func (f *testFleet) exchangeOutcomes() {
	for i, b := range f.routers {
		update := b.TakeUpdate()
		for j, other := range f.routers {
			if j != i {
				other.ReceiveOutcomes(update.Outcomes)
			}
		}
	}
}

// TestCutOffRouterDoesNotHaveAllEnginesEjected has one router that cannot reach any engine. The
// failures that it sends must not make the others eject more than a few.
func TestCutOffRouterDoesNotHaveAllEnginesEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(6, 28, 2)
		random := rand.New(rand.NewPCG(9, 10))
		for _, b := range f.routers {
			b.Random = random.Float64
		}
		cutOff := f.routers[0]
		for range 20 {
			for range 12 {
				lease := acquire(t, cutOff, prompt(uint64(random.IntN(95))))
				time.AfterFunc(350*time.Millisecond, func() {
					cutOff.RecordOverdue(lease)
					cutOff.Release(lease, slipwick.EvidenceNone)
				})
				time.Sleep(time.Second / 12)
			}
			for _, b := range f.routers[1:] {
				for range 30 {
					lease := acquire(t, b, prompt(uint64(random.IntN(95))))
					b.RecordResponseStart(lease)
					b.Release(lease, slipwick.EvidenceGood)
				}
			}
			f.exchangeOutcomes()
			unavailable := 0
			for _, s := range f.routers[1].servers {
				if f.routers[1].isUnavailableLocked(s, time.Now()) {
					unavailable++
				}
			}
			if unavailable > 6 {
				t.Fatalf("got %d of 28 engines ejected for failures of one router, want at most 6", unavailable)
			}
		}
		time.Sleep(time.Second)
	})
}
