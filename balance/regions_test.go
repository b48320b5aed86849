package balance

import (
	"testing"

	"github.com/slipwick/slipwick"
)

// TestRequestStaysInItsRegions has prompts that are known in three regions, and may be
// in one only: neither the request nor a fetch of its prompt leaves it.
func TestRequestStaysInItsRegions(t *testing.T) {
	b := newPlacedBalancer(9, "d", "e", "f")
	for key := range uint64(60) {
		b.Release(acquire(t, b, prompt(key)), slipwick.EvidenceGood)
	}
	addresses := make(map[string]string)
	for _, s := range b.servers {
		addresses[s.Address] = s.Region
	}
	for key := range uint64(120) {
		for _, ask := range []*Request{prompt(key), {Pool: "p"}} {
			ask.Regions = []string{"region of e"}
			lease := acquire(t, b, ask)
			if got := lease.Backend.Region; got != "region of e" {
				t.Fatalf("prompt %d: got a backend server in %s", key, got)
			}
			if got := addresses[lease.FetchFrom]; lease.FetchFrom != "" && got != "region of e" {
				t.Fatalf("prompt %d: got a fetch from %s", key, got)
			}
			b.Release(lease, slipwick.EvidenceGood)
		}
	}
}

// TestRequestDoesNotLeaveItsRegionsWhenTheseAreDown has all servers of the region out.
func TestRequestDoesNotLeaveItsRegionsWhenTheseAreDown(t *testing.T) {
	b := newPlacedBalancer(9, "d", "e", "f")
	ask := prompt(1)
	ask.Regions = []string{"region of e"}
	for range 3 {
		lease := acquire(t, b, ask)
		ask.Exclude = append(ask.Exclude, lease.Backend.ID)
		b.Release(lease, slipwick.EvidenceUnreachable)
	}
	if lease, err := b.Acquire(ask); err == nil {
		t.Errorf("got %s in %s, want a refusal", lease.Backend.ID, lease.Backend.Region)
	}
}

// TestRequestThatNoRegionAllowsIsRefused has a route and a workspace that allow no
// region in common.
func TestRequestThatNoRegionAllowsIsRefused(t *testing.T) {
	b := newPlacedBalancer(3, "d", "e", "f")
	ask := prompt(1)
	ask.Regions = []string{}
	_, err := b.Acquire(ask)
	if typed, ok := slipwick.AsError(err); !ok || typed.Outcome != slipwick.OutcomeNotRun {
		t.Errorf("got %v, want a refusal as not run", err)
	}
}
