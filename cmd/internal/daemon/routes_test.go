package daemon

import (
	"net/http"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
)

// TestKeyOutsideTheConfigurationIsRefused guards against requests that are accepted with a key, or without one, that no
// workspace of the configuration in force has: with no workspaces, and with workspaces without keys.
func TestKeyOutsideTheConfigurationIsRefused(t *testing.T) {
	workspace := func(keys ...string) configuration.Workspace {
		w := configuration.Workspace{
			Name: "w",
		}
		for _, key := range keys {
			w.KeyHashes = append(w.KeyHashes, configuration.HashKey(key))
		}
		return w
	}
	for name, tc := range map[string]struct {
		workspaces []configuration.Workspace
		accepted   string
	}{
		"no list": {},
		"an empty list": {
			workspaces: []configuration.Workspace{},
		},
		"a workspace without keys": {
			workspaces: []configuration.Workspace{workspace()},
		},
		"a workspace": {
			workspaces: []configuration.Workspace{workspace(testAPIKey)},
			accepted:   "Bearer " + testAPIKey,
		},
	} {
		r := newRoutes(&configuration.Snapshot{
			State: configuration.State{
				Workspaces: tc.workspaces,
			},
		})
		for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer never", "Bearer " + testAPIKey, testAPIKey} {
			header := http.Header{}
			if authorization != "" {
				header.Set("Authorization", authorization)
			}
			_, err := r.workspace(header)
			if got, want := err == nil, authorization == tc.accepted && authorization != ""; got != want {
				t.Errorf("%s, Authorization %q: got accepted %t, want %t", name, authorization, got, want)
			}
			if typed, ok := slipwick.AsError(err); err != nil && (!ok || typed.Kind != slipwick.KindUnauthorized) {
				t.Errorf("%s, Authorization %q: got %v, want an error of kind %s", name, authorization, err,
					slipwick.KindUnauthorized)
			}
		}
	}
}

// TestRemovedWorkspaceIsRefused guards against chats that run with the key of a workspace after the configuration has
// lost it, although it was the last one.
func TestRemovedWorkspaceIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	if response, body := f.post(t, chatPath, bufferedChat); response.StatusCode != http.StatusOK {
		t.Fatalf("before: got status %d, want 200: %s", response.StatusCode, body)
	}
	f.router.applySnapshot(&configuration.Snapshot{})
	for _, path := range []string{chatPath, servicesPath + "records/x"} {
		if response, body := f.post(t, path, bufferedChat); response.StatusCode != http.StatusUnauthorized {
			t.Errorf("%s: got status %d, want 401: %s", path, response.StatusCode, body)
		}
	}
	if got := len(f.engines[0].Runs()); got != 1 {
		t.Errorf("got %d prompts run, want the one before", got)
	}
}
