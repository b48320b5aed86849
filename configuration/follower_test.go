package configuration

import (
	"testing"

	"github.com/slipwick/slipwick"
)

// TestOfferIgnoresOlderVersions checks also that the state in force stays if a newer one can't be
// decoded.
func TestOfferIgnoresOlderVersions(t *testing.T) {
	var inForce []slipwick.Version
	f := &Follower{
		OnChange: func(s *Snapshot) { inForce = append(inForce, s.Version) },
	}
	for _, version := range []slipwick.Version{3, 2, 3, 7, 1} {
		if err := f.Offer(slipwick.Object{
			Value:   []byte(`{}`),
			Version: version,
		}); err != nil {
			t.Fatal(err)
		}
	}
	if len(inForce) != 2 || inForce[0] != 3 || inForce[1] != 7 {
		t.Errorf("got versions %v in force, want 3 and 7", inForce)
	}
	if err := f.Offer(slipwick.Object{
		Value:   []byte(`{`),
		Version: 9,
	}); err == nil || f.Current().Version != 7 {
		t.Errorf("got %v and version %d for a broken state, want an error and 7", err, f.Current().Version)
	}
}
