package daemon

import (
	"net/http"
	"testing"

	"github.com/google/uuid"

	"github.com/slipwick/slipwick"
)

// TestRequestWithIdempotencyKeyRunsOnce checks that a request sent twice with the same idempotency
// key runs once, and that the second response reports the outcome of the first.
func TestRequestWithIdempotencyKeyRunsOnce(t *testing.T) {
	f := newFixture(t, 1)
	for _, tc := range []struct {
		name, body string
		drops      bool
		first      slipwick.Outcome
		second     slipwick.Outcome
	}{
		{
			name:   "completed",
			body:   "one",
			first:  slipwick.OutcomeCompleted,
			second: slipwick.OutcomeCompleted,
		},
		{
			name:   "connection lost after the body was read",
			body:   "two",
			drops:  true,
			first:  slipwick.OutcomeUnknown,
			second: slipwick.OutcomeUnknown,
		},
	} {
		f.service.SetDropAfterBody(tc.drops)
		key, err := uuid.NewV7()
		if err != nil {
			t.Fatal(err)
		}
		first, _ := f.post(t, servicesPath+"records/add", tc.body, idempotencyKeyHeader, key.String())
		if got := slipwick.Outcome(first.Header.Get(slipwick.OutcomeHeader)); got != tc.first {
			t.Errorf("%s: got outcome %q, want %q", tc.name, got, tc.first)
		}
		second, body := f.post(t, servicesPath+"records/add", tc.body, idempotencyKeyHeader, key.String())
		if got := slipwick.Outcome(second.Header.Get(slipwick.OutcomeHeader)); got != tc.second {
			t.Errorf("%s: got outcome %q for the second request, want %q: %s", tc.name, got, tc.second, body)
		}
		if second.StatusCode != http.StatusConflict {
			t.Errorf("%s: got status %d for the second request, want 409", tc.name, second.StatusCode)
		}
		if got := f.service.Runs(tc.body); got != 1 {
			t.Errorf("%s: got %d runs, want 1", tc.name, got)
		}
	}
}

// TestRequestWithIdempotencyKeyInPlatformOutage checks that a request with an idempotency key is refused at
// once, as not run, while the platform is down, and that requests without a key are still served.
func TestRequestWithIdempotencyKeyInPlatformOutage(t *testing.T) {
	f := newFixture(t, 1)
	f.platform.SetOutage(true)
	for range 2 {
		key, err := uuid.NewV7()
		if err != nil {
			t.Fatal(err)
		}
		response, body := f.post(t, servicesPath+"records/add", "in the outage", idempotencyKeyHeader, key.String())
		if got := response.Header.Get(slipwick.OutcomeHeader); got != "not-run" {
			t.Errorf("got outcome %q, want not-run: %s", got, body)
		}
		if response.Header.Get("Retry-After") == "" {
			t.Error("got no Retry-After")
		}
	}
	// Requests without a key do not need the platform.
	if response, _ := f.post(t, chatPath, bufferedChat); response.StatusCode != http.StatusOK {
		t.Errorf("got status %d for a chat in the outage, want 200", response.StatusCode)
	}
	if got := f.service.Runs("in the outage"); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
}
