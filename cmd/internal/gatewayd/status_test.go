package gatewayd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

func readStatus(t *testing.T, r *running) *Status {
	t.Helper()
	server := httptest.NewServer(r.forOperators())
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
