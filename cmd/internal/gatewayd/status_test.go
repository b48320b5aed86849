package gatewayd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

func readStatus(t *testing.T, r *testGateway) *Status {
	t.Helper()
	server := httptest.NewServer(r.operatorsHandler())
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

func TestStatusReportsStateOfGateway(t *testing.T) {
	f := newFixture(t)
	first := startReady(t, f, "r1")
	second := startReady(t, f, "r2", first.Settings.Listen.Peers)
	waitFor(t, "two members", func() bool { return len(readStatus(t, second).Members) == 2 })
	got := readStatus(t, second)
	if got.Router != "r2" || !got.Ready || got.Draining || got.ConfigurationVersion != 1 || got.InFlight != 0 {
		t.Errorf("got %+v, want r2, ready, with version 1 in force", got)
	}
	if len(got.Backends) != 1 || got.Backends[0].ID != "b1" || got.Backends[0].Ejected || got.Backends[0].Leaving {
		t.Errorf("got backend servers %+v, want b1, in use", got.Backends)
	}
	f.setTable(2)
	waitFor(t, "version 2", func() bool { return readStatus(t, second).ConfigurationVersion == 2 })
}

// TestProcessReportsRestoredStore restores the store of two gateways from a backup with
// an older configuration: both report it, keep the newer version in force, and follow the
// restored store.
func TestProcessReportsRestoredStore(t *testing.T) {
	f := newFixture(t)
	f.timeline = 3
	f.setTable(2)
	f.setBackends("b1")
	first := startReady(t, f, "r1")
	second := startReady(t, f, "r2", first.Settings.Listen.Peers)
	f.timeline, f.revision = 4, 1
	f.setTable(1)
	f.setBackends("b1", "b2")
	for _, r := range []*testGateway{first, second} {
		waitFor(t, "the new timeline at "+r.Settings.ID, func() bool { return readStatus(t, r).StoreTimeline == 4 })
		waitFor(t, "two backend servers at "+r.Settings.ID, func() bool { return len(readStatus(t, r).Backends) == 2 })
		if got := readStatus(t, r).ConfigurationVersion; got != 2 {
			t.Errorf("%s: got version %d in force, want 2", r.Settings.ID, got)
		}
		if got := r.storeRestores.Load(); got < 1 {
			t.Errorf("%s: got %d restores counted, want at least 1", r.Settings.ID, got)
		}
	}
}
