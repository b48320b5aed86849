package gatewayd

import (
	"net/http"
	"testing"

	"github.com/slipwick/slipwick"
)

// TestBalancerUsesTheConnectionsOfTheClient guards against a balancer that doesn't know the connections,
// and against a deadlock between both when the list of backend servers changes.
func TestBalancerUsesTheConnectionsOfTheClient(t *testing.T) {
	f := newFixture(t)
	r := startReady(t, f, "r1")
	client := newClient()
	if r.balancer.Connections != slipwick.ConnectionSource(r.client) {
		t.Errorf("got %v, want the process's client", r.balancer.Connections)
	}
	for range 5 {
		if status, _, err := r.post(t, client, "/1/x"); status != http.StatusOK {
			t.Errorf("got %d %v, want 200", status, err)
		}
		f.setBackends("b1", "b2")
		f.setBackends("b1")
	}
}

// TestPositionIsAmongTheRoutersOfTheDataCentre guards against positions that leave gaps or that two
// routers share, so that some servers would be preferred by more routers than others.
func TestPositionIsAmongTheRoutersOfTheDataCentre(t *testing.T) {
	routers := []slipwick.Router{
		{
			ID:         "r5",
			DataCentre: "a",
		},
		{
			ID:         "r1",
			DataCentre: "b",
		},
		{
			ID:         "r2",
			DataCentre: "a",
		},
		{
			ID:         "r3",
			DataCentre: "a",
		},
	}
	for _, test := range []struct {
		dataCentre, id string
		index, count   int
	}{
		{"a", "r2", 0, 3},
		{"a", "r3", 1, 3},
		{"a", "r5", 2, 3},
		{"b", "r1", 0, 1},
		// A router that isn't in the list yet.
		{"a", "r4", 2, 4},
		{"c", "r4", 0, 1},
	} {
		index, count := positionIn(test.dataCentre, test.id, routers)
		if index != test.index || count != test.count {
			t.Errorf("%s in %s: got position %d of %d, want %d of %d",
				test.id, test.dataCentre, index, count, test.index, test.count)
		}
	}
}
