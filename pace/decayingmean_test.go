package pace

import (
	"math"
	"testing"
	"time"
)

// TestDecayingMeanFollowsItsTimeConstant guards against a mean that keeps old values, or that a time
// before the latest value changes by more than that value.
func TestDecayingMeanFollowsItsTimeConstant(t *testing.T) {
	m, now := &DecayingMean{TimeConstant: time.Second}, time.Now()
	if m.Mean() != 0 || m.Weight(now) != 0 {
		t.Errorf("got mean %v and weight %v without values, want 0", m.Mean(), m.Weight(now))
	}
	m.Add(now, 30, 10)
	if got, want := m.Weight(now.Add(time.Second)), 10/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("got a weight of %v after the time constant, want %v", got, want)
	}
	m.Add(now.Add(time.Second), 10, 10)
	if got, want := m.Mean(), (30/math.E+10)/(10/math.E+10); math.Abs(got-want) > 1e-9 {
		t.Errorf("got a mean of %v, want %v", got, want)
	}
	before := m.Weight(now.Add(time.Second))
	m.Add(now.Add(-time.Hour), 1, 1)
	if got, want := m.Weight(now.Add(time.Second)), before+1; math.Abs(got-want) > 1e-9 {
		t.Errorf("got a weight of %v after an earlier value, want %v", got, want)
	}
	if got := m.Weight(now.Add(time.Hour)); got > 1e-9 {
		t.Errorf("got a weight of %v an hour later, want about 0", got)
	}
}
