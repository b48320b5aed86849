package gateway

import (
	"net/http"
	"testing"

	"github.com/slipwick/slipwick/routing"
)

// TestLastWorkspaceIsRemoved guards against requests that run without a valid key, or without any, once the
// configuration has an empty list of workspaces.
func TestLastWorkspaceIsRemoved(t *testing.T) {
	b := newBackend(t, "b1", respondWith(http.StatusOK, "answer"))
	f := newFixture(t, b)
	if got := f.post(t, "/single/x").status; got != http.StatusOK {
		t.Fatalf("before: got status %d, want 200", got)
	}
	table := testTable(2)
	var routes []routing.Route
	for r := range table.Routes() {
		routes = append(routes, *r)
	}
	f.gateway.SetTable(routing.NewTable(2, table.Limits, nil, routes, []routing.Workspace{}))
	for name, authorization := range map[string]string{
		"the removed key":      "Bearer good",
		"a key that never was": "Bearer never",
		"no key":               "",
	} {
		r := f.request(t, "/single/x", "question")
		r.Header.Set("Authorization", authorization)
		if got := send(t, r).status; got != http.StatusUnauthorized {
			t.Errorf("%s: got status %d, want 401", name, got)
		}
	}
	if got := b.runs.Load(); got != 1 {
		t.Errorf("got %d requests run, want the one before the removal", got)
	}
}
