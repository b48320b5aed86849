package admission

import (
	"testing"
	"time"

	"github.com/slipwick/slipwick/placement"
)

// TestGrantDoesNotAllocate covers the decision and the lease, not the encoding of messages.
func TestGrantDoesNotAllocate(t *testing.T) {
	o, key := grantFixture()
	now := time.Now()
	got := testing.AllocsPerRun(100, func() { grantAndRemove(o, key, now) })
	if got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkGrant(b *testing.B) {
	o, key := grantFixture()
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		grantAndRemove(o, key, now)
	}
}

func grantAndRemove(o *ownedBackend, key leaseKey, now time.Time) {
	if o.headroom(50, now) > 0 {
		o.addLease(key, "w", now.Add(time.Second), false)
	}
	o.removeLease(key)
}

func grantFixture() (*ownedBackend, leaseKey) {
	pool := newPool(93, 1.25, func(int) uint32 { return 1 })
	o := newOwnedBackend(1, placement.Location{
		Pool:  pool,
		Index: 0,
	})
	for i := range 40 {
		o.addLease(leaseKey{
			router: "other",
			id:     uint64(i),
		}, "w", time.Now().Add(time.Hour), false)
	}
	return o, leaseKey{
		router: "r",
		id:     1000,
	}
}
