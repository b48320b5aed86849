package permit

import (
	"slices"
	"testing"
	"time"
)

// TestSilenceCountsOnlyWithoutAnyAnswer guards against a router that goes on without a coordinator that
// answers its other requests, because the datagrams of one were lost.
func TestSilenceCountsOnlyWithoutAnyAnswer(t *testing.T) {
	const bound = 20 * time.Millisecond
	start := time.Unix(1_700_000_000, 0)
	s := &coordinatorState{}
	s.recordHeard(start)
	if s.recordSilence(bound, start.Add(bound/2)); s.down {
		t.Error("got a coordinator that counts as down 10ms after an answer, want it in use")
	}
	if s.recordSilence(bound, start.Add(bound)); !s.down {
		t.Error("got a coordinator in use that has been silent for the bounded wait, want it down")
	}
	if s.recordHeard(start.Add(time.Second)); s.down {
		t.Error("got a coordinator that counts as down after an answer, want it in use")
	}
}

// TestPingsBecomeRarer guards against routers that all ping a coordinator which is down twenty times a second
// until it is replaced.
func TestPingsBecomeRarer(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	s := &coordinatorState{}
	s.recordSilence(time.Millisecond, start)
	var got []time.Duration
	for last, at := start, start; len(got) < 7; at = at.Add(time.Millisecond) {
		if s.takePing(at) {
			got, last = append(got, at.Sub(last)), at
		}
	}
	want := []time.Duration{50, 50, 100, 200, 400, 800, 1000}
	for i := range want {
		want[i] *= time.Millisecond
	}
	if !slices.Equal(got, want) {
		t.Errorf("got pings after %v, want %v", got, want)
	}
}
