package daemon

import (
	"net/http"
	"testing"

	"github.com/google/uuid"

	"github.com/slipwick/slipwick"
)

// TestKeyRunsOnce sends a keyed call, and sends it again.
func TestKeyRunsOnce(t *testing.T) {
	f := newFixture(t, 1)
	for _, tc := range []struct {
		name, body string
		drops      bool
		first      slipwick.Outcome
		again      slipwick.Outcome
	}{
		{
			name:  "completed",
			body:  "one",
			first: slipwick.OutcomeCompleted,
			again: slipwick.OutcomeCompleted,
		},
		{
			name:  "connection lost after the body was read",
			body:  "two",
			drops: true,
			first: slipwick.OutcomeUnknown,
			again: slipwick.OutcomeUnknown,
		},
	} {
		f.service.DropAfterBody = tc.drops
		key, err := uuid.NewV7()
		if err != nil {
			t.Fatal(err)
		}
		first, _ := f.post(t, servicesPath+"records/add", tc.body, keyHeader, key.String())
		if got := slipwick.Outcome(first.Header.Get(slipwick.OutcomeHeader)); got != tc.first {
			t.Errorf("%s: got outcome %q, want %q", tc.name, got, tc.first)
		}
		again, body := f.post(t, servicesPath+"records/add", tc.body, keyHeader, key.String())
		if got := slipwick.Outcome(again.Header.Get(slipwick.OutcomeHeader)); got != tc.again {
			t.Errorf("%s: got outcome %q for the resend, want %q: %s", tc.name, got, tc.again, body)
		}
		if again.StatusCode != http.StatusConflict {
			t.Errorf("%s: got status %d for the resend, want 409", tc.name, again.StatusCode)
		}
		if got := f.service.Runs(tc.body); got != 1 {
			t.Errorf("%s: got %d runs, want 1", tc.name, got)
		}
	}
}

// TestKeyInAnOutage checks that a keyed call is refused at once, as not run,
// while the platform is down.
func TestKeyInAnOutage(t *testing.T) {
	f := newFixture(t, 1)
	f.platform.SetOutage(true)
	for range 2 {
		key, err := uuid.NewV7()
		if err != nil {
			t.Fatal(err)
		}
		response, body := f.post(t, servicesPath+"records/add", "in the outage", keyHeader, key.String())
		if got := response.Header.Get(slipwick.OutcomeHeader); got != "not-run" {
			t.Errorf("got outcome %q, want not-run: %s", got, body)
		}
		if response.Header.Get("Retry-After") == "" {
			t.Error("got no Retry-After")
		}
	}
	// Others go on.
	if response, _ := f.post(t, chatPath, wholeChat); response.StatusCode != http.StatusOK {
		t.Errorf("got status %d for a chat in the outage, want 200", response.StatusCode)
	}
	if got := f.service.Runs("in the outage"); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
}
