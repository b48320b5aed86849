package balance

import (
	"testing"

	"github.com/slipwick/slipwick"
)

// TestLastServerCountsThoughEjected guards against a pool that counts as one without servers, and so
// needs no permits, because its last server was ejected: all routers then send to it without a limit,
// and it rejects most of the requests.
func TestLastServerCountsThoughEjected(t *testing.T) {
	b := newTestBalancer(2)
	eject := func(id string) {
		lease := leaseAt(t, b, id)
		b.Release(lease, slipwick.EvidenceUnreachable)
	}
	eject("p-0")
	if got := b.PoolCapacity("p"); len(got.Servers) != 1 || got.Servers[0].ID != "p-1" ||
		len(got.Unavailable) != 1 || got.Unavailable[0].ID != "p-0" {
		t.Errorf("one of two servers ejected: got %+v, want the other one, and the ejected one as unavailable", got)
	}
	eject("p-1")
	if got := b.PoolCapacity("p").Servers; len(got) != 2 {
		t.Errorf("both servers ejected: got %+v, want both, as they get requests", got)
	}
}
