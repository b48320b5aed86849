package gatewayd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

func readStatus(t *testing.T, r *running) *Status {
	t.Helper()
	server := httptest.NewServer(r.operatorHandler())
	defer server.Close()
	response, err := http.Get(server.URL + StatusPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	s := &Status{}
	if err := json.NewDecoder(response.Body).Decode(s); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestStatusTellsWhatAGatewayBelieves(t *testing.T) {
	w := newWorld(t)
	first := start(t, w, "r1")
	second := start(t, w, "r2", first.Settings.Listen.Peers)
	waitFor(t, "two members", func() bool { return len(readStatus(t, second).Members) == 2 })
	got := readStatus(t, second)
	if got.Router != "r2" || !got.Ready || got.Draining || got.Configuration != 1 || got.InFlight != 0 {
		t.Errorf("got %+v, want r2, ready, with version 1 in force", got)
	}
	if len(got.Backends) != 1 || got.Backends[0].ID != "b1" || got.Backends[0].Out || got.Backends[0].Leaving {
		t.Errorf("got backend servers %+v, want b1, in use", got.Backends)
	}
	w.setTable(2)
	waitFor(t, "version 2", func() bool { return readStatus(t, second).Configuration == 2 })
}

// TestProcessTellsThatTheStoreFellBack has the store of two gateways come back from a copy with
// an older version: both tell it, keep the newer one in force, and follow the store on.
func TestProcessTellsThatTheStoreFellBack(t *testing.T) {
	w := newWorld(t)
	w.timeline = 3
	w.setTable(2)
	w.setBackends("b1")
	first := start(t, w, "r1")
	second := start(t, w, "r2", first.Settings.Listen.Peers)
	w.timeline, w.revision = 4, 1
	w.setTable(1)
	w.setBackends("b1", "b2")
	for _, r := range []*running{first, second} {
		waitFor(t, "the new timeline at "+r.Settings.ID, func() bool { return readStatus(t, r).StoreTimeline == 4 })
		waitFor(t, "two backend servers at "+r.Settings.ID, func() bool { return len(readStatus(t, r).Backends) == 2 })
		if got := readStatus(t, r).Configuration; got != 2 {
			t.Errorf("%s: got version %d in force, want 2", r.Settings.ID, got)
		}
		if got := r.storeRestores.Load(); got < 1 {
			t.Errorf("%s: got %d returns told, want one for each feed at least", r.Settings.ID, got)
		}
	}
}
