package rollout

import (
	"testing"
	"time"
)

// TestPlanKeepsToTheExposure guards against a plan that gives the new version more than the allowed
// share of the requests between the order and its deadline, if nothing ends the plan early because
// the version was found bad.
func TestPlanKeepsToTheExposure(t *testing.T) {
	for _, duration := range []time.Duration{3 * time.Second, 12 * time.Second, time.Minute} {
		for _, allowed := range []float64{0.02, 0.1, 0.5} {
			began := time.Unix(0, 0)
			plan := Plan{
				Start:    began,
				Duration: duration,
				Exposure: allowed,
			}
			const steps = 10_000
			got := 0.0
			for i := range steps {
				got += plan.Share(began.Add(duration*time.Duration(i)/steps)) / steps
			}
			if got > allowed+0.01 {
				t.Errorf("%v, %v allowed: got a share of %.3f", duration, allowed, got)
			}
			if !plan.IsDue(began.Add(duration - time.Millisecond)) {
				t.Errorf("%v, %v allowed: got a good version not due before its deadline", duration, allowed)
			}
		}
	}
}
