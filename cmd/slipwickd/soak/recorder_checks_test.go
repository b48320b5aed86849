package soak

import (
	"net/http"
	"testing"
)

// TestOverloadedRefusalThatRanIsAViolation guards against a check that passes over refused requests on
// routes whose requests may run several times.
func TestOverloadedRefusalThatRanIsAViolation(t *testing.T) {
	for body, want := range map[string]int{overloadedMessage + "; not run": 1, "another refusal": 0} {
		r := newRecorder()
		s := &sentRequest{
			id:    "a-1",
			route: routeRepeatable,
		}
		r.addRequest(s)
		r.recordOutcome(s, http.StatusServiceUnavailable, body, nil)
		r.checkRefusals()
		if got := len(r.violations); got != 0 {
			t.Errorf("%q: got %d violations for a request that didn't run, want 0", body, got)
		}
		s.runs.Add(1)
		r.checkRefusals()
		if got := len(r.violations); got != want {
			t.Errorf("%q: got %d violations for a request that ran, want %d", body, got, want)
		}
	}
}
