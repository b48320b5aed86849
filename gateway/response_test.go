package gateway

import (
	"net/http"
	"strings"
	"testing"
)

// TestBackendThatRejectsAllRequestsIsEjected has one of four backend servers reject all requests
// although it has capacity. It is ejected if the status means that it is overloaded, but not if the
// status is about the request.
func TestBackendThatRejectsAllRequestsIsEjected(t *testing.T) {
	for status, want := range map[int]bool{
		http.StatusServiceUnavailable: true,
		http.StatusTooManyRequests:    true,
		http.StatusBadRequest:         false,
	} {
		rejecting := newBackend(t, "a", withHeaders(respondWith(status, "refused"), "Slipwick-Not-Run", "1"))
		f := newFixture(t, append([]*backend{rejecting}, newBackends(t, 3, respondWith(http.StatusOK, "x"))...)...)
		// Requests are spread at random: the other servers get some before this one is ejected.
		const maxRequests = 20
		ejected := false
		for i := 0; i < maxRequests && !ejected; i++ {
			f.post(t, "/repeatable/x")
			for _, state := range f.gateway.Balancer.States() {
				ejected = ejected || state.ID == "a" && state.Ejected
			}
		}
		if ejected != want {
			t.Errorf("status %d: got ejected %t, want %t", status, ejected, want)
		}
	}
}

// TestLargeFailureIsNotWrittenAsComplete guards against a failure response above maxBufferedBytes whose
// first part reaches the caller as a complete response.
func TestLargeFailureIsNotWrittenAsComplete(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("x", maxBufferedBytes+10)
	for body, want := range map[string]int{
		large:                    http.StatusBadGateway,
		large[:maxBufferedBytes]: http.StatusInternalServerError,
	} {
		b := newBackend(t, "b1", respondWith(http.StatusInternalServerError, body))
		got := newFixture(t, b).post(t, "/single/x")
		if got.status != want || got.status == http.StatusInternalServerError && got.body != body {
			t.Errorf("%d bytes: got %d with %d bytes, want %d", len(body), got.status, len(got.body), want)
		}
	}
}
