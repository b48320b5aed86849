package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// TestCopiesAgeWhileBoxIsSuspended has a box suspended after its router copied the store. The age
// that the router gives to others has to include that time.
func TestCopiesAgeWhileBoxIsSuspended(t *testing.T) {
	for _, suspension := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ahead := time.Duration(0)
			defer clock.SetSuspensionOffset(func() time.Duration { return ahead })()
			m := NewMirror()
			m.Apply(batch(1, true, "a1"))
			time.Sleep(100 * time.Millisecond)
			ahead += suspension
			clock.DetectSuspension()
			got, err := m.List(t.Context())
			if want := suspension + 100*time.Millisecond; err != nil || got.Age != want {
				t.Errorf("got an age of %v, %v; want %v", got.Age, err, want)
			}
		})
	}
}
