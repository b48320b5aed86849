package balance

import (
	"testing"

	"github.com/slipwick/slipwick"
)

// slotsOf returns the slots of the only server by the pool's capacity.
func slotsOf(t *testing.T, b *Balancer) int {
	t.Helper()
	servers := b.PoolCapacity("p").Servers
	if len(servers) != 1 {
		t.Fatalf("got %d servers in the pool's capacity, want 1", len(servers))
	}
	return servers[0].Slots
}

// newSlotsBalancer returns a balancer with a server of 32 slots.
func newSlotsBalancer() (*Balancer, []Entry) {
	list := []Entry{
		{
			Pool: "p",
			Backend: slipwick.Backend{
				ID:        "s",
				Address:   "10.0.0.1:80",
				Slots:     32,
				StartTime: 1,
			},
		},
	}
	b := New("d")
	b.SetBackends(list)
	return b, list
}

// TestRejectionLowersSlots fills a server up to 20 requests, at which it rejects. It guards against a
// capacity that is never there, and against one that stays low when the server can take more again.
func TestRejectionLowersSlots(t *testing.T) {
	b, list := newSlotsBalancer()
	var leases []*Lease
	for range 20 {
		leases = append(leases, acquire(t, b, plainRequest))
	}
	b.Release(acquire(t, b, plainRequest), slipwick.EvidenceShed)
	if got := slotsOf(t, b); got != 20 {
		t.Fatalf("got %d slots after a rejection at 20 requests, want 20", got)
	}
	for _, lease := range leases {
		b.Release(lease, slipwick.EvidenceGood)
	}
	if got := slotsOf(t, b); got != 20 {
		t.Errorf("got %d slots after 20 completed requests, want not yet one more", got)
	}
	b.Release(acquire(t, b, plainRequest), slipwick.EvidenceGood)
	if got := slotsOf(t, b); got != 21 {
		t.Errorf("got %d slots after 21 completed requests, want one more", got)
	}
	for range 500 {
		b.Release(acquire(t, b, plainRequest), slipwick.EvidenceGood)
	}
	if got := slotsOf(t, b); got != 32 {
		t.Errorf("got %d slots after many completed requests, want all 32", got)
	}
	// The counts of other routers are old: one rejection takes away half at most.
	for _, want := range []int{16, 8} {
		b.Release(acquire(t, b, plainRequest), slipwick.EvidenceShed)
		if got := slotsOf(t, b); got != want {
			t.Errorf("got %d slots after a rejection without other requests, want %d", got, want)
		}
	}
	list[0].StartTime = 2
	b.SetBackends(list)
	if got := slotsOf(t, b); got != 32 {
		t.Errorf("got %d slots of the next incarnation, want all 32", got)
	}
}

// TestRejectionByFullServerKeepsSlots has a server reject that queues requests beyond its slots.
func TestRejectionByFullServerKeepsSlots(t *testing.T) {
	b, _ := newSlotsBalancer()
	for range 40 {
		acquire(t, b, plainRequest)
	}
	b.Release(acquire(t, b, plainRequest), slipwick.EvidenceShed)
	if got := slotsOf(t, b); got != 32 {
		t.Errorf("got %d slots after a rejection at 40 requests, want all 32", got)
	}
}

// TestWaitingRequestsLowerSlots has an engine report waiting requests. It guards against requests for
// which the engine has no memory.
func TestWaitingRequestsLowerSlots(t *testing.T) {
	for _, test := range []struct {
		load Load
		want int
	}{
		{Load{Running: 18, Waiting: 9}, 18},
		{Load{Running: 18, Waiting: 8}, 32},
		{Load{Running: 18}, 32},
		{Load{Running: 32, Waiting: 30}, 32},
		// A request counts as waiting until its first token, so that its prompt may be the reason.
		{Load{Waiting: 3}, 32},
		{Load{Running: 15, Waiting: 10}, 32},
		{Load{Running: 16, Waiting: 10}, 16},
	} {
		b, _ := newSlotsBalancer()
		b.RecordLoad(leaseAt(t, b, "s"), test.load)
		if got := slotsOf(t, b); got != test.want {
			t.Errorf("%+v: got %d slots, want %d", test.load, got, test.want)
		}
	}
}

// TestLearnedSlotsDontChangeTheChoice guards the existing choice, which counts declared slots.
func TestLearnedSlotsDontChangeTheChoice(t *testing.T) {
	b, _ := newSlotsBalancer()
	b.RecordLoad(leaseAt(t, b, "s"), Load{
		Running: 16,
		Waiting: 15,
	})
	for range 20 {
		acquire(t, b, plainRequest)
	}
	if got := b.PoolCapacity("p").Servers[0].Own; got != 20 {
		t.Errorf("got %d requests at a server with a learned limit of 16, want the 20 that were sent", got)
	}
}
