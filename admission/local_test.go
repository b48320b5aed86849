package admission

import (
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// TestReleaseOfUnknownGrantChangesNothing guards against counts below zero after a grant was released
// twice: the backend server would get more requests than it has slots.
func TestReleaseOfUnknownGrantChangesNothing(t *testing.T) {
	l := NewLocal()
	l.SetView(placement.NewView([]placement.Pool{
		{
			Name: "p",
			Backends: []slipwick.Backend{
				{
					ID:    "a",
					Slots: 1,
				},
			},
			Usable: []int{0},
		},
	}, nil))
	request := slipwick.AcquireRequest{
		Pool: "p",
	}
	grant, err := l.Acquire(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	l.Release(grant, slipwick.EvidenceGood)
	l.Release(grant, slipwick.EvidenceGood)
	if _, err := l.Acquire(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	if second, err := l.Acquire(t.Context(), request); err == nil {
		t.Errorf("got grant %+v at a server whose only slot is taken, want a refusal", second)
	}
}
