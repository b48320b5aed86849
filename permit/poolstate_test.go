package permit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// fixedCapacity is a pool with one server of 100 slots.
type fixedCapacity struct{ inFlight float64 }

func (c *fixedCapacity) PoolCapacity(string) slipwick.PoolCapacity {
	return slipwick.PoolCapacity{
		Servers: []slipwick.ServerCapacity{
			{
				ID:       "plain-0",
				Slots:    100,
				InFlight: c.inFlight,
			},
		},
	}
}

// TestPressureEndsBelowItsStart guards against a pool that is under pressure and isn't in turn while its load
// stays between the two thresholds, and against pressure that ends with the first low count.
func TestPressureEndsBelowItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, capacity := newPoolState(testPool), &fixedCapacity{}
		for _, step := range []struct {
			inFlight float64
			lasts    time.Duration
			want     bool
		}{
			{39, 2 * time.Second, false},
			{41, 100 * time.Millisecond, true},
			{31, 5 * time.Second, true},
			{29, pressureMemory - 100*time.Millisecond, true},
			{29, 200 * time.Millisecond, false},
			{39, 2 * time.Second, false},
		} {
			capacity.inFlight = step.inFlight
			var got bool
			for end := time.Now().Add(step.lasts); time.Now().Before(end); time.Sleep(pressureInterval) {
				got = p.isUnderPressure(capacity)
			}
			if got != step.want {
				t.Errorf("%v of 100 slots for %v: got pressure %t, want %t", step.inFlight, step.lasts, got, step.want)
			}
		}
	})
}
