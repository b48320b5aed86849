package balance

import (
	"testing"

	"github.com/slipwick/slipwick"
)

// TestRequestStaysInItsRegions has prompts that are cached in three regions, and requests that
// allow only one of these. Neither the request nor a fetch of its prompt may leave that region.
func TestRequestStaysInItsRegions(t *testing.T) {
	b := newBalancerIn(9, "d", "e", "f")
	for key := range uint64(60) {
		b.Release(acquire(t, b, prompt(key)), slipwick.EvidenceGood)
	}
	addresses := make(map[string]string)
	for _, s := range b.servers {
		addresses[s.Address] = s.Region
	}
	for key := range uint64(120) {
		for _, request := range []*Request{prompt(key), {Pool: "p"}} {
			request.Regions = []string{"region of e"}
			lease := acquire(t, b, request)
			if got := lease.Backend.Region; got != "region of e" {
				t.Fatalf("prompt %d: got a backend server in %s, want region of e", key, got)
			}
			if got := addresses[lease.FetchFrom]; lease.FetchFrom != "" && got != "region of e" {
				t.Fatalf("prompt %d: got a fetch from %s, want region of e", key, got)
			}
			b.Release(lease, slipwick.EvidenceGood)
		}
	}
}

// TestRequestDoesNotLeaveItsRegionsWhenTheseAreDown has no reachable server in the only region
// that the request allows.
func TestRequestDoesNotLeaveItsRegionsWhenTheseAreDown(t *testing.T) {
	b := newBalancerIn(9, "d", "e", "f")
	request := prompt(1)
	request.Regions = []string{"region of e"}
	for range 3 {
		lease := acquire(t, b, request)
		request.Exclude = append(request.Exclude, lease.Backend.ID)
		b.Release(lease, slipwick.EvidenceUnreachable)
	}
	if lease, err := b.Acquire(request); err == nil {
		t.Errorf("got %s in %s, want a refusal", lease.Backend.ID, lease.Backend.Region)
	}
}

// TestRequestWithoutAllowedRegionsIsRefused has a request without allowed regions, as when its route
// and its workspace have none in common.
func TestRequestWithoutAllowedRegionsIsRefused(t *testing.T) {
	b := newBalancerIn(3, "d", "e", "f")
	request := prompt(1)
	request.Regions = []string{}
	_, err := b.Acquire(request)
	if typed, ok := slipwick.AsError(err); !ok || typed.Outcome != slipwick.OutcomeNotRun {
		t.Errorf("got %v, want a refusal with outcome not-run", err)
	}
}
