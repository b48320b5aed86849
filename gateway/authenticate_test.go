package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick/routing"
)

// keyConfiguration is a version of the configuration with a route that needs a key and an open one. keys are those of
// its only workspace. hasList says that there is a list of workspaces, hasWorkspace that it is not empty.
type keyConfiguration struct {
	version               uint64
	hasList, hasWorkspace bool
	keys                  []string
}

// holds reports whether the configuration has the key.
func (c *keyConfiguration) holds(key string) bool {
	for _, k := range c.keys {
		if k == key {
			return c.hasList && c.hasWorkspace
		}
	}
	return false
}

func (c *keyConfiguration) table() *routing.Table {
	var workspaces []routing.Workspace
	if c.hasList && c.hasWorkspace {
		workspaces = append(workspaces, routing.Workspace{
			Name: "w",
			Keys: c.keys,
		})
	}
	table := routing.NewTable(c.version, routing.Limits{}, nil, []routing.Route{
		{
			Host:   "a.example",
			Prefix: "/closed/",
		},
		{
			Host:           "a.example",
			Prefix:         "/open/",
			AllowAnonymous: true,
		},
	}, workspaces)
	table.AllowAnonymous = !c.hasList
	return table
}

// TestKeyThatNoConfigurationHoldsIsRefused guards against requests that run with a key that was taken away, or without
// one, after any history of configurations: lists of workspaces that are missing, empty or without keys, versions that
// arrive late, and restarts.
func TestKeyThatNoConfigurationHoldsIsRefused(t *testing.T) {
	keys := []string{"", "k1", "k2", "never"}
	rapid.Check(t, func(t *rapid.T) {
		g := &Gateway{}
		var inForce *keyConfiguration
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				g, inForce = &Gateway{}, nil
			}
			c := &keyConfiguration{
				version:      rapid.Uint64Range(1, 12).Draw(t, "version"),
				hasList:      rapid.IntRange(0, 3).Draw(t, "list") > 0,
				hasWorkspace: rapid.Bool().Draw(t, "workspace"),
				keys:         rapid.SliceOfNDistinct(rapid.SampledFrom(keys[1:3]), 0, 2, rapid.ID[string]).Draw(t, "keys"),
			}
			if g.SetTable(c.table()) {
				inForce = c
			}
			for _, key := range keys {
				for _, path := range []string{"/closed/", "/open/"} {
					checkAuthentication(t, g, inForce, path, key)
				}
			}
		}
	})
}

// checkAuthentication sends a request with a key, without one if it is empty.
func checkAuthentication(t *rapid.T, g *Gateway, inForce *keyConfiguration, path, key string) {
	r := httptest.NewRequest(http.MethodPost, path, http.NoBody)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	table := g.Table()
	workspace, refusal := authenticate(r, table, table.Route("a.example", path))
	want := inForce.holds(key)
	if key == "" {
		want = !inForce.hasList || path == "/open/"
	}
	if got := refusal == nil; got != want {
		t.Errorf("%s with key %q in %+v: got accepted %t, want %t", path, key, inForce, got, want)
	}
	if got := workspace != nil; got != inForce.holds(key) {
		t.Errorf("%s with key %q in %+v: got a workspace %t, want %t", path, key, inForce, got, inForce.holds(key))
	}
}

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

// TestUnknownKeyOnOpenRouteIsRefused guards against requests that run with a key that was taken away because their
// route also takes requests without a key.
func TestUnknownKeyOnOpenRouteIsRefused(t *testing.T) {
	b := newBackend(t, "b1", respondWith(http.StatusOK, "answer"))
	f := newFixture(t, b)
	for authorization, want := range map[string]int{
		"":                   http.StatusOK,
		"Basic dXNlcjpwYXNz": http.StatusOK,
		"Bearer good":        http.StatusOK,
		"bearer good":        http.StatusOK,
		"Bearer taken":       http.StatusUnauthorized,
		"bearer taken":       http.StatusUnauthorized,
		"Bearer":             http.StatusOK,
	} {
		r := f.request(t, "/open/x", "question")
		r.Header.Set("Authorization", authorization)
		if got := send(t, r).status; got != want {
			t.Errorf("Authorization %q: got status %d, want %d", authorization, got, want)
		}
	}
	if got := b.runs.Load(); got != 5 {
		t.Errorf("got %d requests run, want 5", got)
	}
}
