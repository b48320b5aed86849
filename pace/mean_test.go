package pace

import (
	"testing"
	"time"
)

// TestMeanFollowsAChange guards against an average that stays at old values, and one that the first
// duration determines for long.
func TestMeanFollowsAChange(t *testing.T) {
	m := &Mean{}
	if got, ok := m.Value(); ok || got != 0 {
		t.Errorf("got %v, %v without durations, want 0, false", got, ok)
	}
	m.Add(time.Second)
	m.Add(-time.Second)
	for range 3 {
		m.Add(200 * time.Millisecond)
	}
	if got, ok := m.Value(); !ok || got != 400*time.Millisecond {
		t.Errorf("got %v, %v after four durations, want their mean of 400ms", got, ok)
	}
	for range 4 * meanWindow {
		m.Add(50 * time.Millisecond)
	}
	if got, _ := m.Value(); got < 50*time.Millisecond || got > 60*time.Millisecond {
		t.Errorf("got %v after %d durations of 50ms, want about that", got, 4*meanWindow)
	}
}
