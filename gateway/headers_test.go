package gateway

import (
	"net/http"
	"testing"
)

// TestHeadersNamedInConnectionAreNotForwarded guards against headers for one connection, which the
// backend server names in Connection, that reach the caller.
func TestHeadersNamedInConnectionAreNotForwarded(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/single/x", "/stream/x"} {
		f := newFixture(t, newBackend(t, "b1", withHeaders(respondWith(http.StatusOK, event("1")),
			"Connection", "X-Hop, x-other", "X-Hop", "1", "X-Other", "2", "X-End", "3")))
		got := f.post(t, path)
		if got.header.Get("X-Hop") != "" || got.header.Get("X-Other") != "" || got.header.Get("X-End") != "3" {
			t.Errorf("%s: got header %v, want X-End without X-Hop and X-Other", path, got.header)
		}
		if got.status != http.StatusOK || got.body != event("1") {
			t.Errorf("%s: got %d %q, want the response", path, got.status, got.body)
		}
	}
}
